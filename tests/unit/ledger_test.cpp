// Tests of the ledger: order of calls, history, budgets, assignments, resends and ended programs.
#include "ledger/ledger_func.hpp"
#include "random_run.hpp"

#include "base/hash_func.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

namespace guavawick::tests {

using namespace ledger;

namespace {

const program_key demo_program{organisation_name{"demo"}, program_name{"p"}};

open_request make_open(const program_key& key, const std::string& request_id, std::uint64_t attempt)
{
    open_request request;
    request.key = key;
    request.request_id = request_name{request_id};
    request.assignment = {attempt_id{attempt}, upstream_name{"eng-a"}, incarnation_id{1}, "e",
                          incarnation_id{1}};
    request.body = body_hash{hash_bytes(request_id)};
    request.max_tokens = 10;
    request.keep_answer = true;
    request.messages = {{"user", request_id}};
    return request;
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

    running_call() : first(open_call(state, make_open(demo_program, "one", 1)))
    {
        BOOST_REQUIRE((first.outcome == open_outcome::granted));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ledger_test)

BOOST_FIXTURE_TEST_CASE(second_call_of_a_program_waits_for_the_first_and_sees_its_answer, running_call)
{
    BOOST_TEST((open_call(state, make_open(demo_program, "two", 2)).outcome == open_outcome::waiting));
    BOOST_TEST((open_call(state, make_open(demo_program, "three", 3)).outcome == open_outcome::waiting));
    const close_result closed = close_call(state, make_close(demo_program, 1, call_outcome::done));
    BOOST_REQUIRE(closed.accepted);
    BOOST_REQUIRE(closed.dequeued.size() == 1U);
    BOOST_TEST(closed.dequeued[0].request_id.value == "two");
    const std::vector<chat_message> expected{{"user", "one"}, {"assistant", "answer of 1"}};
    BOOST_TEST((closed.dequeued[0].result.history == expected));
}

BOOST_FIXTURE_TEST_CASE(late_report_of_a_superseded_attempt_is_rejected, running_call)
{
    open_request resend = make_open(demo_program, "one", 2);
    resend.replaces = attempt_id{1};
    BOOST_REQUIRE((open_call(state, resend).outcome == open_outcome::granted));
    BOOST_TEST(!close_call(state, make_close(demo_program, 1, call_outcome::done)).accepted);
    BOOST_TEST(close_call(state, make_close(demo_program, 2, call_outcome::done)).accepted);
    BOOST_TEST(find_program(state, demo_program)->history.back().content == "answer of 2");
}

BOOST_FIXTURE_TEST_CASE(attempt_is_not_replaced_by_a_request_that_names_another_attempt, running_call)
{
    open_request resend = make_open(demo_program, "one", 2);
    resend.replaces = attempt_id{99};
    const open_result result = open_call(state, resend);
    BOOST_TEST((result.outcome == open_outcome::running));
    BOOST_TEST(result.assignment.attempt.value == 1U);
}

BOOST_FIXTURE_TEST_CASE(resend_joins_the_running_call_and_gets_the_stored_answer_once_it_is_closed,
                        running_call)
{
    const open_result joined = open_call(state, make_open(demo_program, "one", 2));
    BOOST_TEST((joined.outcome == open_outcome::running));
    BOOST_TEST(joined.assignment.attempt.value == 1U);
    close_call(state, make_close(demo_program, 1, call_outcome::done));
    const open_result stored = open_call(state, make_open(demo_program, "one", 3));
    BOOST_TEST((stored.outcome == open_outcome::stored));
    BOOST_TEST(stored.answer.body == "answer of 1");
}

BOOST_FIXTURE_TEST_CASE(resend_of_a_call_with_unknown_outcome_is_refused, running_call)
{
    close_call(state, make_close(demo_program, 1, call_outcome::unknown));
    const open_result resend = open_call(state, make_open(demo_program, "one", 2));
    BOOST_TEST((resend.error == failure::outcome_unknown));
}

BOOST_FIXTURE_TEST_CASE(call_that_never_ran_may_be_opened_again, running_call)
{
    close_call(state, make_close(demo_program, 1, call_outcome::not_executed));
    BOOST_TEST((open_call(state, make_open(demo_program, "one", 2)).outcome == open_outcome::granted));
    BOOST_TEST(find_program(state, demo_program)->calls == 1U);
}

BOOST_FIXTURE_TEST_CASE(same_request_id_with_another_body_is_refused, running_call)
{
    open_request other = make_open(demo_program, "one", 2);
    other.body = body_hash{12345};
    BOOST_TEST((open_call(state, other).error == failure::request_mismatch));
}

BOOST_FIXTURE_TEST_CASE(programs_of_two_organisations_with_the_same_name_are_separate, running_call)
{
    close_call(state, make_close(demo_program, 1, call_outcome::done));
    const program_key other_key{organisation_name{"other"}, program_name{"p"}};
    const open_result result = open_call(state, make_open(other_key, "one", 5));
    BOOST_TEST((result.outcome == open_outcome::granted));
    BOOST_TEST(result.history.empty());
}

BOOST_AUTO_TEST_CASE(looping_program_is_stopped_by_its_call_budget)
{
    ledger_state state;
    std::uint64_t granted = 0;
    for (std::uint64_t i = 1; i <= 20; ++i) {
        open_request request = make_open(demo_program, "r" + std::to_string(i), i);
        request.budget.calls = 7;
        const open_result result = open_call(state, request);
        granted += result.outcome == open_outcome::granted ? 1 : 0;
        close_call(state, make_close(demo_program, i, call_outcome::done));
    }
    BOOST_TEST(granted == 7U);
}

BOOST_AUTO_TEST_CASE(sub_agents_share_the_budget_of_their_root)
{
    ledger_state state;
    open_request root = make_open(demo_program, "root", 1);
    root.budget.tokens = 40;
    BOOST_REQUIRE((open_call(state, root).outcome == open_outcome::granted)); // reserves 10 tokens
    std::uint64_t granted = 0;
    for (std::uint64_t i = 2; i <= 9; ++i) {
        open_request child =
            make_open({organisation_name{"demo"}, program_name{"c" + std::to_string(i)}}, "call", i);
        child.root = demo_program.program;
        child.parent = demo_program.program;
        granted += open_call(state, child).outcome == open_outcome::granted ? 1 : 0;
    }
    BOOST_TEST(granted == 3U); // with the root's own call, 4 * 10 tokens are reserved
    BOOST_TEST(find_program(state, demo_program)->reserved_tokens == 40U);
}

BOOST_AUTO_TEST_CASE(reservation_of_a_call_with_unknown_outcome_counts_as_used)
{
    ledger_state state;
    open_request request = make_open(demo_program, "a", 1);
    request.budget.tokens = 25;
    BOOST_REQUIRE((open_call(state, request).outcome == open_outcome::granted));
    close_call(state, make_close(demo_program, 1, call_outcome::unknown));
    BOOST_TEST(find_program(state, demo_program)->tokens == 10U);
}

BOOST_FIXTURE_TEST_CASE(next_call_goes_to_the_upstream_with_the_cached_history_unless_another_ends_sooner,
                        running_call)
{
    close_request report = make_close(demo_program, 1, call_outcome::done);
    report.prompt_tokens = 8000;
    close_call(state, report);
    std::vector<upstream_choice> choices{{upstream_name{"eng-b"}, incarnation_id{2}, "b", 1.0, 4000},
                                         {upstream_name{"eng-a"}, incarnation_id{1}, "a", 2.5, 4000}};
    BOOST_TEST(choose_upstream(find_program(state, demo_program), choices).value() ==
               1U); // its cached history saves 2 s of prefill
    choices[1].seconds = 3.5;
    BOOST_TEST(choose_upstream(find_program(state, demo_program), choices).value() == 0U);
    BOOST_TEST(choose_upstream(nullptr, choices).value() == 0U);
    BOOST_TEST(!choose_upstream(nullptr, {}).has_value());
}

BOOST_AUTO_TEST_CASE(program_whose_root_ended_is_refused)
{
    ledger_state state;
    open_request child = make_open({organisation_name{"demo"}, program_name{"c"}}, "call", 2);
    child.root = program_name{"gone"};
    BOOST_TEST((open_call(state, child).error == failure::program_ended));
}

BOOST_FIXTURE_TEST_CASE(engine_memory_of_an_ended_program_is_listed_until_each_upstream_freed_it_or_was_lost,
                        running_call)
{
    open_request child = make_open({organisation_name{"demo"}, program_name{"c"}}, "call", 2);
    child.root = demo_program.program;
    child.assignment.upstream = upstream_name{"eng-b"};
    BOOST_REQUIRE((open_call(state, child).outcome == open_outcome::granted));
    BOOST_TEST((open_call(state, make_open(demo_program, "two", 3)).outcome == open_outcome::waiting));
    std::vector<dequeued_call> refused;
    BOOST_TEST(end_program(state, demo_program, refused));
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].result.error == failure::program_ended));
    BOOST_TEST(state.programs.empty());
    BOOST_TEST(state.memory_to_free.size() == 2U);
    record_memory_freed(state, demo_program, upstream_name{"eng-a"});
    record_upstream_lost(state, upstream_name{"eng-b"});
    BOOST_TEST(state.memory_to_free.empty());
}

BOOST_FIXTURE_TEST_CASE(idle_program_expires_by_group_time_and_a_used_one_does_not, running_call)
{
    close_call(state, make_close(demo_program, 1, call_outcome::done));
    std::vector<dequeued_call> refused;
    advance_time(state, std::chrono::seconds(default_idle_seconds - 1));
    expire_programs(state, refused);
    BOOST_TEST(state.programs.size() == 1U);
    open_call(state, make_open(demo_program, "two", 2));
    close_call(state, make_close(demo_program, 2, call_outcome::done));
    advance_time(state, std::chrono::seconds(default_idle_seconds + 1));
    expire_programs(state, refused);
    BOOST_TEST(state.programs.size() == 1U);
    advance_time(state, std::chrono::seconds(2 * default_idle_seconds));
    expire_programs(state, refused);
    BOOST_TEST(state.programs.empty());
    BOOST_TEST(state.memory_to_free.size() == 1U);
}

// Guards against a program that is ended, with its history, while a call of its sub-agent runs.
BOOST_FIXTURE_TEST_CASE(program_with_a_running_call_of_a_sub_agent_does_not_expire, running_call)
{
    const program_key child{demo_program.organisation, program_name{"child"}};
    open_request opening = make_open(child, "two", 2);
    opening.parent = demo_program.program;
    opening.root = demo_program.program;
    BOOST_REQUIRE((open_call(state, opening).outcome == open_outcome::granted));
    close_call(state, make_close(demo_program, 1, call_outcome::done));
    std::vector<dequeued_call> refused;
    advance_time(state, std::chrono::seconds(default_idle_seconds + 1));
    expire_programs(state, refused);
    BOOST_TEST(close_call(state, make_close(child, 2, call_outcome::done)).accepted);
    BOOST_TEST(state.programs.contains(demo_program));
}

BOOST_FIXTURE_TEST_CASE(programs_of_a_withdrawn_organisation_end, running_call)
{
    std::vector<dequeued_call> refused;
    withdraw_organisation(state, organisation_name{"demo"}, refused);
    BOOST_TEST(state.programs.empty());
    BOOST_TEST(!close_call(state, make_close(demo_program, 1, call_outcome::done)).accepted);
}

BOOST_AUTO_TEST_CASE(random_calls_keep_order_history_and_budget_across_snapshots)
{
    for (const std::uint64_t seed : seeds({21, 22, 23, 24})) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::uint64_t random = seed;
            ledger_state state;
            std::map<std::string, std::vector<std::string>> closed_order;
            std::uint64_t next_attempt = 1;
            for (int i = 0; i < 4000; ++i) {
                const program_key key{organisation_name{"o" + std::to_string(next_random(random) % 2)},
                                      program_name{"p" + std::to_string(next_random(random) % 3)}};
                const std::uint64_t action = next_random(random) % 10;
                if (action < 5) {
                    const std::uint64_t attempt = next_attempt++;
                    open_request request =
                        make_open(key, "r" + std::to_string(next_random(random) % 2000), attempt);
                    request.budget.calls = 400;
                    open_call(state, request);
                }
                else if (action < 9) {
                    const program_state* program = find_program(state, key);
                    if (program != nullptr && !program->open_calls.empty()) {
                        const call_state& first = program->open_calls.front();
                        const std::uint64_t outcome_choice = next_random(random) % 6;
                        const call_outcome outcome =
                            outcome_choice < 3 ? call_outcome::done
                                               : static_cast<call_outcome>(1 + next_random(random) % 4);
                        if (outcome == call_outcome::done) {
                            closed_order[key.organisation.value + key.program.value].push_back(
                                first.request_id.value);
                        }
                        BOOST_REQUIRE(
                            close_call(state, make_close(key, first.assignment.attempt.value, outcome))
                                .accepted);
                    }
                }
                else {
                    const std::string bytes = encode_state(state);
                    state = decode_state(bytes);
                    BOOST_REQUIRE(encode_state(state) == bytes);
                }
                for (const auto& [checked_key, program] : state.programs) {
                    std::size_t running = 0;
                    for (std::size_t index = 0; index < program.open_calls.size(); ++index) {
                        running += program.open_calls[index].status == call_status::running ? 1 : 0;
                        BOOST_REQUIRE((index == 0) ==
                                      (program.open_calls[index].status == call_status::running));
                    }
                    BOOST_REQUIRE(running <= 1U);
                    BOOST_REQUIRE(program.calls <= 400U);
                }
            }
            for (const auto& [key, program] : state.programs) {
                std::vector<std::string> user_messages;
                for (const chat_message& message : program.history) {
                    if (message.role == "user") {
                        user_messages.push_back(message.content);
                    }
                }
                BOOST_TEST((user_messages == closed_order[key.organisation.value + key.program.value]));
            }
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
