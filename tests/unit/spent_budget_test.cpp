// What a gateway remembers of spent budgets.
#include "gateway/program_memory.hpp"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(spent_budget_test)

// Guards against a late report that lowers what a program is known to have spent.
BOOST_AUTO_TEST_CASE(known_spent_tokens_never_decrease)
{
    gateway::spent_budgets budgets;
    const time_point now{1h};
    gateway::record_spent_tokens(budgets, 1, 12, now);
    gateway::record_spent_tokens(budgets, 1, 8, now + 1s);
    BOOST_TEST(gateway::known_spent_tokens(budgets, 1) == 12U);
    BOOST_TEST(gateway::known_spent_tokens(budgets, 2) == 0U);
}

// Guards against a table that grows with every program that ever spent its budget.
BOOST_AUTO_TEST_CASE(program_that_is_not_reported_again_is_forgotten)
{
    gateway::spent_budgets budgets;
    const time_point now{1h};
    gateway::record_spent_tokens(budgets, 1, 12, now);
    gateway::record_spent_tokens(budgets, 2, 5, now + 61s);
    BOOST_TEST(gateway::known_spent_tokens(budgets, 1) == 12U);
    gateway::record_spent_tokens(budgets, 2, 6, now + 122s);
    BOOST_TEST(gateway::known_spent_tokens(budgets, 1) == 0U);
    BOOST_TEST(gateway::known_spent_tokens(budgets, 2) == 6U);
    BOOST_TEST((budgets.current.size() + budgets.previous.size() <= 2U));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
