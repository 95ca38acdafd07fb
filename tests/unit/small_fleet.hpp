// A small fleet in one process: control replica, store and gateway over loopback, with scripted upstreams. It
// brings its own functions for reading calls and documents.
#pragma once

#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "core/control_process.hpp"
#include "core/store_process.hpp"
#include "free_address.hpp"
#include "gateway/gateway_process.hpp"
#include "runtime/worker_pool.hpp"

#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>

#include <filesystem>

namespace guavawick::tests {

namespace asio = boost::asio;
namespace fs = std::filesystem;
using namespace std::chrono_literals;

constexpr duration call_timeout = 20s;

inline gateway::call_metadata read_call(const gateway::raw_request& request)
{
    gateway::call_metadata metadata;
    metadata.request = request_name{gateway::find_header(request.headers, "Call")};
    metadata.host = "h";
    metadata.path = request.target;
    metadata.api_key = gateway::find_header(request.headers, "Key");
    metadata.program = program_name{gateway::find_header(request.headers, "Program")};
    metadata.budget_tokens = metadata.program.empty() ? 0 : 10;
    metadata.max_tokens = 4;
    metadata.previous_turn = request_name{gateway::find_header(request.headers, "Previous")};
    metadata.resumed_request = request_name{gateway::find_header(request.headers, "Resumes")};
    const std::string last_event = gateway::find_header(request.headers, "Last-Event");
    if (!last_event.empty()) {
        metadata.resume_after = std::stoul(last_event);
    }
    const std::string deadline_ms = gateway::find_header(request.headers, "Deadline");
    if (!deadline_ms.empty()) {
        metadata.timeout = std::chrono::milliseconds(std::stoul(deadline_ms));
    }
    return metadata;
}

inline gateway::header_list make_headers(const gateway::header_list& received,
                                         const gateway::upstream_metadata& metadata)
{
    gateway::header_list headers{{"Organisation", metadata.organisation},
                                 {"Call", gateway::find_header(received, "Call")}};
    const std::string last_event = gateway::find_header(received, "Last-Event");
    if (metadata.resume_after) {
        headers.emplace_back("Last-Event", std::to_string(*metadata.resume_after));
    }
    else if (!last_event.empty()) {
        headers.emplace_back("Last-Event", last_event);
    }
    if (metadata.priority) {
        headers.emplace_back("Priority", std::to_string(*metadata.priority));
    }
    return headers;
}

inline gateway::response_metadata read_response(int status, const gateway::header_list& headers)
{
    gateway::response_metadata metadata;
    metadata.signed_by_upstream = !gateway::find_header(headers, "Signature").empty();
    metadata.not_executed = !gateway::find_header(headers, "Not-Run").empty();
    metadata.request = gateway::find_header(headers, "Call");
    metadata.leaving = !gateway::find_header(headers, "Leaving").empty();
    return metadata;
}

/// Reads only the version from the document: every version has the same routes.
inline plan::service_plan decode_plan(const std::string& document)
{
    const auto make_route = [](const std::string& name, plan::call_kind kind) {
        plan::route route;
        route.name = plan::route_name{name};
        route.host = "h";
        route.path_prefix = "/" + name + "/";
        route.kind = kind;
        route.max_attempts = 2;
        route.services = {{plan::service_name{"s"}, 1.0}};
        route.timeout = 10s;
        return route;
    };
    plan::service_plan decoded;
    decoded.version = plan::plan_version{std::stoull(document)};
    decoded.routes = {make_route("safe", plan::call_kind::idempotent),
                      make_route("once", plan::call_kind::non_idempotent),
                      make_route("turn", plan::call_kind::streaming)};
    decoded.routes.back().keeps_turns = true;
    decoded.routes.back().retention = 60s;
    for (const char* name : {"resumed", "kept"}) {
        decoded.routes.push_back(make_route(name, plan::call_kind::streaming));
        decoded.routes.back().resumable = true;
    }
    decoded.routes.back().keeps_turns = true;
    decoded.routes.back().retention = 60s;
    decoded.services[plan::service_name{"s"}].name = plan::service_name{"s"};
    decoded.services[plan::service_name{"s"}].model = plan::engine{4, 1000, 2};
    decoded.organisations.push_back({organisation_name{"o"}, {sha256_hex("key")}, {}, 0, 0});
    return decoded;
}

/// An upstream whose answers are set by the test.
struct scripted_upstream {
    std::atomic<int> calls{0};
    std::string last_body;
    std::string last_organisation;
    std::string last_priority; ///< empty if the call had none
    std::function<asio::awaitable<void>(http::responder&)> respond;
    std::string address;
    std::unique_ptr<http::server> server;

    asio::awaitable<void> handle(http::request& request, http::responder& responder)
    {
        calls.fetch_add(1);
        last_body = request.body;
        last_organisation = request.header("organisation");
        last_priority = request.header("priority");
        co_await respond(responder);
    }
};

inline asio::awaitable<void> respond_ok(http::responder& responder)
{
    http::response response = http::make_response(200, "text/plain", "done");
    response.headers["Signature"] = "s";
    co_await responder.send(std::move(response));
}

inline asio::awaitable<void> respond_with_events(http::responder& responder)
{
    http::response head = http::make_response(200, "text/event-stream", "");
    head.headers["Signature"] = "s";
    co_await responder.start_stream(std::move(head));
    std::string first = "id: 1\ndata: one\n\n";
    co_await responder.write(std::move(first));
    std::string second = "id: 2\ndata: two\n\n";
    co_await responder.write(std::move(second));
    co_await responder.finish();
}

inline asio::awaitable<void> respond_not_executed(http::responder& responder)
{
    http::response response = http::make_response(503, "text/plain", "");
    response.headers["Not-Run"] = "1";
    co_await responder.send(std::move(response));
}

inline asio::awaitable<void> respond_truncated(http::responder& responder)
{
    http::response head = http::make_response(200, "text/plain", "");
    head.headers["Signature"] = "s";
    co_await responder.start_stream(std::move(head));
    std::string part = "half";
    co_await responder.write(std::move(part));
    responder.abort();
}

/// A fleet of one control replica, one store and one entry.
struct small_fleet {
    fs::path data_root = fs::temp_directory_path() / ("guavawick-test-" + to_hex(random_id()));
    runtime::worker_pool pool{1};
    std::unique_ptr<runtime::worker_pool> control_pool = std::make_unique<runtime::worker_pool>(1);
    scripted_upstream upstream;
    scripted_upstream second_upstream;
    core::fleet_settings common_settings;
    std::unique_ptr<core::control_process> control;
    std::unique_ptr<core::store_process> store;
    std::unique_ptr<gateway::gateway_process> gateway_server;
    std::uint64_t next_call_number = 1;

    /// @param with_store false if the test brings a store of its own.
    explicit small_fleet(core::fleet_features features = {}, bool with_store = true)
    {
        common_settings.features = features;
        try {
            start(with_store);
        }
        catch (...) { // the destructor does not run, and the pool's threads use the members
            stop();
            throw;
        }
    }

    ~small_fleet() { stop(); }
    small_fleet(const small_fleet&) = delete;
    small_fleet& operator=(const small_fleet&) = delete;

    void start(bool with_store)
    {
        start_upstream(upstream);
        start_upstream(second_upstream);
        common_settings.data_centre = "a";
        common_settings.tolerated_failures = 0;
        common_settings.bootstrap = true;
        common_settings.stop_grace = 1s; // no call is in flight when the fixture ends
        const std::string control_link = "tcp://" + find_free_address();
        common_settings.seeds = {control_link};
        start_control(control_link);
        if (with_store) {
            start_store();
        }
        start_gateway();
        announce(upstream, "u1", 1);
        publish_first_document();
        while (call("GET", "/safe/x").status != 200) {
        }
        upstream.calls = 0;
    }

    /// Publishes as an operator does, who sends a document again until it is acknowledged.
    void publish_first_document()
    {
        while (true) {
            try {
                run(control->publish({1, "1"}));
                return;
            }
            catch (const error&) {
                BOOST_TEST_MESSAGE("the first document is sent again");
            }
        }
    }

    void stop()
    {
        for_each_process([](auto& process) { process.stop(); });
        pool.stop();
        control_pool->stop();
        for_each_process([](auto& process) { process.close(); });
        gateway_server.reset();
        store.reset();
        control.reset();
        fs::remove_all(data_root);
    }

    template <typename Function>
    void for_each_process(Function function)
    {
        if (gateway_server) {
            function(*gateway_server);
        }
        if (store) {
            function(*store);
        }
        if (control) {
            function(*control);
        }
    }

    void start_upstream(scripted_upstream& scripted)
    {
        scripted.respond = respond_ok;
        scripted.address = find_free_address();
        http::server_limits limits;
        limits.max_body_bytes = 64U << 20U; // a history and a new input
        scripted.server =
            std::make_unique<http::server>(pool.executor(), scripted.address, limits,
                                           [&scripted](http::request& request, http::responder& responder) {
                                               return scripted.handle(request, responder);
                                           });
    }

    void start_control(const std::string& control_link)
    {
        core::fleet_settings settings = common_settings;
        settings.node = "control";
        settings.link = control_link;
        settings.data_folder = (data_root / "control").string();
        settings.operator_listen = find_free_address();
        settings.metrics_listen.clear(); // after a restart it is the gateway's
        control = std::make_unique<core::control_process>(settings, *control_pool);
        control->start([](http::request&, http::responder& responder) { return respond_ok(responder); });
    }

    /// Stops the control replica and closes its connections.
    void end_control()
    {
        control->stop();
        control_pool->stop();
        control->close();
        control.reset();
        control_pool = std::make_unique<runtime::worker_pool>(1);
    }

    /// Stops the control replica and starts it again from its disk.
    void restart_control()
    {
        end_control();
        start_control(common_settings.seeds.front());
    }

    void start_store()
    {
        core::fleet_settings settings = common_settings;
        settings.node = "store";
        settings.link = "tcp://" + find_free_address();
        settings.data_folder = (data_root / "store").string();
        store = std::make_unique<core::store_process>(settings, pool);
        store->start();
    }

    void start_gateway()
    {
        gateway::platform_adapter adapter;
        adapter.read_call = read_call;
        adapter.make_upstream_headers = make_headers;
        adapter.read_response = read_response;
        adapter.decode_plan = decode_plan;
        common_settings.node = "entry";
        common_settings.link = "tcp://" + find_free_address();
        common_settings.caller_listen = find_free_address();
        common_settings.readiness_listen = find_free_address();
        common_settings.metrics_listen = find_free_address();
        gateway_server = std::make_unique<gateway::gateway_process>(common_settings, adapter, pool);
        gateway_server->start();
    }

    void announce(const scripted_upstream& scripted, const std::string& id, std::uint64_t sequence,
                  directory::instance_state state = directory::instance_state::serving,
                  const std::string& version = "")
    {
        announce_address(scripted.address, id, sequence, state, version);
    }

    void announce_address(const std::string& address, const std::string& id, std::uint64_t sequence,
                          directory::instance_state state = directory::instance_state::serving,
                          const std::string& version = "")
    {
        directory::instance_record record;
        record.id = directory::instance_id{id};
        record.service = "s";
        record.address = address;
        record.data_centre = data_centre_name{"a"};
        record.slots = 4;
        record.version = version;
        record.started_ms = 1;
        record.sequence = sequence;
        record.state = state;
        run(control->announce(record));
    }

    /// @return the value of one of the gateway's metrics; 0 if it has none of that name.
    double read_metric(const std::string& name)
    {
        http::request request;
        request.method = "GET";
        request.target = "/metrics";
        const std::string text =
            run(http::fetch_response("http://" + common_settings.metrics_listen, request, call_timeout)).body;
        const std::size_t line = text.find("\n" + name + " ");
        return line == std::string::npos ? 0 : std::stod(text.substr(line + name.size() + 2));
    }

    template <typename Result>
    Result run(asio::awaitable<Result> task)
    {
        return asio::co_spawn(pool.executor(), std::move(task), asio::use_future).get();
    }

    http::response call(const std::string& method, const std::string& target,
                        std::map<std::string, std::string> headers = {}, const std::string& body = "")
    {
        http::request request;
        request.method = method;
        request.target = target;
        request.body = body;
        request.headers = std::move(headers);
        request.headers.emplace("Key", "key");
        request.headers.emplace("Call", "c" + std::to_string(next_call_number++));
        try {
            return run(
                http::fetch_response("http://" + common_settings.caller_listen, request, call_timeout));
        }
        catch (const error&) {
            return http::make_response(0, "", ""); // no complete response
        }
    }
};

} // namespace guavawick::tests
