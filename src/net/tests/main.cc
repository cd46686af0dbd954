#define BOOST_TEST_MODULE net
#include <boost/test/unit_test.hpp>
