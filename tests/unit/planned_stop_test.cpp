// Acknowledgement of an upstream's planned stop, which must outlive the control replica that received it.
#include "small_fleet.hpp"

#include "wire.pb.h"

#include <atomic>
#include <map>
#include <mutex>
#include <thread>

namespace guavawick::tests {

namespace {

constexpr int yields_per_subscription = 10000; ///< before a subscription that may be lost is repeated

/// A control replica whose only peer confirms directory updates when the test allows it.
struct replica_with_a_peer {
    fs::path data_root = fs::temp_directory_path() / ("guavawick-test-" + to_hex(random_id()));
    runtime::worker_pool pool{1};
    runtime::worker_pool peer_pool{1};
    std::string peer_endpoint = "tcp://" + find_free_address();
    wire::link peer{peer_pool.executor(), core::make_link_settings(), incarnation_id{random_id()}};
    std::atomic<bool> confirms{false};
    std::atomic<int> updates{0};                           ///< that asked for a confirmation
    std::atomic<int> hellos{0};                            ///< answers to subscriptions
    std::mutex mutex;                                      ///< guards the member below
    std::map<std::uint64_t, wire::instance_record> pushed; ///< to the peer as a gateway, by sequence
    std::string control_link = "tcp://" + find_free_address();
    std::unique_ptr<core::control_process> control;

    replica_with_a_peer()
    {
        peer.listen(peer_endpoint, [this](const wire::reply_target&, const wire::envelope_ptr& message) {
            hellos += message->has_hello() ? 1 : 0;
            if (message->has_directory() && message->directory().confirm() == 0 &&
                message->directory().endpoint().empty()) {
                const std::lock_guard lock(mutex);
                for (const wire::instance_record& record : message->directory().instances()) {
                    pushed[record.sequence()] = record;
                }
            }
            if (message->has_directory() && message->directory().confirm() != 0) {
                ++updates;
                if (confirms) {
                    wire::envelope confirmation;
                    confirmation.mutable_directory_confirmed()->set_number(message->directory().confirm());
                    peer.send(message->directory().endpoint(), std::move(confirmation));
                }
            }
        });
        core::fleet_settings settings;
        settings.node = "control";
        settings.data_centre = "a";
        settings.link = control_link;
        settings.data_folder = data_root.string();
        settings.seeds = {settings.link, peer_endpoint};
        control = std::make_unique<core::control_process>(settings, pool);
        control->start([](http::request&, http::responder& out) { return respond_ok(out); });
    }

    ~replica_with_a_peer()
    {
        control->stop();
        pool.stop();
        control->close();
        peer.close();
        peer_pool.stop();
        fs::remove_all(data_root);
    }

    bool is_acknowledged(asio::awaitable<void> request)
    {
        try {
            asio::co_spawn(pool.executor(), std::move(request), asio::use_future).get();
            return true;
        }
        catch (const link_error& failure) {
            BOOST_TEST_MESSAGE(failure.what());
            return false;
        }
    }

    bool announce(std::uint64_t sequence, directory::instance_state state)
    {
        directory::instance_record record;
        record.id = directory::instance_id{"u"};
        record.service = "s";
        record.address = "127.0.0.1:1";
        record.data_centre = data_centre_name{"a"};
        record.started_ms = 1;
        record.sequence = sequence;
        record.state = state;
        return is_acknowledged(control->announce(record));
    }

    /// Makes the peer a gateway that gets directory updates.
    void subscribe_peer()
    {
        while (hellos == 0) {
            wire::envelope subscription;
            subscription.mutable_subscribe()->set_endpoint(peer_endpoint);
            subscription.mutable_subscribe()->set_role("entry");
            peer.send(control_link, std::move(subscription));
            for (int i = 0; i < yields_per_subscription && hellos == 0; ++i) {
                std::this_thread::yield();
            }
        }
    }

    /// @return what was pushed to the gateway with a heartbeat.
    wire::instance_record await_push(std::uint64_t sequence)
    {
        while (true) {
            const std::lock_guard lock(mutex);
            const auto found = pushed.find(sequence);
            if (found != pushed.end()) {
                return found->second;
            }
        }
    }

    bool deregister() { return is_acknowledged(control->deregister(directory::instance_id{"u"}, 1)); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(planned_stop_test)

// Guards against a drained upstream that gets calls again: the only replica that knew of its stop ended after
// it had acknowledged it.
BOOST_FIXTURE_TEST_CASE(stop_is_not_acknowledged_before_another_replica_knows_it, replica_with_a_peer)
{
    BOOST_TEST(announce(1, directory::instance_state::serving));
    BOOST_TEST(!announce(2, directory::instance_state::draining));
    BOOST_TEST(!announce(2, directory::instance_state::draining)); // sent again
    BOOST_TEST(!announce(3, directory::instance_state::draining));
    BOOST_TEST(!deregister());
    confirms = true;
    while (!deregister()) {
    }
}

BOOST_FIXTURE_TEST_CASE(confirmed_stop_is_acknowledged_again_without_the_peer, replica_with_a_peer)
{
    confirms = true;
    while (!announce(2, directory::instance_state::draining)) {
    }
    confirms = false;
    const int updates_before = updates;
    BOOST_TEST(announce(2, directory::instance_state::draining));
    BOOST_TEST(announce(3, directory::instance_state::draining));
    BOOST_TEST(updates == updates_before);
}

// Guards against a stop that is never acknowledged although another replica heard of it first.
BOOST_FIXTURE_TEST_CASE(stop_that_the_peer_knows_is_acknowledged, replica_with_a_peer)
{
    BOOST_TEST(!announce(2, directory::instance_state::draining));
    wire::envelope update;
    wire::instance_record* record = update.mutable_directory()->add_instances();
    record->set_id("u");
    record->set_service("s");
    record->set_address("127.0.0.1:1");
    record->set_data_centre("a");
    record->set_state(1);
    record->set_started_ms(1);
    record->set_sequence(2);
    update.mutable_directory()->set_endpoint(peer_endpoint);
    while (!announce(2, directory::instance_state::draining)) {
        peer.send(control_link, update);
    }
}

// Guards against calls to an upstream that stops, from a gateway that lost the connection on which the
// change was pushed.
BOOST_FIXTURE_TEST_CASE(gateway_gets_a_planned_stop_again_with_each_heartbeat, replica_with_a_peer)
{
    confirms = true;
    subscribe_peer();
    while (!announce(2, directory::instance_state::draining)) {
    }
    BOOST_TEST(announce(3, directory::instance_state::draining));
    const wire::instance_record repeated = await_push(3);
    BOOST_TEST(!repeated.routine());
    BOOST_TEST(repeated.state() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
