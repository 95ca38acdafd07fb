// Rate and burst over all entries: never over in any window, whatever is lost.
#include "limit/bucket_func.hpp"
#include "random_run.hpp"

#include "base/hash_func.hpp"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <vector>

namespace guavawick::tests {

using namespace limit;

namespace {

/// A borrow request or its answer under way between an entry and the owner.
struct under_way {
    std::size_t entry = 0;
    borrow_request request;
    time_point asked_at{};
    std::optional<double> granted;
    time_point arrives_at{};
};

struct fake_entry {
    incarnation_id id;
    token_lease held;
    std::uint64_t sequence = 0;
    bool waits = false;
    time_point waits_since{};
};

/// Several entries and one owner on the paused clock.
struct fake_fleet {
    std::uint64_t random;
    rate_limit allowed{20, 10};
    time_point now{std::chrono::hours(1)};
    bucket owner;
    time_point owner_lends_at{};
    std::vector<fake_entry> entries;
    std::vector<under_way> network;
    std::vector<double> admitted; ///< seconds
    std::uint64_t asked = 0;

    fake_fleet(std::uint64_t seed, std::size_t size) : random(seed), owner(make_bucket(allowed, now))
    {
        for (std::size_t i = 0; i < size; ++i) {
            entries.push_back({incarnation_id{i + 1}, {}, 0, false, {}});
        }
    }

    std::uint64_t pick(std::uint64_t limit) { return next_random(random) % limit; }

    void ask(std::size_t place)
    {
        fake_entry& one = entries[place];
        if (one.waits && now - one.waits_since < 300ms) {
            return;
        }
        one.waits = true;
        one.waits_since = now;
        const borrow_request wish = prepare_request(one.held, one.id, ++one.sequence, pick(4), now);
        network.push_back({place, wish, now, std::nullopt, now + std::chrono::milliseconds(pick(400))});
    }

    void deliver()
    {
        for (std::size_t i = 0; i < network.size(); ++i) {
            under_way one = network[i];
            if (now < one.arrives_at) {
                continue;
            }
            network.erase(network.begin() + static_cast<std::ptrdiff_t>(i));
            if (pick(10) == 0) {
                return; // lost
            }
            if (one.granted) {
                fake_entry& entry = entries[one.entry];
                if (entry.id == one.request.entry && entry.sequence == one.request.sequence) {
                    receive_grant(entry.held, one.request, *one.granted, one.asked_at, now);
                    entry.waits = false;
                }
                return;
            }
            if (pick(8) == 0) {
                network.push_back(one); // doubled
            }
            if (now >= owner_lends_at) {
                one.granted = lend_tokens(owner, one.request, now);
                one.arrives_at = now + std::chrono::milliseconds(pick(400));
                network.push_back(one);
            }
            return;
        }
    }

    void use(std::size_t place)
    {
        ++asked;
        record_demand(entries[place].held, now);
        if (spend_token(entries[place].held, now)) {
            admitted.push_back(to_seconds(now.time_since_epoch()));
        }
    }

    /// The owner is lost; its successor knows nothing and waits out the leases.
    void lose_owner()
    {
        owner_lends_at = now + giver_lease(token_lease_time);
        owner = make_bucket(allowed, owner_lends_at);
    }

    void restart_entry(std::size_t place)
    {
        entries[place] = {incarnation_id{1000 + pick(1U << 30U)}, {}, 0, false, {}};
    }
};

void check_windows(const fake_fleet& fleet)
{
    const auto& times = fleet.admitted;
    for (std::size_t first = 0; first < times.size(); ++first) {
        for (std::size_t last = first; last < times.size() && last < first + 400; ++last) {
            const double most = fleet.allowed.burst + fleet.allowed.rate * (times[last] - times[first]);
            const double count = static_cast<double>(last - first + 1);
            BOOST_REQUIRE_MESSAGE(count <= most + 1e-6, count << " admitted within "
                                                              << times[last] - times[first] << " s, at most "
                                                              << most << " allowed");
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
            fake_fleet fleet(seed, 4);
            for (int i = 0; i < 20000; ++i) {
                fleet.now += std::chrono::milliseconds(fleet.pick(6));
                const std::size_t place = fleet.pick(fleet.entries.size());
                const std::uint64_t what = fleet.pick(10000);
                if (what < 4500) {
                    fleet.use(place);
                }
                else if (what < 7000) {
                    fleet.ask(place);
                }
                else if (what < 9997) {
                    fleet.deliver();
                }
                else if (what < 9998) {
                    fleet.lose_owner();
                }
                else {
                    fleet.restart_entry(place);
                }
                BOOST_REQUIRE(fleet.owner.level + lent_tokens(fleet.owner) <= fleet.allowed.burst + 1e-6);
            }
            BOOST_TEST(fleet.admitted.size() > 200U);
            check_windows(fleet);
        }
    }
}

BOOST_AUTO_TEST_CASE(resent_request_gets_the_same_tokens_and_no_more)
{
    const time_point now{std::chrono::hours(1)};
    bucket owned = make_bucket({10, 10}, now - 10s);
    const borrow_request wish{incarnation_id{1}, 1, 0, 0, 0, 3};
    BOOST_TEST(lend_tokens(owned, wish, now) == 3.0);
    BOOST_TEST(lend_tokens(owned, wish, now) == 3.0);
    BOOST_TEST(lent_tokens(owned) == 3.0);
}

BOOST_AUTO_TEST_CASE(tokens_of_a_lost_answer_come_back_with_the_next_request)
{
    const time_point now{std::chrono::hours(1)};
    bucket owned = make_bucket({0.001, 10}, now - 10000s);
    BOOST_REQUIRE(lend_tokens(owned, {incarnation_id{1}, 1, 0, 0, 0, 5}, now) == 5.0);
    BOOST_REQUIRE(lend_tokens(owned, {incarnation_id{1}, 2, 0, 0, 0, 5}, now) ==
                  5.0); // the answer to 1 was lost
    BOOST_TEST(lent_tokens(owned) == 5.0);
    BOOST_TEST(owned.level >= 4.9);
}

BOOST_AUTO_TEST_CASE(tokens_of_a_killed_entry_count_as_spent_once_its_lease_has_lapsed)
{
    time_point now{std::chrono::hours(1)};
    bucket owned = make_bucket({1, 10}, now - 10s);
    BOOST_REQUIRE(lend_tokens(owned, {incarnation_id{1}, 1, 0, 0, 0, 5}, now) == 5.0);
    now += giver_lease(token_lease_time);
    refill(owned, now);
    BOOST_TEST(lent_tokens(owned) == 0.0);
    BOOST_TEST(owned.level < 5.0 + 2.1); // the five are not given back, only the rate fills
}

BOOST_AUTO_TEST_CASE(entry_that_froze_finds_its_tokens_lapsed_before_it_spends_them)
{
    time_point now{std::chrono::hours(1)};
    token_lease held;
    receive_grant(held, {incarnation_id{1}, 1, 0, 0, 0, 5}, 5, now, now);
    BOOST_TEST(spend_token(held, now));
    now += token_lease_time;
    BOOST_TEST(!spend_token(held, now));
}

BOOST_AUTO_TEST_CASE(answer_that_arrives_after_the_lease_revives_nothing)
{
    time_point now{std::chrono::hours(1)};
    token_lease held;
    receive_grant(held, {incarnation_id{1}, 1, 0, 0, 0, 5}, 5, now, now + token_lease_time);
    BOOST_TEST(!spend_token(held, now + token_lease_time));
}

BOOST_AUTO_TEST_CASE(smaller_burst_takes_effect_on_what_nobody_holds)
{
    const time_point now{std::chrono::hours(1)};
    bucket owned = make_bucket({10, 100}, now - 100s);
    refill(owned, now);
    set_rate_limit(owned, {10, 4}, now);
    BOOST_TEST(owned.level <= 4.0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
