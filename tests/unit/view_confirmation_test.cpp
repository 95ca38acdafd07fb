// Which views a control replica sends as confirmed by a quorum.
#include "small_fleet.hpp"

#include "wire.pb.h"

#include <array>
#include <condition_variable>
#include <mutex>

namespace guavawick::tests {

namespace {

constexpr std::size_t replica_count = 3;
constexpr int answers = 10;                     ///< to subscriptions, until a view would have arrived
constexpr duration longer_than_a_lease = 700ms; ///< a read lease ends within an election timeout, 600 ms

struct control_replica {
    runtime::worker_pool pool{1};
    std::string link = "tcp://" + find_free_address();
    std::unique_ptr<core::control_process> process;

    void end()
    {
        if (process) {
            process->stop();
            pool.stop();
            process->close();
            process.reset();
        }
    }
};

/// Three control replicas with a published document, and a subscriber that has no view.
struct replicas_with_a_subscriber {
    fs::path data_root = fs::temp_directory_path() / ("guavawick-test-" + to_hex(random_id()));
    std::array<control_replica, replica_count> replicas;
    runtime::worker_pool pool{1};
    std::string endpoint = "tcp://" + find_free_address();
    wire::link link{pool.executor(), core::make_link_settings(), incarnation_id{random_id()}};
    std::mutex mutex; ///< guards the members below
    std::condition_variable received;
    std::map<std::string, int> hellos;             ///< received, by the replica's endpoint
    std::map<std::string, int> confirmed_views;    ///< the same of views that a quorum confirmed
    std::map<std::string, std::uint64_t> versions; ///< of the newest view, by the replica's endpoint

    replicas_with_a_subscriber()
    {
        link.listen(endpoint, [this](const wire::reply_target&, const wire::envelope_ptr& message) {
            const std::lock_guard lock(mutex);
            if (message->has_hello()) {
                ++hellos[message->hello().sender()];
            }
            if (message->has_view()) {
                std::uint64_t& newest = versions[message->view().sender()];
                newest = std::max(newest, message->view().version());
            }
            if (message->has_view() && message->view().confirmed()) {
                ++confirmed_views[message->view().sender()];
            }
            received.notify_all();
        });
        core::fleet_settings settings;
        settings.tolerated_failures = 1;
        settings.bootstrap = true;
        settings.stop_grace = 1s;
        for (const control_replica& replica : replicas) {
            settings.seeds.push_back(replica.link);
        }
        for (control_replica& replica : replicas) {
            settings.node = replica.link;
            settings.data_centre = replica.link;
            settings.link = replica.link;
            settings.data_folder = (data_root / to_hex(random_id())).string();
            replica.process = std::make_unique<core::control_process>(settings, replica.pool);
            replica.process->start([](http::request&, http::responder& out) { return respond_ok(out); });
        }
        while (!publish()) {
        }
    }

    ~replicas_with_a_subscriber()
    {
        runtime_clock::resume();
        for (control_replica& replica : replicas) {
            replica.end();
        }
        link.close();
        pool.stop();
        fs::remove_all(data_root);
    }

    bool publish(std::uint64_t version = 1)
    {
        try {
            asio::co_spawn(replicas.front().pool.executor(),
                           replicas.front().process->publish({version, std::to_string(version)}),
                           asio::use_future)
                .get();
            return true;
        }
        catch (const error& failure) {
            BOOST_TEST_MESSAGE(failure.what());
            return false;
        }
    }

    /// Subscribes as a gateway that has just started. @return whether the replica sent a confirmed view.
    bool sends_confirmed_view(const std::string& replica)
    {
        std::unique_lock lock(mutex);
        const int hellos_before = hellos[replica];
        const int views_before = confirmed_views[replica];
        // A view follows the hello in reply to the same subscription.
        while (hellos[replica] < hellos_before + answers && confirmed_views[replica] == views_before) {
            wire::envelope subscription;
            subscription.mutable_subscribe()->set_endpoint(endpoint);
            subscription.mutable_subscribe()->set_role("entry");
            link.send(replica, std::move(subscription));
            received.wait_for(lock,
                              50ms); // a message to a replica that has not accepted the link yet is lost
        }
        return confirmed_views[replica] > views_before;
    }

    /// Subscribes as a gateway that has version 1 in force, and waits for the answer.
    void subscribe_with_version_1(const std::string& replica)
    {
        std::unique_lock lock(mutex);
        const int hellos_before = hellos[replica];
        while (hellos[replica] == hellos_before) {
            wire::envelope subscription;
            subscription.mutable_subscribe()->set_endpoint(endpoint);
            subscription.mutable_subscribe()->set_role("entry");
            subscription.mutable_subscribe()->set_revision(1);
            subscription.mutable_subscribe()->set_version(1);
            link.send(replica, std::move(subscription));
            received.wait_for(lock, 50ms);
        }
    }

    control_replica& find_leader()
    {
        while (true) {
            for (control_replica& replica : replicas) {
                if (sends_confirmed_view(replica.link)) {
                    return replica;
                }
            }
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(view_confirmation_test)

// Guards against an outdated view that a gateway without a plan takes for the newest: a leader whose process
// was frozen, or whose disk was slow, sent it as confirmed until its group's thread ran again.
BOOST_FIXTURE_TEST_CASE(view_of_a_leader_whose_lease_ended_while_its_thread_slept_is_not_confirmed,
                        replicas_with_a_subscriber)
{
    control_replica& leader = find_leader();
    runtime_clock::pause();
    BOOST_TEST_REQUIRE(sends_confirmed_view(leader.link));
    for (control_replica& replica : replicas) {
        if (&replica != &leader) {
            replica.end();
        }
    }
    runtime_clock::advance(longer_than_a_lease);
    BOOST_TEST(!sends_confirmed_view(leader.link));
}

// Guards against an outdated view that a gateway without a plan takes for the newest: a replica that had
// handed over its leadership confirmed views as long as the lease would have lasted.
BOOST_FIXTURE_TEST_CASE(view_of_a_replica_that_handed_over_its_leadership_is_not_confirmed,
                        replicas_with_a_subscriber)
{
    control_replica& leader = find_leader();
    runtime_clock::pause();
    BOOST_TEST_REQUIRE(sends_confirmed_view(leader.link));
    leader.process->stop();
    BOOST_TEST(!sends_confirmed_view(leader.link));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(view_retry_test)

// Guards against gateways that stay behind while changes follow each other: a replica sent a view that the
// leader's push had not brought only once nothing had been published for 600 ms.
BOOST_FIXTURE_TEST_CASE(gateway_without_a_path_to_the_leader_gets_a_view_between_two_changes,
                        replicas_with_a_subscriber)
{
    constexpr std::uint64_t last_version = 20;
    const control_replica& leader = find_leader();
    const control_replica& follower = &leader == &replicas.front() ? replicas.back() : replicas.front();
    for (std::uint64_t version = 2; version <= last_version; ++version) {
        publish(version);
        subscribe_with_version_1(follower.link);
    }
    const std::lock_guard lock(mutex);
    BOOST_TEST(versions[follower.link] > 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
