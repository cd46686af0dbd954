#define BOOST_TEST_MODULE fabric_standin
#include <boost/test/unit_test.hpp>
