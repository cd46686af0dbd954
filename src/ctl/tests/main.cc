#define BOOST_TEST_MODULE ctl
#include <boost/test/unit_test.hpp>
