// The ledger: order, history, budgets, claims, resends, programs that are gone.
#include "ledger/ledger_func.hpp"
#include "random_test_options.hpp"

#include "base/hash_func.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

namespace guavawick::tests {

using namespace ledger;

namespace {

const program_key demo_p{organisation_name{"demo"}, program_name{"p"}};

open_request make_open(const program_key& key, const std::string& request, std::uint64_t attempt)
{
    open_request wish;
    wish.key = key;
    wish.request = request_name{request};
    wish.wanted = {attempt_id{attempt}, upstream_name{"eng-a"}, incarnation_id{1}, "e", incarnation_id{1}};
    wish.body = body_hash{hash_bytes(request)};
    wish.most_tokens = 10;
    wish.keep_answer = true;
    wish.messages = {{"user", request}};
    return wish;
}

close_request make_close(const program_key& key, std::uint64_t attempt, call_outcome outcome)
{
    close_request report;
    report.key = key;
    report.attempt = attempt_id{attempt};
    report.outcome = outcome;
    report.prompt_tokens = 3;
    report.completion_tokens = 4;
    report.answer.body = "answer of " + std::to_string(attempt);
    report.messages = {{"assistant", "answer of " + std::to_string(attempt)}};
    return report;
}

struct running_call {
    ledger_state state;
    open_result first;

    running_call() : first(open_call(state, make_open(demo_p, "one", 1)))
    {
        BOOST_REQUIRE((first.outcome == open_outcome::granted));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ledger_test)

BOOST_FIXTURE_TEST_CASE(second_call_of_a_program_waits_for_the_first_and_sees_its_answer, running_call)
{
    BOOST_TEST((open_call(state, make_open(demo_p, "two", 2)).outcome == open_outcome::waiting));
    BOOST_TEST((open_call(state, make_open(demo_p, "three", 3)).outcome == open_outcome::waiting));
    const close_result closed = close_call(state, make_close(demo_p, 1, call_outcome::done));
    BOOST_REQUIRE(closed.accepted);
    BOOST_REQUIRE(closed.promoted.size() == 1U);
    BOOST_TEST(closed.promoted[0].request.value == "two");
    const std::vector<chat_message> expected{{"user", "one"}, {"assistant", "answer of 1"}};
    BOOST_TEST((closed.promoted[0].result.history == expected));
}

BOOST_FIXTURE_TEST_CASE(late_report_of_a_superseded_attempt_is_not_heard, running_call)
{
    open_request again = make_open(demo_p, "one", 2);
    again.replaces = attempt_id{1};
    BOOST_REQUIRE((open_call(state, again).outcome == open_outcome::granted));
    BOOST_TEST(!close_call(state, make_close(demo_p, 1, call_outcome::done)).accepted);
    BOOST_TEST(close_call(state, make_close(demo_p, 2, call_outcome::done)).accepted);
    BOOST_TEST(find_program(state, demo_p)->history.back().content == "answer of 2");
}

BOOST_FIXTURE_TEST_CASE(attempt_is_not_replaced_by_one_that_names_another, running_call)
{
    open_request again = make_open(demo_p, "one", 2);
    again.replaces = attempt_id{99};
    const open_result result = open_call(state, again);
    BOOST_TEST((result.outcome == open_outcome::running));
    BOOST_TEST(result.bound.attempt.value == 1U);
}

BOOST_FIXTURE_TEST_CASE(resend_while_running_joins_and_after_the_end_gets_the_stored_answer, running_call)
{
    const open_result joined = open_call(state, make_open(demo_p, "one", 2));
    BOOST_TEST((joined.outcome == open_outcome::running));
    BOOST_TEST(joined.bound.attempt.value == 1U);
    close_call(state, make_close(demo_p, 1, call_outcome::done));
    const open_result stored = open_call(state, make_open(demo_p, "one", 3));
    BOOST_TEST((stored.outcome == open_outcome::stored));
    BOOST_TEST(stored.answer.body == "answer of 1");
}

BOOST_FIXTURE_TEST_CASE(unknown_outcome_is_said_again_and_never_runs_again, running_call)
{
    close_call(state, make_close(demo_p, 1, call_outcome::unknown));
    const open_result again = open_call(state, make_open(demo_p, "one", 2));
    BOOST_TEST((again.why == failure::outcome_unknown));
}

BOOST_FIXTURE_TEST_CASE(call_that_never_ran_may_be_opened_again, running_call)
{
    close_call(state, make_close(demo_p, 1, call_outcome::not_run));
    BOOST_TEST((open_call(state, make_open(demo_p, "one", 2)).outcome == open_outcome::granted));
    BOOST_TEST(find_program(state, demo_p)->calls == 1U);
}

BOOST_FIXTURE_TEST_CASE(same_request_id_with_another_body_is_refused, running_call)
{
    open_request other = make_open(demo_p, "one", 2);
    other.body = body_hash{12345};
    BOOST_TEST((open_call(state, other).why == failure::request_mismatch));
}

BOOST_FIXTURE_TEST_CASE(programs_of_two_organisations_with_one_name_share_nothing, running_call)
{
    close_call(state, make_close(demo_p, 1, call_outcome::done));
    const program_key foreign{organisation_name{"other"}, program_name{"p"}};
    const open_result result = open_call(state, make_open(foreign, "one", 5));
    BOOST_TEST((result.outcome == open_outcome::granted));
    BOOST_TEST(result.history.empty());
}

BOOST_AUTO_TEST_CASE(program_that_loops_is_stopped_by_its_budget_of_calls)
{
    ledger_state state;
    std::uint64_t granted = 0;
    for (std::uint64_t i = 1; i <= 20; ++i) {
        open_request wish = make_open(demo_p, "r" + std::to_string(i), i);
        wish.budget.calls = 7;
        const open_result result = open_call(state, wish);
        granted += result.outcome == open_outcome::granted ? 1 : 0;
        close_call(state, make_close(demo_p, i, call_outcome::done));
    }
    BOOST_TEST(granted == 7U);
}

BOOST_AUTO_TEST_CASE(sub_agents_spend_the_budget_of_their_root)
{
    ledger_state state;
    open_request root = make_open(demo_p, "root", 1);
    root.budget.tokens = 40;
    BOOST_REQUIRE((open_call(state, root).outcome == open_outcome::granted)); // 10 reserved
    std::uint64_t granted = 0;
    for (std::uint64_t i = 2; i <= 9; ++i) {
        open_request child =
            make_open({organisation_name{"demo"}, program_name{"c" + std::to_string(i)}}, "call", i);
        child.root = demo_p.program;
        child.parent = demo_p.program;
        granted += open_call(state, child).outcome == open_outcome::granted ? 1 : 0;
    }
    BOOST_TEST(granted == 3U); // 4 times 10 reserved in all
    BOOST_TEST(find_program(state, demo_p)->reserved_tokens == 40U);
}

BOOST_AUTO_TEST_CASE(unknown_outcome_keeps_its_reservation_spent)
{
    ledger_state state;
    open_request wish = make_open(demo_p, "a", 1);
    wish.budget.tokens = 25;
    BOOST_REQUIRE((open_call(state, wish).outcome == open_outcome::granted));
    close_call(state, make_close(demo_p, 1, call_outcome::unknown));
    BOOST_TEST(find_program(state, demo_p)->tokens == 10U);
}

BOOST_FIXTURE_TEST_CASE(next_call_goes_where_the_history_is_cached_unless_another_upstream_is_sooner,
                        running_call)
{
    close_request report = make_close(demo_p, 1, call_outcome::done);
    report.prompt_tokens = 8000;
    close_call(state, report);
    std::vector<upstream_choice> choices{{upstream_name{"eng-b"}, incarnation_id{2}, "b", 1.0, 4000},
                                         {upstream_name{"eng-a"}, incarnation_id{1}, "a", 2.5, 4000}};
    BOOST_TEST(choose_upstream(find_program(state, demo_p), choices).value() ==
               1U); // two seconds of prefill saved
    choices[1].seconds = 3.5;
    BOOST_TEST(choose_upstream(find_program(state, demo_p), choices).value() == 0U);
    BOOST_TEST(choose_upstream(nullptr, choices).value() == 0U);
    BOOST_TEST(!choose_upstream(nullptr, {}).has_value());
}

BOOST_AUTO_TEST_CASE(program_whose_parent_ended_is_refused)
{
    ledger_state state;
    open_request child = make_open({organisation_name{"demo"}, program_name{"c"}}, "call", 2);
    child.root = program_name{"gone"};
    BOOST_TEST((open_call(state, child).why == failure::program_ended));
}

BOOST_FIXTURE_TEST_CASE(ended_program_leaves_engine_memory_to_free_until_each_upstream_confirmed,
                        running_call)
{
    open_request child = make_open({organisation_name{"demo"}, program_name{"c"}}, "call", 2);
    child.root = demo_p.program;
    child.wanted.upstream = upstream_name{"eng-b"};
    BOOST_REQUIRE((open_call(state, child).outcome == open_outcome::granted));
    BOOST_TEST((open_call(state, make_open(demo_p, "two", 3)).outcome == open_outcome::waiting));
    std::vector<promotion> refused;
    BOOST_TEST(end_program(state, demo_p, refused));
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].result.why == failure::program_ended));
    BOOST_TEST(state.programs.empty());
    BOOST_TEST(state.to_free.size() == 2U);
    note_freed(state, demo_p, upstream_name{"eng-a"});
    note_upstream_gone(state, upstream_name{"eng-b"});
    BOOST_TEST(state.to_free.empty());
}

BOOST_FIXTURE_TEST_CASE(idle_program_expires_in_group_time_and_a_used_one_does_not, running_call)
{
    close_call(state, make_close(demo_p, 1, call_outcome::done));
    std::vector<promotion> refused;
    advance_time(state, std::chrono::seconds(default_idle_seconds - 1));
    expire_programs(state, refused);
    BOOST_TEST(state.programs.size() == 1U);
    open_call(state, make_open(demo_p, "two", 2));
    close_call(state, make_close(demo_p, 2, call_outcome::done));
    advance_time(state, std::chrono::seconds(default_idle_seconds + 1));
    expire_programs(state, refused);
    BOOST_TEST(state.programs.size() == 1U);
    advance_time(state, std::chrono::seconds(2 * default_idle_seconds));
    expire_programs(state, refused);
    BOOST_TEST(state.programs.empty());
    BOOST_TEST(state.to_free.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(programs_of_a_withdrawn_organisation_end, running_call)
{
    std::vector<promotion> refused;
    withdraw_organisation(state, organisation_name{"demo"}, refused);
    BOOST_TEST(state.programs.empty());
    BOOST_TEST(!close_call(state, make_close(demo_p, 1, call_outcome::done)).accepted);
}

BOOST_AUTO_TEST_CASE(random_calls_keep_order_history_and_budget_also_over_a_snapshot)
{
    for (const std::uint64_t seed : seeds({21, 22, 23, 24})) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::uint64_t random = seed;
            ledger_state state;
            std::map<std::string, std::vector<std::string>> closed_order;
            std::uint64_t next = 1;
            for (int i = 0; i < 4000; ++i) {
                const program_key key{organisation_name{"o" + std::to_string(next_random(random) % 2)},
                                      program_name{"p" + std::to_string(next_random(random) % 3)}};
                const std::uint64_t what = next_random(random) % 10;
                if (what < 5) {
                    const std::uint64_t attempt = next++;
                    open_request wish =
                        make_open(key, "r" + std::to_string(next_random(random) % 2000), attempt);
                    wish.budget.calls = 400;
                    open_call(state, wish);
                }
                else if (what < 9) {
                    const program_state* program = find_program(state, key);
                    if (program != nullptr && !program->open.empty()) {
                        const call_state& first = program->open.front();
                        const std::uint64_t fate = next_random(random) % 6;
                        const call_outcome outcome =
                            fate < 3 ? call_outcome::done
                                     : static_cast<call_outcome>(1 + next_random(random) % 4);
                        if (outcome == call_outcome::done) {
                            closed_order[key.organisation.value + key.program.value].push_back(
                                first.request.value);
                        }
                        BOOST_REQUIRE(
                            close_call(state, make_close(key, first.bound.attempt.value, outcome)).accepted);
                    }
                }
                else {
                    const std::string bytes = encode_state(state);
                    state = decode_state(bytes);
                    BOOST_REQUIRE(encode_state(state) == bytes);
                }
                for (const auto& [held_key, program] : state.programs) {
                    std::size_t running = 0;
                    for (std::size_t place = 0; place < program.open.size(); ++place) {
                        running += program.open[place].status == call_status::running ? 1 : 0;
                        BOOST_REQUIRE((place == 0) == (program.open[place].status == call_status::running));
                    }
                    BOOST_REQUIRE(running <= 1U);
                    BOOST_REQUIRE(program.calls <= 400U);
                }
            }
            for (const auto& [key, program] : state.programs) {
                std::vector<std::string> told;
                for (const chat_message& one : program.history) {
                    if (one.role == "user") {
                        told.push_back(one.content);
                    }
                }
                BOOST_TEST((told == closed_order[key.organisation.value + key.program.value]));
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
