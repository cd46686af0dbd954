#define BOOST_TEST_MODULE json
#include <boost/test/unit_test.hpp>
