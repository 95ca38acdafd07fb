// Callers' requests: health, programs, chat completions, services.
#include "entry/entry_process.hpp"

#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "caller/problem.hpp"
#include "ledger/ledger_func.hpp"
#include "wire.pb.h"

#include <boost/json.hpp>

#include <thread>

namespace guavawick::entry {

namespace asio = boost::asio;

namespace {

constexpr std::size_t most_id_size = 128;
constexpr duration drain_poll = 20ms;
constexpr const char* open_organisation =
    "~open"; ///< owns the calls of open routes without a key; no real name has a '~'

http::server_limits make_limits(const entry_settings& own)
{
    http::server_limits limits;
    limits.max_body_bytes = own.max_body_bytes;
    limits.max_connections = own.max_connections;
    limits.idle_timeout = own.idle_limit;
    return limits;
}

std::string read_id(const http::request& received, const char* header)
{
    std::string id = received.header(header);
    constexpr const char* allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/";
    if (id.size() > most_id_size || id.find_first_not_of(allowed) != std::string::npos) {
        throw refusal_error(failure::bad_request,
                            std::string(header) +
                                ": expected at most 128 letters, digits, '-', '_', '.', ':' and '/'");
    }
    return id;
}

/// @return the organisation of the presented key, nullptr if none was presented.
const configuration::organisation* find_caller(const configuration::view& view, const http::request& received)
{
    const std::string prefix = "Bearer ";
    const std::string presented = received.header("authorization");
    if (presented.empty()) {
        return nullptr;
    }
    const configuration::organisation* found =
        presented.rfind(prefix, 0) == 0
            ? configuration::find_organisation_by_key(view, presented.substr(prefix.size()))
            : nullptr;
    if (found == nullptr) {
        throw refusal_error(failure::key_unknown, "the key is unknown or was withdrawn");
    }
    return found;
}

void choose_program(call_plan& plan, const http::request& received, bool has_key)
{
    plan.program = program_name{read_id(received, "guavawick-program")};
    plan.parent = program_name{read_id(received, "guavawick-parent")};
    const std::string resend_key = read_id(received, "idempotency-key");
    if (!has_key && (!plan.program.empty() || !resend_key.empty())) {
        throw refusal_error(failure::key_missing, "programs and resends need a key");
    }
    if (!plan.parent.empty() && plan.program.empty()) {
        throw refusal_error(failure::bad_request, "guavawick-parent: expected a guavawick-program beside it");
    }
    if (plan.parent == plan.program && !plan.parent.empty()) {
        throw refusal_error(failure::bad_request, "guavawick-parent: a program can't be its own parent");
    }
    plan.keep_answer = !resend_key.empty();
    plan.ledger_request = request_name{plan.keep_answer ? resend_key : to_hex(random_id())};
    if (!plan.program.empty()) {
        return;
    }
    // Calls without a program get one of their own; a resend finds it again by its key.
    plan.ephemeral = !plan.keep_answer;
    plan.program = program_name{plan.keep_answer ? "~key/" + resend_key : "~once/" + to_hex(random_id())};
}

configuration::route need_route(const configuration::view& view, configuration::service_kind kind,
                                const std::string& name, const configuration::organisation* who)
{
    const configuration::route* found = configuration::find_route(view, kind, name);
    if (found == nullptr) {
        throw refusal_error(failure::route_unknown, "no route serves \"" + name + "\"");
    }
    if (who == nullptr && !found->allow_anonymous) {
        throw refusal_error(failure::key_missing, "send a key as `Authorization: Bearer KEY`");
    }
    if (!configuration::is_authorised(*found, who)) {
        throw refusal_error(failure::route_forbidden, "the organisation may not use \"" + name + "\"");
    }
    return *found;
}

} // namespace

entry_process::entry_process(const settings& given, runtime::worker_pool& pool)
    : settings_(given), pool_(pool), self_(random_id()),
      tables_(data_centre_name{given.data_centre}, given.entry.configuration_lease, given.entry.subset_size,
              hash_bytes(given.entry.listen))
{
}

entry_process::~entry_process()
{
    stopped_.store(true);
}

void entry_process::start()
{
    const auto shards = static_cast<std::uint32_t>(settings_.ledger_shards);
    links_ = std::make_unique<wire::link>(pool_.executor(), settings_.links, self_);
    client_ = std::make_unique<wire::group_client>(*links_, settings_.replicas);
    rates_ = std::make_unique<rate_gate>(*client_, self_, shards);
    flows_ = std::make_unique<flow_context>(settings_.entry, tables_, *rates_, *links_, *client_, shards);
    flows_->retry_credit.store(most_retry_credit);
    if (!settings_.entry.link.empty()) {
        links_->listen(settings_.entry.link,
                       [this](const wire::peer_route& from, const wire::envelope_ptr& message) {
                           receive(from, message);
                       });
    }
    add_metrics();
    pool_.spawn(poll_loop());
    pool_.spawn(load_loop());
    for (std::uint32_t shard = 0; shard < shards; ++shard) {
        pool_.spawn(rates_->borrow_loop(shard, [this] { return running(); }));
        pool_.spawn(session_loop(shard));
    }
    callers_ = std::make_unique<http::server>(
        pool_.executor(), settings_.entry.listen, make_limits(settings_.entry),
        [this](http::request& received, http::responder& out) { return serve(received, out); });
}

void entry_process::stop()
{
    leaving_.store(true);
    // The balancer sees 503 and sends callers elsewhere; running calls are finished.
    constexpr duration balancer_notice = 500ms;
    std::this_thread::sleep_for(balancer_notice);
    callers_->drain();
    while (callers_->active_requests() != 0) {
        std::this_thread::sleep_for(drain_poll);
    }
    stopped_.store(true);
}

void entry_process::close()
{
    if (links_) {
        links_->close();
    }
}

bool entry_process::is_ready() const
{
    return !leaving_.load() && tables_.is_fresh(runtime_clock::now());
}

asio::awaitable<void> entry_process::serve(http::request& received, http::responder& out)
{
    std::string request_id = received.header("x-request-id");
    if (request_id.empty() || request_id.size() > most_id_size) {
        request_id = to_hex(random_id());
    }
    requests_.fetch_add(1);
    std::optional<refusal_error> refused;
    try {
        co_await answer(received, out, request_id);
    }
    catch (const refusal_error& fault) {
        refused = fault;
    }
    if (refused) {
        refusals_.fetch_add(1);
        log_event(event::call_refused, {{"request", request_id},
                                        {"failure", find_failure(refused->kind).name},
                                        {"detail", refused->what()}});
        co_await out.send(caller::make_problem(*refused, request_id));
    }
}

asio::awaitable<void> entry_process::answer(http::request& received, http::responder& out,
                                            const std::string& request_id)
{
    const std::string path = received.target.substr(0, received.target.find('?'));
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
        co_await serve_program(received, out);
        co_return;
    }
    call_plan plan = plan_call(received, request_id);
    co_await serve_call(*flows_, std::move(plan), out);
}

call_plan entry_process::plan_call(const http::request& received, const std::string& request_id) const
{
    const std::string path = received.target.substr(0, received.target.find('?'));
    const std::string services = "/v1/services/";
    const configuration::view_ptr view = tables_.view();
    call_plan plan;
    plan.request_id = request_id;
    plan.received_at = runtime_clock::now();
    const configuration::organisation* who = find_caller(*view, received);
    plan.organisation.name = organisation_name{open_organisation};
    if (who != nullptr) {
        plan.organisation = *who;
        plan.budget = configuration::find_budget(*view, *who);
    }
    if (path == "/v1/chat/completions") {
        if (received.method != "POST") {
            throw refusal_error(failure::not_found, "use POST for " + path);
        }
        plan.chat = caller::parse_chat_request(received.body);
        plan.stream = plan.chat.stream;
        plan.route = need_route(*view, configuration::service_kind::model, plan.chat.model, who);
    }
    else if (path.rfind(services, 0) == 0) {
        const std::string rest = received.target.substr(services.size());
        const std::size_t end = std::min(rest.find_first_of("/?"), rest.size());
        plan.route = need_route(*view, configuration::service_kind::service, rest.substr(0, end), who);
        plan.method = received.method;
        plan.path = end < rest.size() && rest[end] == '/' ? rest.substr(end) : "/" + rest.substr(end);
        plan.content_type = received.header("content-type");
        plan.service_body = received.body;
    }
    else {
        throw refusal_error(failure::not_found, "nothing is served at " + path);
    }
    choose_program(plan, received, who != nullptr);
    plan.body = body_hash{
        hash_bytes(plan.method + plan.path + "\n" + received.body, hash_bytes(plan.organisation.name.value))};
    return plan;
}

asio::awaitable<void> entry_process::serve_program(http::request& received, http::responder& out)
{
    const configuration::view_ptr view = tables_.view();
    const configuration::organisation* who = find_caller(*view, received);
    if (who == nullptr) {
        throw refusal_error(failure::key_missing, "send a key as `Authorization: Bearer KEY`");
    }
    if (received.method != "GET" && received.method != "DELETE") {
        throw refusal_error(failure::not_found, "use GET or DELETE for a program");
    }
    const std::string path = received.target.substr(0, received.target.find('?'));
    const program_name program{path.substr(std::string("/v1/programs/").size())};
    program_name root = program;
    wire::envelope_ptr reply;
    for (int hops = 0; hops < 2; ++hops) {
        wire::envelope question;
        question.mutable_program()->set_organisation(who->name.value);
        question.mutable_program()->set_program(program.value);
        question.mutable_program()->set_remove(received.method == "DELETE");
        const std::uint32_t shard =
            ledger::shard_of(who->name, root, static_cast<std::uint32_t>(settings_.ledger_shards)) + 1;
        try {
            reply = co_await client_->call(shard, std::move(question), settings_.entry.queue_limit);
        }
        catch (const link_error& fault) {
            throw refusal_error(failure::ledger_unavailable, fault.what());
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
    boost::json::object shown{{"id", program.value}};
    if (received.method == "DELETE") {
        shown["ended"] = true;
    }
    else {
        shown["calls"] = body.calls();
        shown["tokens"] = body.tokens();
        shown["messages"] = body.messages();
        shown["call_open"] = body.call_open();
        shown["calls_waiting"] = body.waiting();
        shown["parent"] = body.parent();
    }
    co_await out.send(http::make_response(200, "application/json", boost::json::serialize(shown)));
}

void entry_process::add_metrics()
{
    metrics_.add({"guavawick_entry_requests_total", "Requests of callers.", true,
                  [this] { return static_cast<double>(requests_.load()); }, ""});
    metrics_.add({"guavawick_entry_refusals_total", "Requests refused before anything was sent.", true,
                  [this] { return static_cast<double>(refusals_.load()); }, ""});
    metrics_.add({"guavawick_entry_rate_refusals_total",
                  "Requests that waited in vain for a token of their rate.", true,
                  [this] { return static_cast<double>(rates_->refused()); }, ""});
    metrics_.add({"guavawick_entry_requests_running", "Requests that are being answered.", false,
                  [this] { return static_cast<double>(callers_->active_requests()); }, ""});
    metrics_.add({"guavawick_entry_configuration_revision", "Revision of the configuration in force.", false,
                  [this] { return static_cast<double>(tables_.position().first); }, ""});
    metrics_.add({"guavawick_entry_configuration_age_seconds",
                  "Time since a quorum confirmed the configuration.", false,
                  [this] { return std::min(1e6, to_seconds(tables_.age(runtime_clock::now()))); }, ""});
    metrics_.add({"guavawick_entry_upstreams", "Upstreams that this entry talks to.", false,
                  [this] { return static_cast<double>(tables_.endpoints().size()); }, ""});
    metrics_.add({"guavawick_entry_link_reconnects_total", "Silent connections that were opened anew.", true,
                  [this] { return static_cast<double>(links_->reconnects()); }, ""});
}

} // namespace guavawick::entry
