// Stored turns and token budgets of programs.
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "turns/turn_func.hpp"
#include "wire.pb.h"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

using namespace turns;
using namespace std::chrono_literals;

namespace {

/// A state with two stored turns of organisation "o", the second of which continues from the first.
struct two_turns_fixture {
    turn_state state;
    std::string stored; ///< contents of all turns, at the offsets that the state names

    two_turns_fixture()
    {
        turns::advance_time(state, 1000ms);
        store_turn("t1", "", "hello ", "one\n");
        store_turn("t2", "t1", "more ", "two\n");
    }

    void store_turn(const std::string& request, const std::string& previous, const std::string& input,
                    const std::string& output)
    {
        close_request closing;
        closing.organisation = organisation_name{"o"};
        closing.request = request_name{request};
        closing.keep = true;
        closing.previous = request_name{previous};
        closing.retention = 60s;
        const content_range content =
            stores_content(state, closing) ? write(input + output) : content_range{};
        close_turn(state, closing, content);
    }

    content_range write(std::string_view content)
    {
        const content_range range{1, static_cast<std::uint32_t>(stored.size()),
                                  static_cast<std::uint32_t>(content.size()), crc32c(content)};
        stored += content;
        return range;
    }

    std::string read_history(const open_result& result)
    {
        std::string history;
        for (const content_range& range : result.history) {
            history += stored.substr(range.offset, range.size);
        }
        return history;
    }

    open_result open_after(const std::string& previous, const std::string& organisation = "o")
    {
        open_request opening;
        opening.organisation = organisation_name{organisation};
        opening.request = request_name{"new"};
        opening.previous = request_name{previous};
        return open_turn(state, opening);
    }

    open_outcome reserve(const std::string& request, std::uint64_t budget_tokens, std::uint64_t max_tokens)
    {
        open_request opening;
        opening.organisation = organisation_name{"o"};
        opening.program = program_name{"p"};
        opening.request = request_name{request};
        opening.budget_tokens = budget_tokens;
        opening.max_tokens = max_tokens;
        return open_turn(state, opening).outcome;
    }

    void settle_turn(const std::string& request, std::uint64_t used_tokens, const std::string& line = "l",
                     const std::string& upstream = "u")
    {
        close_request closing;
        closing.organisation = organisation_name{"o"};
        closing.program = program_name{"p"};
        closing.request = request_name{request};
        closing.used_tokens = used_tokens;
        closing.line = line;
        closing.upstream = upstream;
        close_turn(state, closing, {});
    }
};

content_range writes_nothing(std::string_view)
{
    throw decode_error("the state holds a content");
}

} // namespace

BOOST_AUTO_TEST_SUITE(turns_test)

BOOST_FIXTURE_TEST_CASE(turn_gets_the_whole_history_oldest_first, two_turns_fixture)
{
    BOOST_TEST(read_history(open_after("t2")) == "hello one\nmore two\n");
    BOOST_TEST(read_history(open_after("t1")) == "hello one\n");
}

BOOST_FIXTURE_TEST_CASE(gateway_that_has_the_history_gets_no_bytes_but_an_unknown_turn_is_reported,
                        two_turns_fixture)
{
    open_request opening;
    opening.organisation = organisation_name{"o"};
    opening.request = request_name{"new"};
    opening.previous = request_name{"t2"};
    opening.has_history = true;
    const open_result result = open_turn(state, opening);
    BOOST_TEST((result.outcome == open_outcome::granted));
    BOOST_TEST(result.history.empty());
    opening.previous = request_name{"t9"};
    BOOST_TEST((open_turn(state, opening).outcome == open_outcome::unknown_turn));
}

BOOST_FIXTURE_TEST_CASE(turn_of_another_organisation_is_unknown, two_turns_fixture)
{
    BOOST_TEST((open_after("t2", "other").outcome == open_outcome::unknown_turn));
}

BOOST_FIXTURE_TEST_CASE(history_is_kept_as_long_as_its_newest_turn, two_turns_fixture)
{
    turns::advance_time(state, 50s);
    store_turn("t3", "t2", "x", "y\n");
    turns::advance_time(state, 1s + 60s + retention_slack + 1s); // the first turn's own retention has ended
    BOOST_TEST((open_after("t3").outcome == open_outcome::granted));
    turns::advance_time(state, 50s + 60s + retention_slack + 2s);
    BOOST_TEST((open_after("t3").outcome == open_outcome::unknown_turn));
    BOOST_TEST(state.turns.empty());
}

// Guards against 404 for a turn that was answered whole: its history expired while it ran.
BOOST_FIXTURE_TEST_CASE(turn_that_runs_past_the_retention_of_its_history_can_be_continued, two_turns_fixture)
{
    turns::advance_time(state, 1s + 60s);
    BOOST_TEST((open_after("t2").outcome == open_outcome::granted));
    turns::advance_time(state, 1s + 60s + retention_slack + 6s);
    store_turn("t3", "t2", "x", "y\n");
    BOOST_TEST(read_history(open_after("t3")) == "hello one\nmore two\nxy\n");
}

// Guards against stored turns that can't be continued: a turn that ends after its longest run time.
BOOST_FIXTURE_TEST_CASE(turn_whose_history_has_expired_is_not_stored, two_turns_fixture)
{
    turns::advance_time(state, 1s + 60s);
    BOOST_TEST((open_after("t2").outcome == open_outcome::granted));
    turns::advance_time(state, 1s + 60s + 10min);
    store_turn("t3", "t2", "x", "y\n");
    BOOST_TEST(state.turns.empty());
    BOOST_TEST(stored == "hello one\nmore two\n");
}

BOOST_FIXTURE_TEST_CASE(turn_that_never_closes_keeps_its_history_for_a_bounded_time, two_turns_fixture)
{
    turns::advance_time(state, 1s + 60s);
    BOOST_TEST((open_after("t2").outcome == open_outcome::granted));
    turns::advance_time(state, 1s + 60s + 30s + retention_slack + 2s);
    BOOST_TEST(state.turns.empty());
}

// Guards against a budget that starts anew: the account of a program expired before its stored turns.
BOOST_FIXTURE_TEST_CASE(account_is_kept_as_long_as_the_turns_of_its_program, two_turns_fixture)
{
    BOOST_TEST((reserve("a", 100, 100) == open_outcome::granted));
    close_request closing;
    closing.organisation = organisation_name{"o"};
    closing.program = program_name{"p"};
    closing.request = request_name{"a"};
    closing.used_tokens = 100;
    closing.keep = true;
    closing.retention = 300s;
    close_turn(state, closing, write("a"));
    turns::advance_time(state, 1s + 300s);
    BOOST_TEST((open_after("a").outcome == open_outcome::granted));
    BOOST_TEST((reserve("b", 100, 100) == open_outcome::budget_spent));
}

// Guards against a budget that starts anew: the account of a program expired while a turn of it ran.
BOOST_FIXTURE_TEST_CASE(account_is_kept_while_a_turn_of_its_program_may_run, two_turns_fixture)
{
    open_request opening;
    opening.organisation = organisation_name{"o"};
    opening.program = program_name{"p"};
    opening.request = request_name{"a"};
    opening.budget_tokens = 100;
    opening.max_tokens = 100;
    opening.run_timeout = 10min;
    BOOST_TEST((open_turn(state, opening).outcome == open_outcome::granted));
    turns::advance_time(state, 1s + 10min);
    BOOST_TEST((reserve("b", 100, 100) == open_outcome::budget_spent));
}

BOOST_FIXTURE_TEST_CASE(history_in_parts_is_the_whole_history, two_turns_fixture)
{
    store_turn("t3", "t2", std::string(100, 'x'), "y\n");
    const std::vector<content_range> history =
        find_history(state, {organisation_name{"o"}, request_name{"t3"}});
    std::string collected;
    for (std::size_t first = 0; first < history.size();) {
        const std::vector<content_range> part = select_part(history, first, 25);
        BOOST_REQUIRE(!part.empty());
        for (const content_range& content : part) {
            collected += stored.substr(content.offset, content.size);
        }
        first += part.size();
    }
    BOOST_TEST(collected == stored);
    BOOST_TEST(select_part(history, 0, 25).size() == 2U);
    BOOST_TEST(select_part(history, 3, 25).empty());
    BOOST_TEST(find_history(state, {organisation_name{"o"}, request_name{"t9"}}).empty());
}

BOOST_FIXTURE_TEST_CASE(duplicate_close_keeps_the_first_content, two_turns_fixture)
{
    store_turn("t2", "t1", "other", "other\n");
    BOOST_TEST(read_history(open_after("t2")) == "hello one\nmore two\n");
}

BOOST_FIXTURE_TEST_CASE(looping_program_exceeds_its_budget_by_less_than_one_turn, two_turns_fixture)
{
    std::uint64_t granted_tokens = 0;
    for (int i = 0; i < 100; ++i) {
        const std::string request = "r" + std::to_string(i);
        if (reserve(request, 1000, 135) == open_outcome::granted) {
            granted_tokens += 135;
            if (i % 2 == 0) {
                settle_turn(request, 135);
            }
        }
    }
    BOOST_TEST(granted_tokens >= 1000U);
    BOOST_TEST(granted_tokens < 1000U + 135U);
}

BOOST_FIXTURE_TEST_CASE(closed_turn_releases_the_unused_part_of_its_reservation, two_turns_fixture)
{
    BOOST_TEST((reserve("a", 200, 200) == open_outcome::granted));
    BOOST_TEST((reserve("b", 200, 200) == open_outcome::budget_spent));
    settle_turn("a", 30);
    settle_turn("a", 30);
    BOOST_TEST((reserve("b", 200, 200) == open_outcome::granted));
    BOOST_TEST(state.programs.begin()->second.spent == 30U);
}

// Guards against tokens that stay reserved, and against a turn that runs free of charge: an opening that was
// not confirmed arrives after the turn was closed.
BOOST_FIXTURE_TEST_CASE(opening_that_arrives_after_its_closing_is_not_granted_and_reserves_nothing,
                        two_turns_fixture)
{
    settle_turn("a", 0);
    BOOST_TEST((reserve("a", 100, 100) == open_outcome::closed));
    BOOST_TEST(state.programs.begin()->second.reserved.empty());
    BOOST_TEST((reserve("b", 100, 100) == open_outcome::granted));
}

BOOST_FIXTURE_TEST_CASE(resent_open_request_reserves_once, two_turns_fixture)
{
    reserve("a", 1000, 135);
    reserve("a", 1000, 135);
    BOOST_TEST(state.programs.begin()->second.reserved.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(new_line_of_a_program_runs_where_the_program_is_warm, two_turns_fixture)
{
    reserve("a", 1000, 100);
    settle_turn("a", 10, "main", "engine-1");
    open_request opening;
    opening.organisation = organisation_name{"o"};
    opening.program = program_name{"p"};
    opening.request = request_name{"b"};
    opening.budget_tokens = 1000;
    opening.line = "helper";
    BOOST_TEST(open_turn(state, opening).upstream == "engine-1");
}

BOOST_FIXTURE_TEST_CASE(state_is_equal_after_encoding_and_decoding, two_turns_fixture)
{
    reserve("a", 1000, 135);
    settle_turn("a", 30, "main", "engine-1");
    reserve("b", 1000, 135);
    const turn_state copy = decode_state(encode_state(state), writes_nothing);
    BOOST_TEST(encode_state(copy) == encode_state(state));
    BOOST_TEST(copy.turns.size() == 2U);
    BOOST_TEST(copy.programs.begin()->second.reserved.size() == 1U);
    BOOST_CHECK_THROW(decode_state("\xff\xff", writes_nothing), decode_error);
}

BOOST_FIXTURE_TEST_CASE(duplicate_close_stores_no_content, two_turns_fixture)
{
    const std::size_t before = stored.size();
    store_turn("t2", "t1", "other", "other\n");
    BOOST_TEST(stored.size() == before);
}

// Size of a store's state: 10,000 turns of a busy minute must take a few megabytes whatever their contents.
BOOST_FIXTURE_TEST_CASE(encoded_state_does_not_grow_with_the_contents, two_turns_fixture)
{
    const std::size_t before = encode_state(state).size();
    store_turn("t3", "t2", std::string(1U << 20U, 'x'), "y\n");
    BOOST_TEST(encode_state(state).size() - before < 200U);
}

BOOST_FIXTURE_TEST_CASE(snapshot_with_contents_inside_is_read_and_its_contents_are_written, two_turns_fixture)
{
    wire::turn_snapshot old;
    wire::turn_record* record = old.add_turns();
    record->set_organisation("o");
    record->set_request("t1");
    record->set_input("hello ");
    record->set_output("one\n");
    stored.clear();
    state = decode_state(old.SerializeAsString(), [this](std::string_view bytes) { return write(bytes); });
    BOOST_TEST(read_history(open_after("t1")) == "hello one\n");
}

// Guards against a stream that goes on at another version because its origin was forgotten or replaced.
BOOST_AUTO_TEST_CASE(origin_of_a_stream_is_the_latest_attempts_and_is_kept_while_it_may_be_taken_up)
{
    turn_state state;
    turns::advance_time(state, 1000ms);
    open_request opening;
    opening.organisation = organisation_name{"o"};
    opening.request = request_name{"r"};
    opening.run_timeout = 4s;
    opening.origin = stream_origin{"s", "v1", 0, {}};
    open_turn(state, opening);
    record_stream(state, {organisation_name{"o"}, request_name{"r"}, {"s", "v2", 2, {}}, 4s});
    record_stream(state, {organisation_name{"o"}, request_name{"r"}, {"s", "v3", 1, {}}, 4s}); // arrives late
    open_turn(state, opening);                                                                 // sent again
    open_request taking_up;
    taking_up.organisation = organisation_name{"o"};
    taking_up.request = request_name{"r2"};
    taking_up.resumes = request_name{"r"};
    taking_up.run_timeout = 4s;
    state = decode_state(encode_state(state), [](std::string_view) { return content_range{}; });
    BOOST_TEST(open_turn(state, taking_up).origin.value().version == "v2");
    taking_up.organisation = organisation_name{"p"};
    BOOST_TEST(!open_turn(state, taking_up).origin);
    taking_up.organisation = organisation_name{"o"};
    turns::advance_time(state, 9000ms); // the run and the slack
    BOOST_TEST(open_turn(state, taking_up).origin.has_value());
    turns::advance_time(state, 17000ms);
    BOOST_TEST(open_turn(state, taking_up).origin.has_value()); // extended by the call before
    turns::advance_time(state, 30000ms);
    BOOST_TEST(!open_turn(state, taking_up).origin);
    BOOST_TEST(state.streams.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
