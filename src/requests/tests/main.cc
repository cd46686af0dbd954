#define BOOST_TEST_MODULE requests
#include <boost/test/unit_test.hpp>
