// Fleet-wide rate limits: no window exceeds rate and burst, whichever messages or processes are lost.
#include "limit/bucket_func.hpp"
#include "random_run.hpp"

#include "base/hash_func.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <vector>

namespace guavawick::tests {

using namespace limit;

namespace {

/// A borrow request, or its reply, in flight between an entry and the owner.
struct in_flight_message {
    std::size_t entry = 0;
    borrow_request request;
    time_point asked_at{};
    std::optional<double> granted; ///< set in a reply
    time_point arrives_at{};
};

struct simulated_entry {
    incarnation_id id;
    token_lease lease;
    std::uint64_t sequence = 0;
    bool waiting = false;
    time_point waiting_since{};
};

/// Several entries and one owner on a simulated clock, with a network that delays, drops and duplicates.
struct simulated_fleet {
    std::uint64_t random;
    rate_limit allowed{20, 10};
    time_point now{std::chrono::hours(1)};
    bucket owner_bucket;
    time_point owner_lends_at{};
    std::vector<simulated_entry> entries;
    std::vector<in_flight_message> network;
    std::vector<double> admitted; ///< times of admitted calls, in seconds
    std::uint64_t attempted = 0;

    simulated_fleet(std::uint64_t seed, std::size_t size)
        : random(seed), owner_bucket(make_bucket(allowed, now))
    {
        for (std::size_t i = 0; i < size; ++i) {
            entries.push_back({incarnation_id{i + 1}, {}, 0, false, {}});
        }
    }

    std::uint64_t pick(std::uint64_t limit) { return next_random(random) % limit; }

    void send_request(std::size_t index)
    {
        simulated_entry& sender = entries[index];
        if (sender.waiting && now - sender.waiting_since < 300ms) {
            return;
        }
        sender.waiting = true;
        sender.waiting_since = now;
        const borrow_request request =
            prepare_request(sender.lease, sender.id, ++sender.sequence, pick(4), now);
        network.push_back({index, request, now, std::nullopt, now + std::chrono::milliseconds(pick(400))});
    }

    void deliver_message()
    {
        for (std::size_t i = 0; i < network.size(); ++i) {
            in_flight_message message = network[i];
            if (now < message.arrives_at) {
                continue;
            }
            network.erase(network.begin() + static_cast<std::ptrdiff_t>(i));
            if (pick(10) == 0) {
                return; // lost
            }
            if (message.granted) {
                simulated_entry& entry = entries[message.entry];
                if (entry.id == message.request.entry && entry.sequence == message.request.sequence) {
                    receive_grant(entry.lease, message.request, *message.granted, message.asked_at, now);
                    entry.waiting = false;
                }
                return;
            }
            if (pick(8) == 0) {
                network.push_back(message); // duplicated
            }
            if (now >= owner_lends_at) {
                message.granted = lend_tokens(owner_bucket, message.request, now);
                message.arrives_at = now + std::chrono::milliseconds(pick(400));
                network.push_back(message);
            }
            return;
        }
    }

    void send_call(std::size_t index)
    {
        ++attempted;
        record_demand(entries[index].lease, now);
        if (spend_token(entries[index].lease, now)) {
            admitted.push_back(to_seconds(now.time_since_epoch()));
        }
    }

    /// Replaces the owner by a successor without its state, which lends once all earlier leases have expired.
    void lose_owner()
    {
        owner_lends_at = now + grantor_lease_time(token_lease_time);
        owner_bucket = make_bucket(allowed, owner_lends_at);
    }

    void restart_entry(std::size_t index)
    {
        entries[index] = {incarnation_id{1000 + pick(1U << 30U)}, {}, 0, false, {}};
    }
};

void check_all_windows(const simulated_fleet& fleet)
{
    const auto& times = fleet.admitted;
    for (std::size_t first = 0; first < times.size(); ++first) {
        for (std::size_t last = first; last < times.size() && last < first + 400; ++last) {
            const double max_admitted =
                fleet.allowed.burst + fleet.allowed.rate * (times[last] - times[first]);
            const double count = static_cast<double>(last - first + 1);
            BOOST_REQUIRE_MESSAGE(count <= max_admitted + 1e-6,
                                  count << " admitted within " << times[last] - times[first] << " s, at most "
                                        << max_admitted << " allowed");
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(limit_test)

BOOST_AUTO_TEST_CASE(entries_under_random_faults_never_exceed_rate_and_burst_in_any_window)
{
    for (const std::uint64_t seed : seeds({31, 32, 33, 34, 35, 36})) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            simulated_fleet fleet(seed, 4);
            for (int i = 0; i < 20000; ++i) {
                fleet.now += std::chrono::milliseconds(fleet.pick(6));
                const std::size_t index = fleet.pick(fleet.entries.size());
                const std::uint64_t action = fleet.pick(10000);
                if (action < 4500) {
                    fleet.send_call(index);
                }
                else if (action < 7000) {
                    fleet.send_request(index);
                }
                else if (action < 9997) {
                    fleet.deliver_message();
                }
                else if (action < 9998) {
                    fleet.lose_owner();
                }
                else {
                    fleet.restart_entry(index);
                }
                BOOST_REQUIRE(fleet.owner_bucket.level + lent_tokens(fleet.owner_bucket) <=
                              fleet.allowed.burst + 1e-6);
            }
            BOOST_TEST(fleet.admitted.size() > 200U);
            check_all_windows(fleet);
        }
    }
}

BOOST_AUTO_TEST_CASE(resent_request_gets_the_same_tokens_and_no_more)
{
    const time_point now{std::chrono::hours(1)};
    bucket owner_bucket = make_bucket({10, 10}, now - 10s);
    const borrow_request request{incarnation_id{1}, 1, 0, 0, 0, 3};
    BOOST_TEST(lend_tokens(owner_bucket, request, now) == 3.0);
    BOOST_TEST(lend_tokens(owner_bucket, request, now) == 3.0);
    BOOST_TEST(lent_tokens(owner_bucket) == 3.0);
}

BOOST_AUTO_TEST_CASE(tokens_of_a_lost_reply_are_returned_by_the_next_request)
{
    const time_point now{std::chrono::hours(1)};
    bucket owner_bucket = make_bucket({0.001, 10}, now - 10000s);
    BOOST_REQUIRE(lend_tokens(owner_bucket, {incarnation_id{1}, 1, 0, 0, 0, 5}, now) == 5.0);
    BOOST_REQUIRE(lend_tokens(owner_bucket, {incarnation_id{1}, 2, 0, 0, 0, 5}, now) ==
                  5.0); // the reply to request 1 was lost
    BOOST_TEST(lent_tokens(owner_bucket) == 5.0);
    BOOST_TEST(owner_bucket.level >= 4.9);
}

BOOST_AUTO_TEST_CASE(tokens_of_a_killed_entry_count_as_spent_once_its_lease_has_expired)
{
    time_point now{std::chrono::hours(1)};
    bucket owner_bucket = make_bucket({1, 10}, now - 10s);
    BOOST_REQUIRE(lend_tokens(owner_bucket, {incarnation_id{1}, 1, 0, 0, 0, 5}, now) == 5.0);
    now += grantor_lease_time(token_lease_time);
    refill(owner_bucket, now);
    BOOST_TEST(lent_tokens(owner_bucket) == 0.0);
    BOOST_TEST(owner_bucket.level < 5.0 + 2.1); // the five count as spent; only the rate refills the bucket
}

BOOST_AUTO_TEST_CASE(entry_that_was_suspended_does_not_spend_expired_tokens)
{
    time_point now{std::chrono::hours(1)};
    token_lease lease;
    receive_grant(lease, {incarnation_id{1}, 1, 0, 0, 0, 5}, 5, now, now);
    BOOST_TEST(spend_token(lease, now));
    now += token_lease_time;
    BOOST_TEST(!spend_token(lease, now));
}

BOOST_AUTO_TEST_CASE(reply_that_arrives_after_the_lease_adds_no_tokens)
{
    time_point now{std::chrono::hours(1)};
    token_lease lease;
    receive_grant(lease, {incarnation_id{1}, 1, 0, 0, 0, 5}, 5, now, now + token_lease_time);
    BOOST_TEST(!spend_token(lease, now + token_lease_time));
}

BOOST_AUTO_TEST_CASE(smaller_burst_limits_the_tokens_that_are_not_lent)
{
    const time_point now{std::chrono::hours(1)};
    bucket owner_bucket = make_bucket({10, 100}, now - 100s);
    refill(owner_bucket, now);
    set_rate_limit(owner_bucket, {10, 4}, now);
    BOOST_TEST(owner_bucket.level <= 4.0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
