#define BOOST_TEST_MODULE deployments
#include <boost/test/unit_test.hpp>
