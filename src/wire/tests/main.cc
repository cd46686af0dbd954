#define BOOST_TEST_MODULE wire
#include <boost/test/unit_test.hpp>
