// Entry point of the unit tests. `unit_tests -- --seed N --seconds S` sets seed and duration of the
// randomised tests.
#define BOOST_TEST_MODULE guavawick
#include <boost/test/unit_test.hpp>
