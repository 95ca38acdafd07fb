// An organisation whose programs need more than its rate: what callers get, with and without order among
// them.
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
constexpr std::uint32_t calls_a_program = 12;
constexpr std::uint32_t tries_a_call = 3; ///< the users' callers come back twice
constexpr duration pause_between = 300ms; ///< between two calls, and before a refused one comes back
constexpr duration longest_wait = 500ms;  ///< for a token, before a call is refused
constexpr duration step = 10ms;
constexpr std::size_t stride = 10007; ///< a prime above the number of programs, so that each is visited once
constexpr std::uint32_t programs_per_ten_seconds = 36; ///< 43 calls a second on a rate of 30

struct fake_program {
    std::uint32_t calls_done = 0;
    std::uint32_t tries = 0;
    time_point next{};        ///< when its next call comes
    time_point waits_until{}; ///< its call is refused then
    bool waiting = false;
    bool failed = false;
};

/// What callers got.
struct day_result {
    std::size_t begun = 0;
    std::size_t whole = 0;
    std::size_t wasted_calls = 0; ///< that ran for programs which failed later
};

/// Every call is asked for at the owner by itself, so that only the order among programs makes a difference.
class fake_day {
public:
    explicit fake_day(bool ordered) : ordered_(ordered) {}

    day_result play()
    {
        owner_.level = allowed.burst;
        for (; now_ < end_; now_ += step) {
            if (next_random(random_) % 10'000 < programs_per_ten_seconds * 10) {
                programs_.push_back({0, 0, now_, {}, false, false});
            }
            // Entries ask in no order of age.
            const std::size_t first = next_random(random_) % (programs_.size() + 1);
            for (std::size_t i = 0; i < programs_.size(); ++i) {
                advance(programs_[(first + i * stride) % programs_.size()]);
            }
        }
        day_result result;
        for (const fake_program& one : programs_) {
            ++result.begun;
            result.whole += one.calls_done == calls_a_program ? 1 : 0;
            result.wasted_calls += one.failed ? one.calls_done : 0;
        }
        return result;
    }

private:
    void advance(fake_program& one)
    {
        if (one.failed || one.calls_done == calls_a_program || now_ < one.next) {
            return;
        }
        if (!one.waiting) {
            one.waiting = true;
            one.waits_until = now_ + longest_wait;
        }
        const bool starts = ordered_ && one.calls_done == 0;
        const borrow_request wish{incarnation_id{++calls_}, 1, 0, 0, 0, starts ? 0.0 : 1.0,
                                  starts ? 1.0 : 0.0};
        const bool granted = lend_tokens(owner_, wish, now_) >= 1.0;
        owner_.leases.erase(wish.entry); // spent at once
        if (granted) {
            one = {one.calls_done + 1, 0, now_ + pause_between, {}, false, false};
        }
        else if (now_ >= one.waits_until) {
            ++one.tries;
            one.waiting = false;
            one.failed = one.tries == tries_a_call;
            one.next = now_ + pause_between;
        }
    }

    bool ordered_;
    std::uint64_t random_ = 7;
    std::uint64_t calls_ = 0;
    time_point now_{std::chrono::hours(1)};
    time_point end_ = now_ + 120s;
    bucket owner_ = make_bucket(allowed, now_);
    std::vector<fake_program> programs_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(program_rate_test)

BOOST_AUTO_TEST_CASE(organisation_over_its_rate_more_programs_end_whole_when_running_ones_go_first)
{
    const day_result first_come = fake_day(false).play();
    const day_result ordered = fake_day(true).play();
    BOOST_TEST_MESSAGE("whole " << first_come.whole << " -> " << ordered.whole << ", wasted calls "
                                << first_come.wasted_calls << " -> " << ordered.wasted_calls);
    BOOST_TEST(first_come.begun == ordered.begun);
    // The rate serves 30 x 120 / 12 = 300 programs; nine tenths of them is the target.
    BOOST_TEST(ordered.whole >= 270);
    BOOST_TEST(ordered.whole > first_come.whole);
    BOOST_TEST(ordered.wasted_calls < first_come.wasted_calls);
}

BOOST_AUTO_TEST_CASE(bucket_low_start_waits_while_running_program_is_served)
{
    bucket owner = make_bucket(allowed, time_point{});
    owner.level = 5;
    BOOST_TEST(is_scarce(owner));
    BOOST_TEST(lend_tokens(owner, {incarnation_id{1}, 1, 0, 0, 0, 0, 1}, time_point{}) == 0);
    BOOST_TEST(lend_tokens(owner, {incarnation_id{2}, 1, 0, 0, 0, 1, 0}, time_point{}) == 1);
}

BOOST_AUTO_TEST_CASE(tolerated_limits_stay_within_the_tolerance_in_a_window_and_leave_room_for_travel)
{
    for (const double rate : {4.0, 40.0, 155.0}) {
        const tolerance allowed{0.1, 20, 5s};
        const rate_limit made = apply_tolerance({rate, rate}, allowed);
        const double most = (rate * 5 + rate) * 1.1 + 20;
        BOOST_TEST(made.rate > rate);
        BOOST_TEST(made.rate * 5 + made.burst + 10 <= most);
    }
    const rate_limit exact = apply_tolerance({100, 50}, {});
    BOOST_TEST(exact.rate == 100);
    BOOST_TEST(exact.burst == 50);
}

BOOST_AUTO_TEST_CASE(token_of_a_request_that_did_not_run_is_spent_by_the_next_until_its_lease_lapses)
{
    const time_point now{std::chrono::hours(1)};
    token_lease held;
    receive_grant(held, {incarnation_id{1}, 1, 0, 0, 0, 1, 0}, 1, now, now);
    BOOST_TEST(spend_token(held, now));
    BOOST_TEST(!spend_token(held, now));
    return_token(held, now);
    BOOST_TEST(spend_token(held, now));
    return_token(held, now + token_lease_time);
    BOOST_TEST(!spend_token(held, now + token_lease_time));
}

BOOST_AUTO_TEST_CASE(program_memory_two_generations_later_program_is_forgotten)
{
    gateway::program_memory memory;
    const time_point begun{std::chrono::hours(1)};
    gateway::note(memory, 1, begun);
    BOOST_TEST(gateway::knows(memory, 1));
    gateway::note(memory, 2, begun + 61s);
    BOOST_TEST(gateway::knows(memory, 1));
    gateway::note(memory, 3, begun + 122s);
    BOOST_TEST(!gateway::knows(memory, 1));
    BOOST_TEST(gateway::knows(memory, 2));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
