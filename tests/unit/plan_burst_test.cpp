// Versions of the plan that reach a gateway in quick succession. Control is a scripted replica.
#include "base/compress_func.hpp"
#include "small_fleet.hpp"

#include "wire.pb.h"

#include <future>
#include <map>
#include <mutex>
#include <thread>

namespace guavawick::tests {

namespace {

/// Documents that the gateway decoded; the platform's adapter has no state of its own.
struct decode_log {
    std::mutex mutex;
    std::vector<std::string> documents;
};

decode_log& decoded()
{
    static decode_log log;
    return log;
}

plan::service_plan decode_and_log(const std::string& document)
{
    const std::lock_guard lock(decoded().mutex);
    decoded().documents.push_back(document);
    return decode_plan(document);
}

/// A gateway that subscribed to a scripted control replica. The clock stands still. It counts the documents
/// that it decodes.
struct gateway_with_stopped_clock {
    runtime::worker_pool control_pool{1};
    std::string control_endpoint = "tcp://" + find_free_address();
    wire::link control_link{control_pool.executor(), core::make_link_settings(), incarnation_id{random_id()}};
    std::promise<std::string> subscribed;
    std::atomic<bool> has_subscribed{false};
    std::mutex mutex;                                           ///< guards the member below
    std::map<std::uint64_t, std::uint64_t> revision_by_version; ///< in the gateway's subscriptions
    core::fleet_settings settings;
    runtime::worker_pool pool{1};
    std::unique_ptr<gateway::gateway_process> gateway;
    std::string gateway_endpoint;

    gateway_with_stopped_clock()
    {
        decoded().documents.clear();
        control_link.listen(
            control_endpoint, [this](const wire::reply_target&, const wire::envelope_ptr& message) {
                if (!message->has_subscribe()) {
                    return;
                }
                if (!has_subscribed.exchange(true)) {
                    subscribed.set_value(message->subscribe().endpoint());
                }
                const std::lock_guard lock(mutex);
                revision_by_version[message->subscribe().version()] = message->subscribe().revision();
            });
        settings.node = "entry";
        settings.data_centre = "a";
        settings.stop_grace = 1s;
        settings.seeds = {control_endpoint};
        settings.link = "tcp://" + find_free_address();
        settings.caller_listen = find_free_address();
        settings.readiness_listen = find_free_address();
        settings.metrics_listen = find_free_address();
        gateway::platform_adapter adapter;
        adapter.decode_plan = decode_and_log;
        gateway = std::make_unique<gateway::gateway_process>(settings, adapter, pool);
        gateway->start();
        gateway_endpoint = subscribed.get_future().get();
        runtime_clock::pause();
    }

    ~gateway_with_stopped_clock()
    {
        runtime_clock::resume();
        gateway->stop();
        pool.stop();
        gateway->close();
        control_pool.stop();
        control_link.close();
    }
    gateway_with_stopped_clock(const gateway_with_stopped_clock&) = delete;
    gateway_with_stopped_clock& operator=(const gateway_with_stopped_clock&) = delete;

    void push_view(std::uint64_t revision, std::uint64_t version, bool has_document,
                   const std::string& evacuated = "", const std::string& damaged_document = "")
    {
        wire::envelope message;
        wire::control_view& view = *message.mutable_view();
        view.set_revision(revision);
        view.set_version(version);
        view.set_confirmed(true);
        view.set_has_document(has_document);
        if (has_document) {
            view.set_document(damaged_document.empty() ? compress(std::to_string(version))
                                                       : damaged_document);
        }
        if (!evacuated.empty()) {
            view.add_evacuated(evacuated);
        }
        control_link.send(gateway_endpoint, std::move(message));
    }

    /// Waits until the gateway has handled all messages that were sent before.
    void flush()
    {
        wire::envelope message;
        wire::instance_record& record = *message.mutable_directory()->add_instances();
        record.set_id("marker-" + std::to_string(++markers));
        record.set_service("s");
        record.set_address("127.0.0.1:1");
        record.set_started_ms(1);
        record.set_sequence(1);
        control_link.send(gateway_endpoint, std::move(message));
        wait_for_metric("guavawick_gateway_instances", markers);
    }

    void wait_for_metric(const std::string& name, int value)
    {
        http::request request;
        request.method = "GET";
        request.target = "/metrics";
        const std::string line = "\n" + name + " " + std::to_string(value) + "\n";
        std::string text;
        while (text.find(line) == std::string::npos) {
            auto fetch = http::fetch_response("http://" + settings.metrics_listen, request, call_timeout);
            text = asio::co_spawn(control_pool.executor(), std::move(fetch), asio::use_future).get().body;
        }
    }

    std::vector<std::string> decoded_documents()
    {
        const std::lock_guard lock(decoded().mutex);
        return decoded().documents;
    }

    /// @return the revision of control's state that the gateway has once it has a version.
    std::uint64_t wait_for_revision(std::uint64_t version)
    {
        while (true) {
            const std::lock_guard lock(mutex);
            const auto found = revision_by_version.find(version);
            if (found != revision_by_version.end()) {
                return found->second;
            }
            std::this_thread::yield();
        }
    }

private:
    int markers = 0;
};

const std::vector<std::string> only_first{"1"};
const std::vector<std::string> first_and_newest{"1", "20"};

} // namespace

BOOST_AUTO_TEST_SUITE(plan_burst_test)

// Guards against a gateway that falls behind because it decodes every superseded version of a large plan.
BOOST_FIXTURE_TEST_CASE(only_the_newest_of_several_versions_in_quick_succession_is_decoded,
                        gateway_with_stopped_clock)
{
    for (std::uint64_t version = 1; version <= 20; ++version) {
        push_view(version, version, true);
    }
    push_view(19, 19, true); // of a replica that lags behind
    flush();
    BOOST_TEST(decoded_documents() == only_first, boost::test_tools::per_element());
    runtime_clock::advance(100ms);
    wait_for_metric("guavawick_gateway_plan_version", 20);
    BOOST_TEST(decoded_documents() == first_and_newest, boost::test_tools::per_element());
}

// Guards against an evacuation that is lost because its view comes without the document that waits.
BOOST_FIXTURE_TEST_CASE(view_without_a_document_is_completed_by_the_one_that_waits,
                        gateway_with_stopped_clock)
{
    push_view(1, 1, true);
    push_view(2, 20, true);
    push_view(3, 20, false, "b");
    flush();
    runtime_clock::advance(100ms);
    wait_for_metric("guavawick_gateway_plan_version", 20);
    runtime_clock::advance(400ms); // to the next subscription
    BOOST_TEST(wait_for_revision(20) == 3U);
    BOOST_TEST(decoded_documents() == first_and_newest, boost::test_tools::per_element());
}

// Guards against a gateway that goes back to an older plan, or that ignores newer ones after a document that
// it can't decode.
BOOST_FIXTURE_TEST_CASE(views_that_are_late_or_damaged_do_not_bring_back_an_older_plan,
                        gateway_with_stopped_clock)
{
    push_view(5, 5, true);
    push_view(4, 4, true);
    push_view(5, 5, true); // of another replica
    push_view(3, 3, false);
    flush();
    runtime_clock::advance(100ms);
    push_view(6, 6, true, "", "not a document");
    push_view(4, 4, true);
    flush();
    wait_for_metric("guavawick_gateway_plan_version", 5);
    push_view(7, 7, true);
    wait_for_metric("guavawick_gateway_plan_version", 7);
    push_view(6, 6, true);
    flush();
    wait_for_metric("guavawick_gateway_plan_version", 7);
    BOOST_TEST(decoded_documents() == (std::vector<std::string>{"5", "7"}), boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
