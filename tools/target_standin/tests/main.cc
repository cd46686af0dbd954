#define BOOST_TEST_MODULE target_standin
#include <boost/test/unit_test.hpp>
