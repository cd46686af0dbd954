#define BOOST_TEST_MODULE membership
#include <boost/test/unit_test.hpp>
