// Calls through a real gateway, control replica and store, over loopback, with a scripted upstream. The
// dialect is a small one of the test's own.
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "core/control_process.hpp"
#include "core/store_process.hpp"
#include "gateway/gateway_process.hpp"
#include "runtime/worker_pool.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/test/unit_test.hpp>

#include <filesystem>

namespace guavawick::tests {

namespace asio = boost::asio;
namespace fs = std::filesystem;
using namespace std::chrono_literals;

namespace {

constexpr duration call_limit = 20s;

gateway::call_facts read_call(const gateway::raw_request& received)
{
    gateway::call_facts made;
    made.request = request_name{gateway::find_header(received.headers, "Call")};
    made.host = "h";
    made.path = received.target;
    made.key = gateway::find_header(received.headers, "Key");
    made.program = program_name{gateway::find_header(received.headers, "Program")};
    made.budget_tokens = made.program.empty() ? 0 : 10;
    made.most_tokens = 4;
    made.previous_turn = request_name{gateway::find_header(received.headers, "Previous")};
    return made;
}

gateway::header_list make_headers(const gateway::header_list&, const gateway::upstream_facts& facts)
{
    return {{"Organisation", facts.organisation}};
}

gateway::answer_facts read_answer(int status, const gateway::header_list& headers)
{
    gateway::answer_facts made;
    made.signed_by_upstream = !gateway::find_header(headers, "Signature").empty();
    made.not_run = !gateway::find_header(headers, "Not-Run").empty();
    return made;
}

/// The document is not looked into: every version gives the same routes.
plan::service_plan decode_plan(const std::string& document)
{
    const auto make_route = [](const std::string& name, plan::call_kind kind) {
        plan::route made;
        made.name = plan::route_name{name};
        made.host = "h";
        made.path_prefix = "/" + name + "/";
        made.kind = kind;
        made.max_attempts = 2;
        made.services = {{plan::service_name{"s"}, 1.0}};
        made.timeout = 10s;
        return made;
    };
    plan::service_plan made;
    made.version = plan::plan_version{std::stoull(document)};
    made.routes = {make_route("safe", plan::call_kind::idempotent),
                   make_route("once", plan::call_kind::non_idempotent),
                   make_route("turn", plan::call_kind::streaming)};
    made.routes.back().keeps_turns = true;
    made.routes.back().retention = 60s;
    made.services[plan::service_name{"s"}].name = plan::service_name{"s"};
    made.services[plan::service_name{"s"}].model = plan::engine{4, 1000, 2};
    made.organisations.push_back({organisation_name{"o"}, {sha256_hex("key")}, {}, 0, 0});
    return made;
}

/// An upstream that answers as the test says.
struct scripted_upstream {
    std::atomic<int> calls{0};
    std::string last_body;
    std::string last_organisation;
    std::function<asio::awaitable<void>(http::responder&)> answer;
    std::string address;
    std::unique_ptr<http::server> server;

    asio::awaitable<void> handle(http::request& received, http::responder& out)
    {
        calls.fetch_add(1);
        last_body = received.body;
        last_organisation = received.header("organisation");
        co_await answer(out);
    }
};

asio::awaitable<void> answer_whole(http::responder& out)
{
    http::response made = http::make_response(200, "text/plain", "done");
    made.headers["Signature"] = "s";
    co_await out.send(std::move(made));
}

asio::awaitable<void> answer_events(http::responder& out)
{
    http::response head = http::make_response(200, "text/event-stream", "");
    head.headers["Signature"] = "s";
    co_await out.start_stream(std::move(head));
    std::string first = "id: 1\ndata: one\n\n";
    co_await out.write(std::move(first));
    std::string second = "id: 2\ndata: two\n\n";
    co_await out.write(std::move(second));
    co_await out.finish();
}

asio::awaitable<void> answer_not_run(http::responder& out)
{
    http::response made = http::make_response(503, "text/plain", "");
    made.headers["Not-Run"] = "1";
    co_await out.send(std::move(made));
}

asio::awaitable<void> answer_half(http::responder& out)
{
    http::response head = http::make_response(200, "text/plain", "");
    head.headers["Signature"] = "s";
    co_await out.start_stream(std::move(head));
    std::string part = "half";
    co_await out.write(std::move(part));
    out.abort();
}

/// @return an address that nobody listens at, outside the range that outgoing connections take their ports
/// from.
std::string free_address()
{
    constexpr std::uint64_t first_port = 10000;
    constexpr std::uint64_t ports = 22000;
    asio::io_context context;
    while (true) {
        const auto port = static_cast<std::uint16_t>(first_port + random_id() % ports);
        const asio::ip::tcp::endpoint wanted(asio::ip::make_address("127.0.0.1"), port);
        asio::ip::tcp::acceptor probe(context, wanted.protocol());
        boost::system::error_code taken;
        probe.bind(wanted, taken);
        if (!taken) {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
}

/// A fleet of one control replica, one store and one entry.
struct small_fleet {
    fs::path folder = fs::temp_directory_path() / ("guavawick-test-" + to_hex(random_id()));
    runtime::worker_pool pool{1};
    scripted_upstream upstream;
    scripted_upstream second;
    core::fleet_settings given;
    std::unique_ptr<core::control_process> control;
    std::unique_ptr<core::store_process> store;
    std::unique_ptr<gateway::gateway_process> entry;
    std::uint64_t next_call = 1;

    small_fleet()
    {
        start_upstream(upstream);
        start_upstream(second);
        given.data_centre = "a";
        given.tolerated_failures = 0;
        given.bootstrap = true;
        given.stop_grace = 1s; // nothing is left to finish when the fixture ends
        const std::string control_link = "tcp://" + free_address();
        given.seeds = {control_link};
        start_control(control_link);
        start_store();
        start_entry();
        announce(upstream, "u1", 1);
        run(control->publish({1, "1"}));
        while (call("GET", "/safe/x").status != 200) {
        }
        upstream.calls = 0;
    }

    ~small_fleet()
    {
        entry->stop();
        store->stop();
        control->stop();
        pool.stop();
        entry->close();
        store->close();
        control->close();
        entry.reset();
        store.reset();
        control.reset();
        fs::remove_all(folder);
    }

    void start_upstream(scripted_upstream& one)
    {
        one.answer = answer_whole;
        one.address = free_address();
        one.server = std::make_unique<http::server>(
            pool.executor(), one.address, http::server_limits{},
            [&one](http::request& received, http::responder& out) { return one.handle(received, out); });
    }

    void start_control(const std::string& link)
    {
        core::fleet_settings own = given;
        own.node = "control";
        own.link = link;
        own.data_folder = (folder / "control").string();
        own.operator_listen = free_address();
        control = std::make_unique<core::control_process>(own, pool);
        control->start([](http::request&, http::responder& out) { return answer_whole(out); });
    }

    void start_store()
    {
        core::fleet_settings own = given;
        own.node = "store";
        own.link = "tcp://" + free_address();
        own.data_folder = (folder / "store").string();
        store = std::make_unique<core::store_process>(own, pool);
        store->start();
    }

    void start_entry()
    {
        gateway::dialect speaks;
        speaks.read_call = read_call;
        speaks.make_upstream_headers = make_headers;
        speaks.read_answer = read_answer;
        speaks.decode_plan = decode_plan;
        given.node = "entry";
        given.link = "tcp://" + free_address();
        given.caller_listen = free_address();
        given.readiness_listen = free_address();
        entry = std::make_unique<gateway::gateway_process>(given, speaks, pool);
        entry->start();
    }

    void announce(const scripted_upstream& one, const std::string& id, std::uint64_t sequence,
                  directory::instance_state state = directory::instance_state::serving)
    {
        directory::instance_record word;
        word.id = directory::instance_id{id};
        word.service = "s";
        word.address = one.address;
        word.data_centre = data_centre_name{"a"};
        word.slots = 4;
        word.started_ms = 1;
        word.sequence = sequence;
        word.state = state;
        run(control->announce(word));
    }

    template <typename Result>
    Result run(asio::awaitable<Result> work)
    {
        return asio::co_spawn(pool.executor(), std::move(work), asio::use_future).get();
    }

    http::response call(const std::string& method, const std::string& target,
                        std::map<std::string, std::string> headers = {}, const std::string& body = "")
    {
        http::request wanted;
        wanted.method = method;
        wanted.target = target;
        wanted.body = body;
        wanted.headers = std::move(headers);
        wanted.headers.emplace("Key", "key");
        wanted.headers.emplace("Call", "c" + std::to_string(next_call++));
        try {
            return run(http::fetch_whole("http://" + given.caller_listen, wanted, call_limit));
        }
        catch (const error&) {
            return http::make_response(0, "", ""); // no whole answer
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_test)

BOOST_FIXTURE_TEST_CASE(call_with_a_key_reaches_the_upstream_under_its_organisation, small_fleet)
{
    const http::response got = call("POST", "/once/x", {}, "body");
    BOOST_TEST(got.status == 200);
    BOOST_TEST(got.body == "done");
    BOOST_TEST(upstream.last_body == "body");
    BOOST_TEST(upstream.last_organisation == "o");
}

BOOST_FIXTURE_TEST_CASE(call_without_route_or_key_is_refused_and_reaches_nobody, small_fleet)
{
    BOOST_TEST(call("GET", "/nowhere/x").status == 404);
    BOOST_TEST(call("GET", "/safe/x", {{"Key", "other"}}).status == 401);
    BOOST_TEST(upstream.calls.load() == 0);
}

BOOST_FIXTURE_TEST_CASE(turn_that_continues_brings_everything_said_before, small_fleet)
{
    upstream.answer = answer_events;
    BOOST_TEST(call("POST", "/turn/x", {{"Call", "t1"}}, "first ").status == 200);
    const http::response got = call("POST", "/turn/x", {{"Call", "t2"}, {"Previous", "t1"}}, "second ");
    BOOST_TEST(got.body == "id: 1\ndata: one\n\nid: 2\ndata: two\n\n");
    BOOST_TEST(upstream.last_body == "first one\ntwo\nsecond ");
    BOOST_TEST(call("POST", "/turn/x", {{"Previous", "t9"}}, "x").status == 404);
}

BOOST_FIXTURE_TEST_CASE(program_that_spent_its_budget_is_told_so_and_does_not_run, small_fleet)
{
    upstream.answer = answer_events; // 2 events of 2 tokens a turn, 10 tokens in all
    int granted = 0;
    int status = 200;
    while (status == 200 && granted < 10) {
        status = call("POST", "/turn/x", {{"Program", "p"}}, "x").status;
        granted += status == 200 ? 1 : 0;
    }
    BOOST_TEST(status == 402);
    BOOST_TEST(granted == 3);
    BOOST_TEST(upstream.calls.load() == 3);
}

BOOST_FIXTURE_TEST_CASE(repeatable_call_whose_answer_breaks_off_is_run_again_elsewhere, small_fleet)
{
    upstream.answer = answer_half;
    second.answer = answer_half;
    announce(second, "u2", 1);
    while (call("GET", "/safe/x").status == 200 || second.calls.load() == 0) {
    }
    second.answer = answer_whole;
    BOOST_TEST(call("GET", "/safe/x").status == 200);
}

BOOST_FIXTURE_TEST_CASE(unrepeatable_call_whose_answer_breaks_off_runs_once_and_is_not_called_unrun,
                        small_fleet)
{
    announce(second, "u2", 1);
    upstream.answer = answer_half;
    second.answer = answer_half;
    second.calls = 0;
    BOOST_TEST(call("POST", "/once/x", {}, "x").status == 502);
    BOOST_TEST(upstream.calls.load() + second.calls.load() == 1);
}

BOOST_FIXTURE_TEST_CASE(call_that_no_upstream_took_is_called_unrun_with_a_time_to_come_back, small_fleet)
{
    upstream.answer = answer_not_run;
    const http::response got = call("POST", "/once/x", {}, "x");
    BOOST_TEST(got.status == 503);
}

BOOST_FIXTURE_TEST_CASE(upstream_that_leaves_gets_nothing_more, small_fleet)
{
    announce(second, "u2", 1);
    announce(upstream, "u1", 2, directory::instance_state::draining);
    while (call("GET", "/safe/x").status != 200 || second.calls.load() == 0) {
    }
    upstream.calls = 0;
    for (int i = 0; i < 10; ++i) {
        BOOST_TEST(call("POST", "/once/x", {}, "x").status == 200);
    }
    BOOST_TEST(upstream.calls.load() == 0);
}

BOOST_FIXTURE_TEST_CASE(data_centre_that_is_taken_out_gets_nothing_until_it_is_back, small_fleet)
{
    run(control->set_evacuation("a", true));
    while (call("POST", "/once/x", {}, "x").status != 503) {
    }
    upstream.calls = 0;
    BOOST_TEST(call("POST", "/once/x", {}, "x").status == 503);
    BOOST_TEST(upstream.calls.load() == 0);
    run(control->set_evacuation("a", false));
    while (call("POST", "/once/x", {}, "x").status != 200) {
    }
}

BOOST_FIXTURE_TEST_CASE(document_with_an_older_version_is_acknowledged_and_changes_nothing, small_fleet)
{
    run(control->publish({5, "5"}));
    run(control->publish({4, "4"}));
    BOOST_TEST(run(control->read_document()).version == 5U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
