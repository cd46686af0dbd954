#define BOOST_TEST_MODULE tool_common
#include <boost/test/unit_test.hpp>
