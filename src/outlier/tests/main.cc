#define BOOST_TEST_MODULE outlier
#include <boost/test/unit_test.hpp>
