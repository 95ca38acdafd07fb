// Which large contents of turns a store takes, when, and which turns it refuses because of them.
#include "core/content_budget.hpp"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

using namespace core;

namespace {

constexpr std::uint64_t mebibyte = 1U << 20U;

/// A budget of 8 MiB in transfer and 8 MB a second.
struct budget_fixture {
    content_budget budget;
    time_point now{1h};

    static content_key key(int number, std::uint32_t group = 1)
    {
        return {group, {organisation_name{"o"}, request_name{std::to_string(number)}}};
    }

    void offer(int number, std::uint64_t bytes, std::uint32_t group = 1)
    {
        add_offer(budget, {key(number, group), bytes, now + 5s});
    }

    std::size_t grant() { return grant_offers(budget, now).size(); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(content_budget_test)

BOOST_AUTO_TEST_CASE(transfers_take_a_small_share_of_the_memory)
{
    BOOST_TEST(max_transfer_bytes(120'000'000) == 3'750'000U);
    BOOST_TEST(max_transfer_bytes(1ULL << 40U) == default_max_transfer);
    BOOST_TEST(max_transfer_bytes(0) == default_max_transfer);
}

BOOST_FIXTURE_TEST_CASE(offers_are_granted_in_order_while_there_is_room, budget_fixture)
{
    for (int i = 0; i < 4; ++i) {
        offer(i, 4 * mebibyte);
    }
    BOOST_TEST(grant() == 2U);
    BOOST_TEST(grant() == 0U);
    end_transfer(budget, key(0), true, now + 100ms);
    const std::vector<content_offer> next = grant_offers(budget, now);
    BOOST_REQUIRE(next.size() == 1U);
    BOOST_TEST((next.front().key == key(2)));
}

BOOST_FIXTURE_TEST_CASE(content_above_the_limit_is_transferred_alone, budget_fixture)
{
    offer(0, 20 * mebibyte);
    offer(1, 1 * mebibyte);
    BOOST_TEST(grant() == 1U);
    end_transfer(budget, key(0), true, now);
    BOOST_TEST(grant() == 1U);
}

BOOST_FIXTURE_TEST_CASE(offer_that_is_sent_again_is_granted_again_and_counted_once, budget_fixture)
{
    offer(0, 4 * mebibyte);
    offer(0, 4 * mebibyte);
    BOOST_TEST(grant() == 1U);
    offer(0, 4 * mebibyte);
    offer(1, 4 * mebibyte);
    BOOST_TEST(grant() == 2U);
    BOOST_TEST(budget.transfers.size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(granted_content_that_does_not_arrive_gives_its_room_back, budget_fixture)
{
    offer(0, 8 * mebibyte);
    BOOST_TEST(grant() == 1U);
    offer(1, 8 * mebibyte);
    BOOST_TEST(grant() == 0U);
    now += grant_timeout;
    remove_expired(budget, now);
    BOOST_TEST(grant() == 1U);
}

BOOST_FIXTURE_TEST_CASE(content_that_has_arrived_keeps_its_room_until_it_is_committed, budget_fixture)
{
    offer(0, 8 * mebibyte);
    grant();
    BOOST_TEST(begin_transfer(budget, key(0), 8 * mebibyte, now));
    remove_expired(budget, now + 1h);
    BOOST_TEST(!begin_transfer(budget, key(1), 1 * mebibyte, now)); // comes without a grant
    end_transfer(budget, key(0), true, now);
    BOOST_TEST(begin_transfer(budget, key(1), 1 * mebibyte, now));
}

BOOST_FIXTURE_TEST_CASE(offer_whose_deadline_has_passed_is_given_up, budget_fixture)
{
    offer(0, 8 * mebibyte);
    grant();
    offer(1, 8 * mebibyte);
    BOOST_TEST(remove_expired(budget, now + 1s).empty());
    BOOST_TEST(remove_expired(budget, now + 5s).size() == 1U);
    BOOST_TEST(budget.offers.empty());
}

// Load: 24 turns of 4 MiB at once with 6 s each, at 8 MB a second. Those that are admitted can be closed.
BOOST_FIXTURE_TEST_CASE(turns_are_admitted_only_as_far_as_they_can_be_closed_in_time, budget_fixture)
{
    int admitted = 0;
    for (int i = 0; i < 24; ++i) {
        admitted += reserve_content(budget, key(i), 4 * mebibyte, 6s, now) ? 1 : 0;
    }
    BOOST_TEST(admitted > 1);
    BOOST_TEST(admitted * 4.0 * mebibyte / initial_transfer_rate <= 6.0);
    release_reservation(budget, key(0));
    BOOST_TEST(reserve_content(budget, key(30), 4 * mebibyte, 6s, now));
}

BOOST_FIXTURE_TEST_CASE(single_turn_is_admitted_whatever_its_size, budget_fixture)
{
    BOOST_TEST(reserve_content(budget, key(0), 100 * mebibyte, 1s, now));
    BOOST_TEST(reserve_content(budget, key(0), 100 * mebibyte, 1s, now)); // sent again
    BOOST_TEST(!reserve_content(budget, key(1), 1 * mebibyte, 1s, now));
}

BOOST_FIXTURE_TEST_CASE(slow_transfers_reduce_the_number_of_turns_that_are_admitted, budget_fixture)
{
    const auto count_admitted = [this] {
        int admitted = 0;
        for (int i = 0; i < 100; ++i) {
            admitted += reserve_content(budget, key(i), 1 * mebibyte, 6s, now) ? 1 : 0;
        }
        budget.reservations.clear();
        return admitted;
    };
    const int before = count_admitted();
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(begin_transfer(budget, key(i), 1 * mebibyte, now));
        now += 1s;
        end_transfer(budget, key(i), true, now);
    }
    BOOST_TEST(count_admitted() < before);
}

BOOST_FIXTURE_TEST_CASE(turn_whose_content_would_not_fit_on_the_disk_is_refused, budget_fixture)
{
    budget.disk_room = 10 * mebibyte;
    BOOST_TEST(reserve_content(budget, key(0), 4 * mebibyte, 60s, now));
    BOOST_TEST(!reserve_content(budget, key(1), 4 * mebibyte, 60s, now));
}

BOOST_FIXTURE_TEST_CASE(reservation_of_a_turn_that_never_ends_expires, budget_fixture)
{
    BOOST_TEST(reserve_content(budget, key(0), 40 * mebibyte, 6s, now));
    BOOST_TEST(!reserve_content(budget, key(1), 4 * mebibyte, 6s, now));
    now += 6s + grant_timeout;
    remove_expired(budget, now);
    BOOST_TEST(reserve_content(budget, key(1), 4 * mebibyte, 6s, now));
}

BOOST_FIXTURE_TEST_CASE(group_that_is_no_longer_led_gives_up_its_offers_and_its_room, budget_fixture)
{
    offer(0, 8 * mebibyte);
    grant();
    offer(1, 8 * mebibyte);
    offer(2, 8 * mebibyte, 2);
    BOOST_TEST(remove_group(budget, 1).size() == 1U);
    const std::vector<content_offer> next = grant_offers(budget, now);
    BOOST_REQUIRE(next.size() == 1U);
    BOOST_TEST((next.front().key == key(2, 2)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
