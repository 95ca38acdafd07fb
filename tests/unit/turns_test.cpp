// Kept turns and token budgets of programs.
#include "base/failure_type.hpp"
#include "turns/turn_func.hpp"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

using namespace turns;
using namespace std::chrono_literals;

namespace {

/// A state with one chain of two turns of organisation "o", and helpers.
struct two_turns {
    turn_state state;

    two_turns()
    {
        turns::advance_time(state, 1000ms);
        keep("t1", "", "hello ", "one\n");
        keep("t2", "t1", "more ", "two\n");
    }

    void keep(const std::string& request, const std::string& previous, const std::string& input,
              const std::string& output)
    {
        close_request ended;
        ended.organisation = organisation_name{"o"};
        ended.request = request_name{request};
        ended.keep = true;
        ended.previous = request_name{previous};
        ended.input = input;
        ended.output = output;
        ended.retention = 60s;
        close_turn(state, ended);
    }

    open_result wish(const std::string& previous, const std::string& organisation = "o")
    {
        open_request made;
        made.organisation = organisation_name{organisation};
        made.request = request_name{"new"};
        made.previous = request_name{previous};
        return open_turn(state, made);
    }

    open_outcome spend(const std::string& request, std::uint64_t budget, std::uint64_t most)
    {
        open_request made;
        made.organisation = organisation_name{"o"};
        made.program = program_name{"p"};
        made.request = request_name{request};
        made.budget_tokens = budget;
        made.max_tokens = most;
        return open_turn(state, made).outcome;
    }

    void settle(const std::string& request, std::uint64_t used, const std::string& line = "l",
                const std::string& upstream = "u")
    {
        close_request ended;
        ended.organisation = organisation_name{"o"};
        ended.program = program_name{"p"};
        ended.request = request_name{request};
        ended.used_tokens = used;
        ended.line = line;
        ended.upstream = upstream;
        close_turn(state, ended);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(turns_test)

BOOST_FIXTURE_TEST_CASE(turn_that_continues_gets_the_whole_chain_oldest_first, two_turns)
{
    BOOST_TEST(wish("t2").history == "hello one\nmore two\n");
    BOOST_TEST(wish("t1").history == "hello one\n");
}

BOOST_FIXTURE_TEST_CASE(entry_that_holds_the_chain_gets_no_bytes_but_is_told_of_an_unknown_turn, two_turns)
{
    open_request made;
    made.organisation = organisation_name{"o"};
    made.request = request_name{"new"};
    made.previous = request_name{"t2"};
    made.has_history = true;
    const open_result granted = open_turn(state, made);
    BOOST_TEST((granted.outcome == open_outcome::granted));
    BOOST_TEST(granted.history.empty());
    made.previous = request_name{"t9"};
    BOOST_TEST((open_turn(state, made).outcome == open_outcome::unknown_turn));
}

BOOST_FIXTURE_TEST_CASE(turn_of_another_organisation_is_unknown, two_turns)
{
    BOOST_TEST((wish("t2", "other").outcome == open_outcome::unknown_turn));
}

BOOST_FIXTURE_TEST_CASE(chain_is_kept_as_long_as_its_newest_turn, two_turns)
{
    turns::advance_time(state, 50s);
    keep("t3", "t2", "x", "y\n");
    turns::advance_time(state, 1s + 60s + retention_slack + 1s); // the first turn alone would be gone
    BOOST_TEST((wish("t3").outcome == open_outcome::granted));
    turns::advance_time(state, 50s + 60s + retention_slack + 2s);
    BOOST_TEST((wish("t3").outcome == open_outcome::unknown_turn));
    BOOST_TEST(state.turns.empty());
}

BOOST_FIXTURE_TEST_CASE(report_that_comes_twice_keeps_the_first_content, two_turns)
{
    keep("t2", "t1", "other", "other\n");
    BOOST_TEST(wish("t2").history == "hello one\nmore two\n");
}

BOOST_FIXTURE_TEST_CASE(program_that_loops_exceeds_its_budget_by_less_than_one_turn, two_turns)
{
    std::uint64_t handed_out = 0;
    for (int i = 0; i < 100; ++i) {
        const std::string request = "r" + std::to_string(i);
        if (spend(request, 1000, 135) == open_outcome::granted) {
            handed_out += 135;
            if (i % 2 == 0) {
                settle(request, 135);
            }
        }
    }
    BOOST_TEST(handed_out >= 1000U);
    BOOST_TEST(handed_out < 1000U + 135U);
}

BOOST_FIXTURE_TEST_CASE(turn_that_used_little_returns_the_rest_of_its_reservation, two_turns)
{
    BOOST_TEST((spend("a", 200, 200) == open_outcome::granted));
    BOOST_TEST((spend("b", 200, 200) == open_outcome::budget_spent));
    settle("a", 30);
    settle("a", 30);
    BOOST_TEST((spend("b", 200, 200) == open_outcome::granted));
    BOOST_TEST(state.programs.begin()->second.spent == 30U);
}

BOOST_FIXTURE_TEST_CASE(resent_wish_reserves_once, two_turns)
{
    spend("a", 1000, 135);
    spend("a", 1000, 135);
    BOOST_TEST(state.programs.begin()->second.reserved.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(new_line_of_a_program_is_sent_where_its_program_is_warm, two_turns)
{
    spend("a", 1000, 100);
    settle("a", 10, "main", "engine-1");
    open_request made;
    made.organisation = organisation_name{"o"};
    made.program = program_name{"p"};
    made.request = request_name{"b"};
    made.budget_tokens = 1000;
    made.line = "helper";
    BOOST_TEST(open_turn(state, made).upstream == "engine-1");
}

BOOST_FIXTURE_TEST_CASE(state_survives_its_encoding, two_turns)
{
    spend("a", 1000, 135);
    settle("a", 30, "main", "engine-1");
    spend("b", 1000, 135);
    const turn_state copy = decode_state(encode_state(state));
    BOOST_TEST(encode_state(copy) == encode_state(state));
    BOOST_TEST(copy.turns.size() == 2U);
    BOOST_TEST(copy.programs.begin()->second.reserved.size() == 1U);
    BOOST_CHECK_THROW(decode_state("\xff\xff"), decode_error);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
