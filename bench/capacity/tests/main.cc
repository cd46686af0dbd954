#define BOOST_TEST_MODULE capacity_slope
#include <boost/test/unit_test.hpp>
