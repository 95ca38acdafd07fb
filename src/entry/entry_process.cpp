// HTTP requests of callers: health checks, metrics, programs, chat completions and services.
#include "entry/entry_process.hpp"

#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "caller/problem.hpp"
#include "http/request_guard.hpp"
#include "ledger/ledger_func.hpp"
#include "wire.pb.h"

#include <boost/json.hpp>

#include <thread>

namespace guavawick::entry {

namespace asio = boost::asio;

namespace {

constexpr std::size_t max_id_size = 128;
constexpr duration drain_check_interval = 20ms;
constexpr const char* anonymous_organisation =
    "~open"; ///< organisation of calls without an API key; configured names have no '~'

http::server_limits make_limits(const entry_settings& entry)
{
    http::server_limits limits;
    limits.max_body_bytes = entry.max_body_bytes;
    limits.max_connections = entry.max_connections;
    limits.idle_timeout = entry.idle_limit;
    http::connection_limits connections;
    connections.total = entry.max_connections;
    connections.per_address = entry.max_connections - entry.max_connections / 4;
    // The memory of an entry's machine is not in its settings.
    limits.guard = std::make_shared<http::request_guard>(
        std::make_shared<http::memory_budget>(http::derive_byte_limits(0)), connections);
    http::log_limits(*limits.guard);
    return limits;
}

std::string read_id_header(const http::request& http_request, const char* header)
{
    std::string id = http_request.header(header);
    constexpr const char* allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/";
    if (id.size() > max_id_size || id.find_first_not_of(allowed) != std::string::npos) {
        throw refusal_error(failure::bad_request,
                            std::string(header) +
                                ": expected at most 128 letters, digits, '-', '_', '.', ':' and '/'");
    }
    return id;
}

/// @return the organisation of the request's API key, nullptr if the request has no key.
/// @throw refusal_error if the key is unknown.
const configuration::organisation* authenticate(const configuration::view& view,
                                                const http::request& http_request)
{
    const std::string prefix = "Bearer ";
    const std::string authorization = http_request.header("authorization");
    if (authorization.empty()) {
        return nullptr;
    }
    const configuration::organisation* found =
        authorization.rfind(prefix, 0) == 0
            ? configuration::find_organisation_by_key(view, authorization.substr(prefix.size()))
            : nullptr;
    if (found == nullptr) {
        throw refusal_error(failure::key_unknown, "the key is unknown or was withdrawn");
    }
    return found;
}

void assign_program(call_request& call, const http::request& http_request, bool has_key)
{
    call.program = program_name{read_id_header(http_request, "guavawick-program")};
    call.parent = program_name{read_id_header(http_request, "guavawick-parent")};
    const std::string idempotency_key = read_id_header(http_request, "idempotency-key");
    if (!has_key && (!call.program.empty() || !idempotency_key.empty())) {
        throw refusal_error(failure::key_missing, "programs and idempotency keys require an API key");
    }
    if (!call.parent.empty() && call.program.empty()) {
        throw refusal_error(failure::bad_request,
                            "guavawick-parent: expected a guavawick-program header as well");
    }
    if (call.parent == call.program && !call.parent.empty()) {
        throw refusal_error(failure::bad_request, "guavawick-parent: a program can't be its own parent");
    }
    call.keep_answer = !idempotency_key.empty();
    call.ledger_request_id = request_name{call.keep_answer ? idempotency_key : to_hex(random_id())};
    if (!call.program.empty()) {
        return;
    }
    // A call without a program gets its own program, named after its idempotency key, if any, so that a
    // resent request finds it again.
    call.ephemeral = !call.keep_answer;
    call.program =
        program_name{call.keep_answer ? "~key/" + idempotency_key : "~once/" + to_hex(random_id())};
}

configuration::route require_route(const configuration::view& view, configuration::service_kind kind,
                                   const std::string& name, const configuration::organisation* organisation)
{
    const configuration::route* found = configuration::find_route(view, kind, name);
    if (found == nullptr) {
        throw refusal_error(failure::route_unknown, "no route serves \"" + name + "\"");
    }
    if (organisation == nullptr && !found->allow_anonymous) {
        throw refusal_error(failure::key_missing, "send a key as `Authorization: Bearer KEY`");
    }
    if (!configuration::is_authorised(*found, organisation)) {
        throw refusal_error(failure::route_forbidden, "the organisation may not use \"" + name + "\"");
    }
    return *found;
}

} // namespace

entry_process::entry_process(const settings& process_settings, runtime::worker_pool& pool)
    : settings_(process_settings), pool_(pool), self_(random_id()),
      tables_(data_centre_name{process_settings.data_centre}, process_settings.entry.configuration_lease,
              process_settings.entry.subset_size, hash_bytes(process_settings.entry.listen))
{
}

entry_process::~entry_process()
{
    stopped_.store(true);
}

void entry_process::start()
{
    const auto shard_count = static_cast<std::uint32_t>(settings_.ledger_shards);
    link_ = std::make_unique<wire::link>(pool_.executor(), settings_.links, self_);
    group_client_ = std::make_unique<wire::group_client>(*link_, settings_.replicas);
    rate_limiter_ = std::make_unique<rate_limiter>(*group_client_, self_, shard_count);
    call_context_ = std::make_unique<call_context>(settings_.entry, tables_, *rate_limiter_, *link_,
                                                   *group_client_, shard_count);
    call_context_->retry_credit.store(max_retry_credit);
    if (!settings_.entry.link.empty()) {
        link_->listen(settings_.entry.link,
                      [this](const wire::reply_target& from, const wire::envelope_ptr& message) {
                          handle_message(from, message);
                      });
    }
    const http::server_limits limits = make_limits(settings_.entry);
    http::add_guard_metrics(metrics_, limits.guard);
    add_metrics();
    pool_.spawn(poll_loop());
    pool_.spawn(load_poll_loop());
    pool_.spawn(rate_limiter_->borrow_loop([this] { return is_running(); }));
    for (std::uint32_t shard = 0; shard < shard_count; ++shard) {
        pool_.spawn(session_loop(shard));
    }
    caller_server_ =
        std::make_unique<http::server>(pool_.executor(), settings_.entry.listen, limits,
                                       [this](http::request& http_request, http::responder& out) {
                                           return handle_request(http_request, out);
                                       });
}

void entry_process::stop()
{
    draining_.store(true);
    // The load balancer gets status 503 and directs callers elsewhere; running calls are completed.
    constexpr duration drain_notice = 500ms;
    std::this_thread::sleep_for(drain_notice);
    caller_server_->drain();
    while (caller_server_->connections() != 0) {
        std::this_thread::sleep_for(drain_check_interval);
    }
    stopped_.store(true);
}

void entry_process::close()
{
    if (link_) {
        link_->close();
    }
}

bool entry_process::is_ready() const
{
    return !draining_.load() && tables_.is_fresh(runtime_clock::now());
}

asio::awaitable<void> entry_process::handle_request(http::request& http_request, http::responder& out)
{
    std::string request_id = http_request.header("x-request-id");
    if (request_id.empty() || request_id.size() > max_id_size) {
        request_id = to_hex(random_id());
    }
    request_count_.fetch_add(1);
    std::optional<refusal_error> refusal;
    try {
        co_await dispatch_request(http_request, out, request_id);
    }
    catch (const refusal_error& error) {
        refusal = error;
    }
    if (refusal) {
        refusal_count_.fetch_add(1);
        log_event(event::call_refused, {{"request", request_id},
                                        {"failure", find_failure(refusal->kind).name},
                                        {"detail", refusal->what()}});
        co_await out.send(caller::make_problem(*refusal, request_id));
    }
}

asio::awaitable<void> entry_process::dispatch_request(http::request& http_request, http::responder& out,
                                                      const std::string& request_id)
{
    const std::string path = http_request.target.substr(0, http_request.target.find('?'));
    if (path == "/healthz") {
        const bool ready = is_ready();
        co_await out.send(
            http::make_response(ready ? 200 : 503, "text/plain", ready ? "ok\n" : "not ready\n"));
        co_return;
    }
    if (path == "/metrics") {
        co_await out.send(http::make_response(200, "text/plain; version=0.0.4", metrics_.prometheus_text()));
        co_return;
    }
    if (!tables_.is_fresh(runtime_clock::now())) {
        throw refusal_error(failure::configuration_stale, "the configuration could not be confirmed in time",
                            1000U);
    }
    if (path.rfind("/v1/programs/", 0) == 0) {
        co_await handle_program_request(http_request, out);
        co_return;
    }
    call_request call = parse_call(http_request, request_id);
    co_await serve_call(*call_context_, std::move(call), out);
}

call_request entry_process::parse_call(const http::request& http_request, const std::string& request_id) const
{
    const std::string path = http_request.target.substr(0, http_request.target.find('?'));
    const std::string services_prefix = "/v1/services/";
    const configuration::view_ptr view = tables_.view();
    call_request call;
    call.request_id = request_id;
    call.received_at = runtime_clock::now();
    const configuration::organisation* organisation = authenticate(*view, http_request);
    call.organisation.name = organisation_name{anonymous_organisation};
    if (organisation != nullptr) {
        call.organisation = *organisation;
        call.budget = configuration::find_budget(*view, *organisation);
    }
    if (path == "/v1/chat/completions") {
        if (http_request.method != "POST") {
            throw refusal_error(failure::not_found, "use POST for " + path);
        }
        call.chat = caller::parse_chat_request(http_request.body);
        call.stream = call.chat.stream;
        call.route = require_route(*view, configuration::service_kind::model, call.chat.model, organisation);
    }
    else if (path.rfind(services_prefix, 0) == 0) {
        const std::string target = http_request.target.substr(services_prefix.size());
        const std::size_t end = std::min(target.find_first_of("/?"), target.size());
        call.route =
            require_route(*view, configuration::service_kind::service, target.substr(0, end), organisation);
        call.method = http_request.method;
        call.path = end < target.size() && target[end] == '/' ? target.substr(end) : "/" + target.substr(end);
        call.content_type = http_request.header("content-type");
        call.service_body = http_request.body;
    }
    else {
        throw refusal_error(failure::not_found, "nothing is served at " + path);
    }
    assign_program(call, http_request, organisation != nullptr);
    call.request_hash = body_hash{hash_bytes(call.method + call.path + "\n" + http_request.body,
                                             hash_bytes(call.organisation.name.value))};
    return call;
}

asio::awaitable<void> entry_process::handle_program_request(http::request& http_request, http::responder& out)
{
    const configuration::view_ptr view = tables_.view();
    const configuration::organisation* organisation = authenticate(*view, http_request);
    if (organisation == nullptr) {
        throw refusal_error(failure::key_missing, "send a key as `Authorization: Bearer KEY`");
    }
    if (http_request.method != "GET" && http_request.method != "DELETE") {
        throw refusal_error(failure::not_found, "use GET or DELETE for a program");
    }
    const std::string path = http_request.target.substr(0, http_request.target.find('?'));
    const program_name program{path.substr(std::string("/v1/programs/").size())};
    program_name root = program;
    wire::envelope_ptr reply;
    for (int hop = 0; hop < 2; ++hop) {
        wire::envelope request;
        request.mutable_program()->set_organisation(organisation->name.value);
        request.mutable_program()->set_program(program.value);
        request.mutable_program()->set_remove(http_request.method == "DELETE");
        const std::uint32_t group =
            ledger::shard_of(organisation->name, root, static_cast<std::uint32_t>(settings_.ledger_shards)) +
            1;
        try {
            reply = co_await group_client_->call(group, std::move(request), settings_.entry.queue_limit);
        }
        catch (const link_error& error) {
            throw refusal_error(failure::ledger_unavailable, error.what());
        }
        if (reply->program_is().found() || reply->program_is().parent().empty()) {
            break;
        }
        root = program_name{reply->program_is().parent()};
    }
    const wire::program_reply& body = reply->program_is();
    if (!body.found()) {
        throw refusal_error(failure::program_unknown,
                            "the organisation has no program \"" + program.value + "\"");
    }
    boost::json::object document{{"id", program.value}};
    if (http_request.method == "DELETE") {
        document["ended"] = true;
    }
    else {
        document["calls"] = body.calls();
        document["tokens"] = body.tokens();
        document["messages"] = body.messages();
        document["call_open"] = body.call_open();
        document["calls_waiting"] = body.waiting();
        document["parent"] = body.parent();
    }
    co_await out.send(http::make_response(200, "application/json", boost::json::serialize(document)));
}

void entry_process::add_metrics()
{
    metrics_.add({"guavawick_entry_requests_total", "Requests received from callers.", true,
                  [this] { return static_cast<double>(request_count_.load()); }, ""});
    metrics_.add({"guavawick_entry_refusals_total", "Requests refused before any call was started.", true,
                  [this] { return static_cast<double>(refusal_count_.load()); }, ""});
    metrics_.add({"guavawick_entry_rate_refusals_total",
                  "Requests refused because no rate token became available in time.", true,
                  [this] { return static_cast<double>(rate_limiter_->refusal_count()); }, ""});
    metrics_.add({"guavawick_entry_requests_running", "Requests that are being answered.", false,
                  [this] { return static_cast<double>(caller_server_->active_requests()); }, ""});
    metrics_.add({"guavawick_entry_configuration_revision", "Revision of the configuration in force.", false,
                  [this] { return static_cast<double>(tables_.poll_position().first); }, ""});
    metrics_.add({"guavawick_entry_configuration_age_seconds",
                  "Time since a quorum confirmed the configuration.", false,
                  [this] { return std::min(1e6, to_seconds(tables_.age(runtime_clock::now()))); }, ""});
    metrics_.add({"guavawick_entry_upstreams", "Upstreams that this entry sends calls to.", false,
                  [this] { return static_cast<double>(tables_.endpoints().size()); }, ""});
    metrics_.add({"guavawick_entry_link_reconnects_total",
                  "Connections that were reopened because they were silent.", true,
                  [this] { return static_cast<double>(link_->reconnect_count()); }, ""});
}

} // namespace guavawick::entry
