#define BOOST_TEST_MODULE admission
#include <boost/test/unit_test.hpp>
