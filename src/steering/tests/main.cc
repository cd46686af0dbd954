#define BOOST_TEST_MODULE steering
#include <boost/test/unit_test.hpp>
