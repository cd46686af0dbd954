#define BOOST_TEST_MODULE load_client
#include <boost/test/unit_test.hpp>
