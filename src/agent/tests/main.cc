#define BOOST_TEST_MODULE agent
#include <boost/test/unit_test.hpp>
