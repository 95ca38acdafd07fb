// Replicas of a ledger group over loopback links: retained contents stay on disk at each step of their life.
#include "base/hash_func.hpp"
#include "core/ledger_replica.hpp"
#include "free_address.hpp"
#include "runtime/worker_pool.hpp"
#include "wire.pb.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <filesystem>
#include <future>
#include <malloc.h>

namespace guavawick::tests {

namespace fs = std::filesystem;
using namespace core;

namespace {

constexpr std::size_t content_bytes = 64U << 10U;
constexpr int turns_per_chain = 10;

/// @return bytes of the heap that are in use.
std::size_t heap_in_use()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

/// A store that runs only a replica of group 1.
struct test_store {
    fleet_settings settings;
    consensus::member_id disk;
    std::unique_ptr<wire::link> links;
    std::unique_ptr<content_gate> gate;
    std::unique_ptr<ledger_replica> replica;
};

/// Three stores. The first two are the group's initial members; the third joins when it is started.
struct three_stores {
    fs::path folder = fs::temp_directory_path() / ("guavawick-test-" + to_hex(random_id()));
    runtime::worker_pool pool{2};
    std::array<test_store, 3> stores;
    int stored_turns = 0;

    three_stores()
    {
        for (std::size_t i = 0; i < stores.size(); ++i) {
            fleet_settings& settings = stores[i].settings;
            settings.node = "store-" + std::to_string(i);
            settings.data_centre = std::to_string(i);
            settings.link = "tcp://" + find_free_address();
            settings.data_folder = (folder / settings.node).string();
            settings.data_centre_count = stores.size();
            stores[i].disk = consensus::member_id{100 + i};
        }
    }

    ~three_stores()
    {
        for (test_store& store : stores) {
            stop(store);
        }
        pool.stop();
        fs::remove_all(folder);
    }

    void start(test_store& store)
    {
        store.links =
            std::make_unique<wire::link>(pool.executor(), make_link_settings(), incarnation_id{random_id()});
        store.gate = std::make_unique<content_gate>(store.settings.memory_limit);
        store.replica =
            std::make_unique<ledger_replica>(1, store.settings, store.disk, *store.links, *store.gate);
        store.links->listen(store.settings.link,
                            [&store](const wire::reply_target&, const wire::envelope_ptr& message) {
                                store.replica->receive(*message);
                            });
        store.replica->start();
        std::vector<std::string> endpoints;
        std::vector<consensus::member> initial_members;
        for (const test_store& other : stores) {
            endpoints.push_back(other.settings.link);
            if (initial_members.size() < 2) {
                initial_members.push_back({other.disk, other.settings.node, other.settings.link, true, 0,
                                           other.settings.data_centre});
            }
        }
        store.replica->set_contacts(endpoints, initial_members);
    }

    static void stop(test_store& store)
    {
        if (store.replica) {
            store.replica->stop();
            store.links->close();
            store.replica.reset();
            store.links.reset();
        }
    }

    /// Sends a request to each running store in turn until the leader answers it.
    wire::envelope call(const wire::envelope& request)
    {
        while (true) {
            for (test_store& store : stores) {
                if (!store.replica) {
                    continue;
                }
                auto answered = std::make_shared<std::promise<wire::envelope>>();
                std::future<wire::envelope> answer = answered->get_future();
                store.replica->handle_request(
                    std::make_shared<const wire::envelope>(request),
                    [answered](wire::envelope reply) { answered->set_value(std::move(reply)); });
                wire::envelope reply = answer.get();
                if (!reply.has_redirect()) {
                    return reply;
                }
            }
        }
    }

    static std::string content_of(int turn)
    {
        return std::string(content_bytes, static_cast<char>('a' + turn % 26)) + std::to_string(turn);
    }

    static std::string previous_of(int turn)
    {
        return turn % turns_per_chain == 0 ? "" : std::to_string(turn - 1);
    }

    void store_turns(int count)
    {
        for (int i = 0; i < count; ++i, ++stored_turns) {
            wire::envelope request;
            wire::close_turn* closing = request.mutable_close_turn();
            closing->set_organisation("o");
            closing->set_request(std::to_string(stored_turns));
            closing->set_previous(previous_of(stored_turns));
            closing->set_keep(true);
            closing->set_input(content_of(stored_turns));
            closing->set_output("end\n");
            closing->set_retention_ms(600000);
            BOOST_TEST_REQUIRE(call(request).has_done());
        }
    }

    wire::open_turn_reply open_after(int turn)
    {
        wire::envelope request;
        request.mutable_open_turn()->set_organisation("o");
        request.mutable_open_turn()->set_request("new");
        request.mutable_open_turn()->set_previous(std::to_string(turn));
        return call(request).turn_opened();
    }

    void check_history(int turn)
    {
        std::string expected;
        for (int i = turn - turn % turns_per_chain; i <= turn; ++i) {
            expected += content_of(i) + "end\n";
        }
        BOOST_TEST((open_after(turn).history() == expected));
    }

    /// Waits until a store has applied everything that was stored so far.
    void wait_until_caught_up(const test_store& store)
    {
        std::uint64_t target = 0;
        for (const test_store& other : stores) {
            target = std::max(target, other.replica ? other.replica->group().counters().applied.load() : 0);
        }
        while (store.replica->group().counters().applied.load() < target) {
            std::this_thread::yield();
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ledger_replica_test)

// Load that it answers: a minute of retained turns is several times a store's memory. Each step holds at most
// its log, as much again for messages and a snapshot, and no content of a turn.
BOOST_FIXTURE_TEST_CASE(retained_contents_of_four_times_the_budget_stay_on_disk_at_each_step, three_stores)
{
    constexpr std::size_t budget = 2 * (fleet_snapshot_log_bytes + fleet_snapshot_log_bytes / 4);
    constexpr int turn_count = static_cast<int>(4 * budget / content_bytes);
    const std::size_t initial_heap = heap_in_use();
    const auto check_budget = [&](std::size_t running_stores) {
        const std::size_t used = heap_in_use() - std::min(heap_in_use(), initial_heap);
        BOOST_TEST(used <= running_stores * budget);
    };
    start(stores[0]);
    start(stores[1]);
    store_turns(turn_count);
    check_budget(2);
    check_history(turn_count - 1);

    start(stores[2]); // installs a snapshot on its empty disk
    wait_until_caught_up(stores[2]);
    check_budget(3);

    stop(stores[2]);
    store_turns(3 * static_cast<int>(fleet_snapshot_log_bytes / content_bytes)); // falls behind the log
    start(stores[2]);
    wait_until_caught_up(stores[2]);
    check_budget(3);

    stop(stores[0]); // the group goes on with the member that has installed everything
    check_history(7);
    check_history(stored_turns - 1);
    BOOST_TEST(open_after(stored_turns).outcome() ==
               static_cast<std::uint32_t>(turns::open_outcome::unknown_turn));
}

BOOST_FIXTURE_TEST_CASE(all_stores_killed_at_once_serve_every_closed_turn_after_their_restart, three_stores)
{
    start(stores[0]);
    start(stores[1]);
    store_turns(250); // several snapshots, and entries after the last one
    stop(stores[0]);
    stop(stores[1]);
    start(stores[0]);
    start(stores[1]);
    check_history(9);
    check_history(249);
}

// Guards against stores that are killed for their memory, one leader after the other: 24 turns of the largest
// size were closed at the same time.
BOOST_FIXTURE_TEST_CASE(largest_turns_closed_at_the_same_time_fit_into_the_memory, three_stores)
{
    constexpr int turn_count = 24;
    constexpr std::size_t turn_bytes = 4U << 20U;
    constexpr std::uint64_t memory_limit = 260'000'000; // of a store
    for (test_store& store : stores) {
        store.settings.memory_limit = memory_limit;
    }
    start(stores[0]);
    start(stores[1]);
    store_turns(1); // a leader is elected
    while (!stores[0].replica->group().counters().leads.load() &&
           !stores[1].replica->group().counters().leads.load()) {
        std::this_thread::yield();
    }
    test_store& leader = stores[stores[0].replica->group().counters().leads.load() ? 0 : 1];
    const std::size_t initial_heap = heap_in_use();
    std::atomic<std::size_t> peak_heap{0};
    std::atomic<int> closed{0};
    std::promise<void> all_closed;
    std::function<void(int)> offer = [&](int turn) {
        wire::envelope request;
        request.mutable_content_offer()->set_organisation("o");
        request.mutable_content_offer()->set_request("large" + std::to_string(turn));
        request.mutable_content_offer()->set_bytes(turn_bytes);
        request.mutable_content_offer()->set_timeout_ms(600'000);
        const auto receive = [&, turn](const wire::envelope& reply) {
            BOOST_TEST_REQUIRE(reply.has_content_offered());
            BOOST_TEST_REQUIRE(reply.content_offered().outcome() ==
                               static_cast<std::uint32_t>(offer_outcome::granted));
            auto close_request = std::make_shared<wire::envelope>();
            wire::close_turn* closing = close_request->mutable_close_turn();
            closing->set_organisation("o");
            closing->set_request("large" + std::to_string(turn));
            closing->set_keep(true);
            closing->set_input(std::string(turn_bytes, 'x'));
            closing->set_retention_ms(600'000);
            leader.replica->handle_request(close_request, [&](const wire::envelope& result) {
                BOOST_TEST_REQUIRE(result.has_done());
                peak_heap.store(std::max(peak_heap.load(), heap_in_use()));
                if (closed.fetch_add(1) + 1 == turn_count) {
                    all_closed.set_value();
                }
            });
            peak_heap.store(std::max(peak_heap.load(), heap_in_use()));
        };
        leader.replica->handle_request(std::make_shared<const wire::envelope>(request), receive);
    };
    for (int turn = 0; turn < turn_count; ++turn) {
        offer(turn);
    }
    all_closed.get_future().wait();
    BOOST_TEST(peak_heap.load() - std::min(peak_heap.load(), initial_heap) <= memory_limit * 8 / 10);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
