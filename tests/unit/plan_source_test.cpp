// Which views of control replicas a gateway accepts, and what a client of a group reports about replicas
// without a leader. Control is a scripted replica.
#include "base/compress_func.hpp"
#include "small_fleet.hpp"

#include "wire.pb.h"
#include "wire/group_client.hpp"

#include <condition_variable>
#include <mutex>

namespace guavawick::tests {

namespace {

constexpr std::size_t many_subscriptions = 40;

/// A control replica that answers each subscription with the same view, and each request with the same
/// redirect.
struct scripted_control {
    runtime::worker_pool pool{1};
    std::string endpoint = "tcp://" + find_free_address();
    wire::link link{pool.executor(), core::make_link_settings(), incarnation_id{random_id()}};
    std::mutex mutex; ///< guards the members below
    std::condition_variable received;
    wire::envelope view;
    wire::envelope redirect;
    bool answers_requests_only = false;  ///< a gateway with a plan gets the view once it asks for it
    int requests = 0;                    ///< for a view, of a gateway with a plan
    std::vector<std::uint64_t> versions; ///< that the gateway had in force when it subscribed

    scripted_control()
    {
        link.listen(endpoint, [this](const wire::reply_target& from, const wire::envelope_ptr& message) {
            const std::lock_guard lock(mutex);
            if (message->has_subscribe()) {
                versions.push_back(message->subscribe().version());
                received.notify_all();
                const bool has_plan = message->subscribe().version() > 0;
                const bool is_request = has_plan && message->subscribe().wants_view();
                requests += is_request ? 1 : 0;
                if (answers_requests_only) {
                    send_hello(message->subscribe().endpoint());
                }
                if (message->subscribe().revision() < view.view().revision() &&
                    (!answers_requests_only || !has_plan || is_request)) {
                    link.send(message->subscribe().endpoint(), view);
                }
            }
            else if (message->has_read()) {
                link.reply(from, redirect);
            }
        });
    }

    ~scripted_control()
    {
        pool.stop();
        link.close();
    }

    void send_hello(const std::string& gateway)
    {
        wire::envelope hello;
        hello.mutable_hello()->set_sender(endpoint);
        hello.mutable_hello()->set_unchanged(true);
        hello.mutable_hello()->set_revision(view.view().revision());
        link.send(gateway, std::move(hello));
    }

    void set_view(std::uint64_t version, bool confirmed)
    {
        const std::lock_guard lock(mutex);
        wire::control_view& body = *view.mutable_view();
        body.set_revision(version);
        body.set_version(version);
        body.set_has_document(true);
        body.set_document(compress(std::to_string(version)));
        body.set_confirmed(confirmed);
    }

    /// @return the versions in the next subscriptions, up to the one that names `awaited`.
    std::vector<std::uint64_t> collect_versions(std::size_t max_count, std::uint64_t awaited)
    {
        std::unique_lock lock(mutex);
        versions.clear();
        received.wait(lock, [&] {
            return versions.size() >= max_count || (!versions.empty() && versions.back() == awaited);
        });
        return versions;
    }
};

struct gateway_beside_scripted_control {
    scripted_control control;
    runtime::worker_pool pool{1};
    std::unique_ptr<gateway::gateway_process> gateway;

    void start(const std::string& link = "tcp://" + find_free_address())
    {
        core::fleet_settings settings;
        settings.node = "entry";
        settings.data_centre = "a";
        settings.stop_grace = 1s;
        settings.seeds = {control.endpoint};
        settings.link = link;
        settings.caller_listen = find_free_address();
        settings.readiness_listen = find_free_address();
        gateway::platform_adapter adapter;
        adapter.decode_plan = decode_plan;
        gateway = std::make_unique<gateway::gateway_process>(settings, adapter, pool);
        gateway->start();
    }

    ~gateway_beside_scripted_control()
    {
        gateway->stop();
        pool.stop();
        gateway->close();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(plan_source_test)

BOOST_FIXTURE_TEST_CASE(client_without_a_leader_names_the_replicas_that_it_asked, scripted_control)
{
    redirect.mutable_redirect()->set_term(7);
    redirect.mutable_redirect()->set_role("follower");
    redirect.mutable_redirect()->set_voters(3);
    redirect.mutable_redirect()->set_reachable_voters(1);
    runtime::worker_pool client_pool(1);
    wire::link client_link(client_pool.executor(), core::make_link_settings(), incarnation_id{random_id()});
    wire::group_client client(client_link, {{endpoint, endpoint}});
    wire::envelope request;
    request.mutable_read();
    std::string reason;
    try {
        asio::co_spawn(client_pool.executor(), client.call(core::control_group, request, 200ms),
                       asio::use_future)
            .get();
    }
    catch (const link_error& error) {
        reason = error.what();
    }
    client_pool.stop();
    client_link.close();
    BOOST_TEST(reason == "no leader of group 0 answered in time: asked " + endpoint +
                             " (knows no leader, follower in term 7, last entry 0, reaches 1 of 3 voters)");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(plan_confirmation_test)

// Guards against calls that are handled by an outdated plan, because the only replica that answers restored a
// snapshot.
BOOST_FIXTURE_TEST_CASE(gateway_without_a_plan_takes_none_that_no_quorum_confirmed,
                        gateway_beside_scripted_control)
{
    control.set_view(3, false);
    start();
    control.collect_versions(2, 3);
    runtime_clock::advance(10s);
    const std::vector<std::uint64_t> unconfirmed = control.collect_versions(6, 3);
    BOOST_TEST(std::count(unconfirmed.begin(), unconfirmed.end(), 0) == 6);
    control.set_view(4, true);
    BOOST_TEST(control.collect_versions(many_subscriptions, 4).back() == 4);
}

// A replica applies committed entries only, so a newer view is valid whether its sender leads or not.
BOOST_FIXTURE_TEST_CASE(gateway_with_a_plan_takes_a_newer_one_of_any_replica, gateway_beside_scripted_control)
{
    control.set_view(3, true);
    start();
    BOOST_TEST_REQUIRE(control.collect_versions(many_subscriptions, 3).back() == 3);
    control.set_view(4, false);
    BOOST_TEST(control.collect_versions(many_subscriptions, 4).back() == 4);
}

// Guards against a gateway that waits for a push which the leader did not send, or which was lost.
BOOST_FIXTURE_TEST_CASE(gateway_asks_for_a_view_that_a_replica_has_and_nobody_pushes,
                        gateway_beside_scripted_control)
{
    control.answers_requests_only = true;
    control.set_view(3, true);
    start();
    BOOST_TEST_REQUIRE(control.collect_versions(many_subscriptions, 3).back() == 3);
    control.set_view(4, false);
    BOOST_TEST(control.collect_versions(many_subscriptions, 4).back() == 4);
    const std::lock_guard lock(control.mutex);
    BOOST_TEST(control.requests >= 1);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(delayed_plan_test)

// Guards against an outdated plan that a former leader's link held back until the gateway had started again.
BOOST_FIXTURE_TEST_CASE(gateway_without_a_plan_takes_none_that_was_sent_before_it_started,
                        gateway_beside_scripted_control)
{
    const std::string endpoint = "tcp://" + find_free_address();
    control.set_view(3, true);
    {
        const std::lock_guard lock(control.mutex);
        control.link.send(endpoint, control.view);
        control.view.Clear(); // subscriptions are not answered
    }
    start(endpoint);
    const std::vector<std::uint64_t> versions = control.collect_versions(6, 3);
    BOOST_TEST(std::count(versions.begin(), versions.end(), 0) == 6);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
