#define BOOST_TEST_MODULE balancer
#include <boost/test/unit_test.hpp>
