#define BOOST_TEST_MODULE placement_model
#include <boost/test/unit_test.hpp>
