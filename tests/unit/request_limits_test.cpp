// Decisions on the bytes and connections of clients that ignore the limits.
#include "http/byte_budget.hpp"
#include "http/connection_table.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

BOOST_AUTO_TEST_SUITE(request_limits_test)

using namespace guavawick;
using namespace guavawick::http;
using namespace std::chrono_literals;

namespace {

const time_point start{100s};

byte_budget make_budget(std::uint64_t total, std::uint64_t per_address)
{
    byte_budget budget;
    budget.limits.total = total;
    budget.limits.per_address = per_address;
    budget.limits.min_rate = 100;
    budget.limits.grace = 1s;
    return budget;
}

struct open_connection {
    std::shared_ptr<connection_activity> activity = std::make_shared<connection_activity>();

    explicit open_connection(time_point since) { activity->waiting_since = since.time_since_epoch().count(); }
};

} // namespace

// A body that has stopped must not keep others out.
BOOST_AUTO_TEST_CASE(slowest_transfer_is_given_up_first)
{
    byte_budget budget = make_budget(1000, 1000);
    const std::uint64_t stopped = open_lease(budget, "a", start);
    const std::uint64_t slow = open_lease(budget, "b", start);
    const std::uint64_t fast = open_lease(budget, "c", start);
    for (const std::uint64_t id : {stopped, slow, fast}) {
        BOOST_TEST((resize_lease(budget, id, 300, start).answer == byte_answer::granted));
    }
    record_progress(budget.leases.at(slow).progress, 10, start + 4s);
    record_progress(budget.leases.at(fast).progress, 10000, start + 4s);
    const std::uint64_t next = open_lease(budget, "d", start + 4s);
    const byte_decision first = resize_lease(budget, next, 300, start + 4s);
    BOOST_TEST((first.answer == byte_answer::granted));
    BOOST_TEST(first.given_up == std::vector<std::uint64_t>{stopped}, boost::test_tools::per_element());
    const byte_decision second = resize_lease(budget, next, 500, start + 4s);
    BOOST_TEST(second.given_up == std::vector<std::uint64_t>{slow}, boost::test_tools::per_element());
    // The fast one stays, so there is no room, and nothing is given up in vain.
    const byte_decision third = resize_lease(budget, next, 900, start + 4s);
    BOOST_TEST((third.answer == byte_answer::budget_used));
    BOOST_TEST(third.given_up.empty());
    BOOST_TEST(budget.used == 800U);
}

// A young transfer has no known rate, and a call that runs holds its body until it ends.
BOOST_AUTO_TEST_CASE(young_transfers_and_running_calls_are_kept)
{
    byte_budget budget = make_budget(1000, 1000);
    const std::uint64_t young = open_lease(budget, "a", start + 9s);
    const std::uint64_t running = open_lease(budget, "b", start);
    resize_lease(budget, young, 500, start + 9s);
    resize_lease(budget, running, 500, start + 9s);
    budget.leases.at(running).in_transfer = false;
    const std::uint64_t next = open_lease(budget, "c", start + 9s);
    BOOST_TEST((resize_lease(budget, next, 1, start + 9500ms).answer == byte_answer::budget_used));
    BOOST_TEST(budget.leases.size() == 3U);
}

// One address can't use up the budget.
BOOST_AUTO_TEST_CASE(address_is_limited_to_its_share)
{
    byte_budget budget = make_budget(1000, 500);
    const std::uint64_t first = open_lease(budget, "a", start);
    const std::uint64_t second = open_lease(budget, "a", start);
    const std::uint64_t other = open_lease(budget, "b", start);
    BOOST_TEST((resize_lease(budget, first, 400, start).answer == byte_answer::granted));
    BOOST_TEST((resize_lease(budget, second, 400, start).answer == byte_answer::share_used));
    BOOST_TEST((resize_lease(budget, other, 400, start).answer == byte_answer::granted));
}

// An address that is the only one in use was refused at half of the budget of the smallest gateway.
BOOST_AUTO_TEST_CASE(share_applies_only_when_the_reserve_for_other_addresses_is_needed)
{
    byte_budget budget;
    budget.limits = derive_byte_limits(88'000'000);
    const std::uint64_t held = open_lease(budget, "a", start);
    const std::uint64_t large = open_lease(budget, "a", start);
    const std::uint64_t excess = open_lease(budget, "a", start);
    const std::uint64_t other = open_lease(budget, "b", start);
    BOOST_TEST((resize_lease(budget, held, 3'000'000, start).answer == byte_answer::granted));
    BOOST_TEST((resize_lease(budget, large, 8'404'992, start).answer == byte_answer::granted));
    BOOST_TEST((resize_lease(budget, excess, 8'404'992, start).answer == byte_answer::share_used));
    BOOST_TEST((resize_lease(budget, other, 8'404'992, start).answer == byte_answer::granted));
}

// The smallest budget has room for the largest request of each of two addresses.
BOOST_AUTO_TEST_CASE(smallest_budget_holds_the_largest_requests_of_two_addresses)
{
    const byte_limits limits = derive_byte_limits(1'000'000);
    BOOST_TEST(limits.per_address >= 8'404'992U);
    BOOST_TEST(limits.total >= 2U * 8'404'992U);
}

// A transfer that gave way for the share was lost although the budget refused the request afterwards.
BOOST_AUTO_TEST_CASE(nothing_is_given_up_for_the_share_if_the_budget_refuses)
{
    byte_budget budget = make_budget(1000, 500);
    const std::uint64_t slow = open_lease(budget, "a", start);
    const std::uint64_t other = open_lease(budget, "b", start);
    resize_lease(budget, slow, 100, start);
    force_lease(budget, other, 900, start);
    budget.leases.at(other).in_transfer = false;
    const std::uint64_t next = open_lease(budget, "a", start + 4s);
    const byte_decision decision = resize_lease(budget, next, 450, start + 4s);
    BOOST_TEST((decision.answer == byte_answer::budget_used));
    BOOST_TEST(decision.given_up.empty());
    BOOST_TEST(budget.leases.count(slow) == 1U);
}

// Doubling took a chunked body of legal size to twice the bytes that a body may have.
BOOST_AUTO_TEST_CASE(capacity_of_a_chunked_body_stays_under_its_limit)
{
    BOOST_TEST(next_body_capacity(0, 20'000, 4'214'784) == 40'000U);
    BOOST_TEST(next_body_capacity(3'000'000, 3'000'001, 4'214'784) == 4'214'784U);
    BOOST_TEST(next_body_capacity(0, 4'300'000, 4'214'784) == 4'300'000U);
}

// A request of the largest size must be served when the load is low, however small the budget is.
BOOST_AUTO_TEST_CASE(request_alone_is_granted)
{
    byte_budget budget = make_budget(10, 5);
    const std::uint64_t only = open_lease(budget, "a", start);
    BOOST_TEST((resize_lease(budget, only, 4096, start).answer == byte_answer::granted));
    const std::uint64_t next = open_lease(budget, "b", start);
    BOOST_TEST((resize_lease(budget, next, 1, start).answer == byte_answer::budget_used));
}

// The counts must match the leases whatever happens, or the budget leaks until nothing is admitted.
BOOST_AUTO_TEST_CASE(budget_counts_what_the_leases_hold)
{
    BOOST_TEST(rc::check([] {
        byte_budget budget = make_budget(1000, 600);
        time_point now = start;
        std::vector<std::uint64_t> ids;
        const int steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 900));
            const int action = *rc::gen::inRange(0, 5);
            if (action == 0 || ids.empty()) {
                ids.push_back(open_lease(budget, *rc::gen::element<std::string>("a", "b"), now));
                continue;
            }
            const std::uint64_t id = *rc::gen::elementOf(ids);
            const auto bytes = static_cast<std::uint64_t>(*rc::gen::inRange(0, 700));
            const std::uint64_t before = budget.used;
            if (action == 1) {
                close_lease(budget, id);
            }
            else if (action == 2) {
                force_lease(budget, id, bytes, now);
            }
            else if (action == 3 && budget.leases.count(id) != 0) {
                record_progress(budget.leases.at(id).progress, bytes, now);
            }
            else {
                resize_lease(budget, id, bytes, now);
                RC_ASSERT(budget.used <= std::max<std::uint64_t>(before, 1000));
            }
            std::uint64_t sum = 0;
            std::map<std::string, std::uint64_t> by_address;
            for (const auto& [lease_id, lease] : budget.leases) {
                sum += lease.bytes;
                if (lease.bytes > 0) {
                    by_address[lease.address] += lease.bytes;
                }
            }
            RC_ASSERT(sum == budget.used);
            RC_ASSERT(by_address == budget.used_by_address);
        }
    }));
}

// Connections that never sent a request must not keep out those that do.
BOOST_AUTO_TEST_CASE(longest_waiting_connection_gives_way)
{
    connection_table table;
    table.limits = {3, 3, 100ms};
    const open_connection served(start);
    served.activity->served = true;
    const open_connection silent(start + 1s);
    const open_connection busy(start);
    busy.activity->waiting_since = 0;
    admit_connection(table, "a", served.activity, start);
    const std::uint64_t silent_id = admit_connection(table, "a", silent.activity, start).id;
    admit_connection(table, "a", busy.activity, start);
    const open_connection next(start + 5s);
    const connection_decision decision = admit_connection(table, "b", next.activity, start + 5s);
    BOOST_TEST(decision.accepted);
    BOOST_TEST(decision.closed == silent_id);
    BOOST_TEST(table.open.size() == 3U);
}

BOOST_AUTO_TEST_CASE(connection_is_refused_when_all_are_busy)
{
    connection_table table;
    table.limits = {2, 1, 100ms};
    open_connection busy(start);
    busy.activity->waiting_since = 0;
    const std::uint64_t first = admit_connection(table, "a", busy.activity, start).id;
    BOOST_TEST(!admit_connection(table, "a", busy.activity, start).accepted);
    BOOST_TEST(admit_connection(table, "b", busy.activity, start).accepted);
    BOOST_TEST(!admit_connection(table, "c", busy.activity, start).accepted);
    remove_connection(table, first);
    BOOST_TEST(admit_connection(table, "a", busy.activity, start).accepted);
}

// A connection that was asked to give way and keeps its place takes the listener beyond its limit by one.
BOOST_AUTO_TEST_CASE(connection_that_keeps_its_place_is_made_good_by_another)
{
    connection_table table;
    table.limits = {2, 2, 100ms};
    const open_connection first(start);
    const open_connection second(start + 1s);
    const open_connection young(start + 2s);
    const std::uint64_t first_id = admit_connection(table, "a", first.activity, start).id;
    const std::uint64_t second_id = admit_connection(table, "a", second.activity, start).id;
    BOOST_TEST(admit_connection(table, "a", young.activity, start + 2s).closed == first_id);
    BOOST_TEST(!admit_connection(table, "a", young.activity, start + 2s).accepted);
    keep_connection(table, first_id);
    BOOST_TEST(table.open.size() == 3U);
    first.activity->waiting_since = 0;
    const connection_decision beyond = admit_connection(table, "a", young.activity, start + 2s);
    BOOST_TEST(beyond.closed == second_id);
    BOOST_TEST(!beyond.accepted);
    remove_connection(table, second_id);
    BOOST_TEST(table.open.size() + table.closing.size() == 2U);
    BOOST_TEST(admit_connection(table, "a", young.activity, start + 3s).accepted);
}

// The limit on descriptors must hold whichever connections keep their places.
BOOST_AUTO_TEST_CASE(connections_stay_within_the_limit_and_the_share_that_may_be_closing)
{
    BOOST_TEST(rc::check([] {
        connection_table table;
        table.limits = {128, 96, 0ms};
        std::vector<std::uint64_t> ids;
        const int steps = *rc::gen::inRange(1, 600);
        for (int i = 0; i < steps; ++i) {
            const int action = *rc::gen::inRange(0, 8);
            if (action > 2 || ids.empty()) {
                const auto activity = std::make_shared<connection_activity>();
                activity->waiting_since = *rc::gen::inRange(0, 3);
                const std::string address = *rc::gen::element<std::string>("a", "b");
                const std::uint64_t id = admit_connection(table, address, activity, start).id;
                ids.insert(ids.end(), id != 0 ? 1U : 0U, id);
            }
            else if (action == 0) {
                remove_connection(table, *rc::gen::elementOf(ids));
            }
            else {
                const std::uint64_t id =
                    table.closing.empty() ? *rc::gen::elementOf(ids) : table.closing.begin()->first;
                keep_connection(table, id);
            }
            RC_ASSERT(table.open.size() + table.closing.size() <= 128U + 16U);
            RC_ASSERT(table.closing.size() <= 16U);
            std::map<std::string, std::uint64_t> by_address;
            for (const auto& [id, record] : table.open) {
                ++by_address[record.address];
            }
            RC_ASSERT(by_address == table.count_by_address);
        }
    }));
}

// The smallest gateway has room for one request of the largest size, and keeps descriptors for other uses.
BOOST_AUTO_TEST_CASE(limits_of_the_smallest_gateway)
{
    const byte_limits bytes = derive_byte_limits(88'000'000);
    BOOST_TEST(bytes.total == 22'000'000U);
    BOOST_TEST(bytes.per_address >= 2U * 4'194'304U);
    const connection_limits connections = derive_connection_limits(88'000'000, 4100);
    BOOST_TEST(connections.total > 1500U);
    BOOST_TEST(connections.total < 4100U - 200U);
    BOOST_TEST(derive_connection_limits(0, 0).total == 4096U);
    BOOST_TEST(derive_reserved_limits(4100).total >= 8U);
}

BOOST_AUTO_TEST_SUITE_END()
