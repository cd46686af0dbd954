#define BOOST_TEST_MODULE config
#include <boost/test/unit_test.hpp>
