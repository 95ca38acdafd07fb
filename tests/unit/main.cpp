// Entry point of the unit tests; `unit_tests -- --seed N --seconds S` widens the randomised ones.
#define BOOST_TEST_MODULE guavawick
#include <boost/test/unit_test.hpp>
