#define BOOST_TEST_MODULE platform_standin
#include <boost/test/unit_test.hpp>
