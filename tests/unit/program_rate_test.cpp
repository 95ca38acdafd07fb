// Programs that need more than their organisation's rate, with and without precedence of running programs.
#include "base/hash_func.hpp"
#include "gateway/program_memory.hpp"
#include "limit/bucket_func.hpp"
#include "random_run.hpp"

#include <boost/test/unit_test.hpp>

#include <vector>

namespace guavawick::tests {

using namespace limit;

namespace {

constexpr rate_limit allowed{30, 30};
constexpr std::uint32_t calls_per_program = 12;
constexpr std::uint32_t max_tries_per_call = 3; ///< the users' callers retry twice
constexpr duration call_pause = 300ms;          ///< between two calls, and before a retry
constexpr duration max_token_wait = 500ms;      ///< wait for a token before a call is refused
constexpr duration step = 10ms;
constexpr std::size_t visit_stride =
    10007; ///< prime and above the number of programs, so that each step visits every program once
constexpr std::uint32_t programs_per_ten_seconds = 36; ///< 43 calls a second at a rate of 30

struct simulated_program {
    std::uint32_t calls_done = 0;
    std::uint32_t tries = 0;
    time_point next_call_at{};  ///< time of its next call
    time_point wait_deadline{}; ///< the waiting call is refused after this
    bool waiting = false;
    bool failed = false;
};

/// Programs and calls counted over a simulation.
struct simulation_result {
    std::size_t started = 0;
    std::size_t completed = 0;
    std::size_t wasted_calls = 0; ///< calls that ran for programs that failed later
};

/// Simulates programs whose calls each request one token from the owner, so that the outcome depends only on
/// the precedence among programs.
class rate_simulation {
public:
    explicit rate_simulation(bool starts_wait) : starts_wait_(starts_wait) {}

    simulation_result run()
    {
        bucket_.level = allowed.burst;
        for (; now_ < end_; now_ += step) {
            if (next_random(random_) % 10'000 < programs_per_ten_seconds * 10) {
                programs_.push_back({0, 0, now_, {}, false, false});
            }
            // Entries request tokens regardless of the age of the programs.
            const std::size_t offset = next_random(random_) % (programs_.size() + 1);
            for (std::size_t i = 0; i < programs_.size(); ++i) {
                advance(programs_[(offset + i * visit_stride) % programs_.size()]);
            }
        }
        simulation_result result;
        for (const simulated_program& program : programs_) {
            ++result.started;
            result.completed += program.calls_done == calls_per_program ? 1 : 0;
            result.wasted_calls += program.failed ? program.calls_done : 0;
        }
        return result;
    }

private:
    void advance(simulated_program& program)
    {
        if (program.failed || program.calls_done == calls_per_program || now_ < program.next_call_at) {
            return;
        }
        if (!program.waiting) {
            program.waiting = true;
            program.wait_deadline = now_ + max_token_wait;
        }
        const bool is_start = starts_wait_ && program.calls_done == 0;
        const borrow_request request{incarnation_id{++calls_}, 1, 0, 0, 0, is_start ? 0.0 : 1.0,
                                     is_start ? 1.0 : 0.0};
        const bool granted = lend_tokens(bucket_, request, now_) >= 1.0;
        bucket_.leases.erase(request.entry); // the token is spent at once
        if (granted) {
            program = {program.calls_done + 1, 0, now_ + call_pause, {}, false, false};
        }
        else if (now_ >= program.wait_deadline) {
            ++program.tries;
            program.waiting = false;
            program.failed = program.tries == max_tries_per_call;
            program.next_call_at = now_ + call_pause;
        }
    }

    bool starts_wait_;
    std::uint64_t random_ = 7;
    std::uint64_t calls_ = 0;
    time_point now_{std::chrono::hours(1)};
    time_point end_ = now_ + 120s;
    bucket bucket_ = make_bucket(allowed, now_);
    std::vector<simulated_program> programs_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(program_rate_test)

BOOST_AUTO_TEST_CASE(organisation_over_its_rate_completes_more_programs_if_running_ones_have_precedence)
{
    const simulation_result unordered = rate_simulation(false).run();
    const simulation_result starts_wait = rate_simulation(true).run();
    BOOST_TEST_MESSAGE("whole " << unordered.completed << " -> " << starts_wait.completed << ", wasted calls "
                                << unordered.wasted_calls << " -> " << starts_wait.wasted_calls);
    BOOST_TEST(unordered.started == starts_wait.started);
    // The rate suffices for 30 x 120 / 12 = 300 programs; the target is nine tenths of them.
    BOOST_TEST(starts_wait.completed >= 270);
    BOOST_TEST(starts_wait.completed > unordered.completed);
    BOOST_TEST(starts_wait.wasted_calls < unordered.wasted_calls);
}

BOOST_AUTO_TEST_CASE(scarce_bucket_serves_running_programs_and_refuses_new_ones)
{
    bucket limited_bucket = make_bucket(allowed, time_point{});
    limited_bucket.level = 5;
    BOOST_TEST(is_scarce(limited_bucket));
    BOOST_TEST(lend_tokens(limited_bucket, {incarnation_id{1}, 1, 0, 0, 0, 0, 1}, time_point{}) == 0);
    BOOST_TEST(lend_tokens(limited_bucket, {incarnation_id{2}, 1, 0, 0, 0, 1, 0}, time_point{}) == 1);
}

BOOST_AUTO_TEST_CASE(raised_rate_limit_stays_within_the_tolerance_and_leaves_room_for_transfer_delays)
{
    for (const double rate : {4.0, 40.0, 155.0}) {
        const tolerance allowed{0.1, 20, 5s};
        const rate_limit raised = apply_tolerance({rate, rate}, allowed);
        const double max_calls = (rate * 5 + rate) * 1.1 + 20;
        BOOST_TEST(raised.rate > rate);
        BOOST_TEST(raised.rate * 5 + raised.burst + 10 <= max_calls);
    }
    const rate_limit unchanged = apply_tolerance({100, 50}, {});
    BOOST_TEST(unchanged.rate == 100);
    BOOST_TEST(unchanged.burst == 50);
}

BOOST_AUTO_TEST_CASE(returned_token_can_be_spent_again_until_its_lease_expires)
{
    const time_point now{std::chrono::hours(1)};
    token_lease lease;
    receive_grant(lease, {incarnation_id{1}, 1, 0, 0, 0, 1, 0}, 1, now, now);
    BOOST_TEST(spend_token(lease, now));
    BOOST_TEST(!spend_token(lease, now));
    return_token(lease, now);
    BOOST_TEST(spend_token(lease, now));
    return_token(lease, now + token_lease_time);
    BOOST_TEST(!spend_token(lease, now + token_lease_time));
}

BOOST_AUTO_TEST_CASE(program_is_forgotten_after_two_generations)
{
    gateway::recent_programs programs;
    const time_point started{std::chrono::hours(1)};
    gateway::record_program(programs, 1, started);
    BOOST_TEST(gateway::is_recent_program(programs, 1));
    gateway::record_program(programs, 2, started + 61s);
    BOOST_TEST(gateway::is_recent_program(programs, 1));
    gateway::record_program(programs, 3, started + 122s);
    BOOST_TEST(!gateway::is_recent_program(programs, 1));
    BOOST_TEST(gateway::is_recent_program(programs, 2));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
