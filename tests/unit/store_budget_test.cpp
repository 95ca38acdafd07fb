// When a store refuses turns for lack of memory or disk.
#include "core/store_budget.hpp"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

using namespace core;

BOOST_AUTO_TEST_SUITE(store_budget_test)

BOOST_AUTO_TEST_CASE(store_below_its_limits_admits_turns)
{
    BOOST_TEST((next_pressure({60, 100, 80, 100}, store_pressure::none) == store_pressure::none));
    BOOST_TEST((next_pressure({70, 100, 0, 100}, store_pressure::none) == store_pressure::returns_memory));
}

BOOST_AUTO_TEST_CASE(store_near_either_limit_refuses_turns)
{
    BOOST_TEST((next_pressure({85, 100, 0, 100}, store_pressure::none) == store_pressure::refuses_turns));
    BOOST_TEST((next_pressure({0, 100, 85, 100}, store_pressure::none) == store_pressure::refuses_turns));
}

BOOST_AUTO_TEST_CASE(store_that_refuses_turns_admits_them_again_only_well_below_the_limit)
{
    BOOST_TEST(
        (next_pressure({80, 100, 0, 100}, store_pressure::refuses_turns) == store_pressure::refuses_turns));
    BOOST_TEST(
        (next_pressure({74, 100, 0, 100}, store_pressure::refuses_turns) == store_pressure::returns_memory));
}

BOOST_AUTO_TEST_CASE(unknown_limit_is_never_reached)
{
    BOOST_TEST((next_pressure({1U << 30U, 0, 1U << 30U, 0}, store_pressure::none) == store_pressure::none));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
