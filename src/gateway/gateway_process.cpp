// The gateway process: messages from control, readiness and planned stop.
#include "gateway/gateway_process.hpp"

#include "base/compress_func.hpp"
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "core/control_process.hpp"
#include "gateway/call_run.hpp"
#include "wire.pb.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <future>

namespace guavawick::gateway {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

using namespace std::chrono_literals;

constexpr duration plan_log_delay = 2500ms;    ///< a new leader of control is elected within 2 s
constexpr duration plan_log_interval = 5s;     ///< between two lines of a gateway that has no plan
constexpr duration subscribe_interval = 500ms; ///< a quarter of the time in which a plan must be in force
constexpr duration control_timeout = 2s;       ///< four subscriptions
constexpr duration balancer_detection_time =
    3s;                                     ///< the load balancer checks every second and needs two failures
constexpr duration stop_margin = 700ms;     ///< time left before the platform kills the process
constexpr duration response_margin = 300ms; ///< for a response at a call's deadline to be sent
constexpr std::uint32_t initial_full_rounds = 4; ///< rounds that ask every replica for its complete directory
constexpr std::uint32_t directory_refresh_rounds =
    10; ///< then one replica in turn is asked for it, every 5 s
constexpr std::size_t max_control_endpoints = 16;

tcp::endpoint parse_endpoint(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

} // namespace

gateway_process::gateway_process(const core::fleet_settings& settings, const platform_adapter& adapter,
                                 runtime::worker_pool& pool)
    : pool_(pool), incarnation_{random_id()}, state_(std::make_shared<gateway_state>()),
      callers_(std::make_shared<caller_server>())
{
    state_->settings = settings;
    state_->adapter = adapter;
    state_->control_endpoints = settings.seeds;
    link_ = std::make_unique<wire::link>(pool_.executor(), core::make_link_settings(), incarnation_);
    ledger_client_ = std::make_unique<wire::group_client>(*link_, std::vector<replica_address>{});
    control_client_ = std::make_unique<wire::group_client>(*link_, std::vector<replica_address>{});
    update_control_replicas();
    control_host_ = std::make_unique<control_host>(settings, pool_);
}

gateway_process::~gateway_process() = default;

void gateway_process::start()
{
    link_->listen(core::link_listen_address(state_->settings),
                  [this](const wire::reply_target& from, const wire::envelope_ptr& message) {
                      handle_message(message);
                  });
    const core::fleet_settings& settings = state_->settings;
    const auto memory = std::make_shared<http::memory_budget>(core::make_byte_limits(settings));
    callers_->guard = std::make_shared<http::request_guard>(memory, core::make_connection_limits(settings));
    http::log_limits(*callers_->guard);
    http::server_limits reserved_limits;
    const http::connection_limits reserved_connections =
        http::derive_reserved_limits(settings.max_descriptors);
    reserved_limits.guard = std::make_shared<http::request_guard>(memory, reserved_connections);
    http::server_limits metrics_limits;
    metrics_limits.guard = std::make_shared<http::request_guard>(memory, reserved_connections);
    callers_->handle = make_call_handler({state_, ledger_client_.get(), link_.get()});
    const tcp::endpoint endpoint = parse_endpoint(state_->settings.caller_listen);
    acceptor_ = std::make_shared<tcp::acceptor>(pool_.executor());
    try {
        acceptor_->open(endpoint.protocol());
        acceptor_->set_option(tcp::acceptor::reuse_address(true));
        acceptor_->bind(endpoint);
        http::limit_socket_buffers(*acceptor_);
        acceptor_->listen();
    }
    catch (const boost::system::system_error& error) {
        throw link_error(state_->settings.caller_listen + ": can't listen: " + error.what());
    }
    control_host_->start();
    pool_.spawn(accept_callers(acceptor_, callers_));
    pool_.spawn(subscribe_loop());
    readiness_server_ =
        std::make_unique<http::server>(pool_.executor(), state_->settings.readiness_listen, reserved_limits,
                                       [this](http::request& request, http::responder& out) {
                                           return handle_readiness_check(request, out);
                                       });
    if (state_->settings.features.rollouts) {
        pool_.spawn(report_rollouts_loop());
    }
    add_metrics();
    if (!state_->settings.metrics_listen.empty()) {
        metrics_server_ =
            std::make_unique<http::server>(pool_.executor(), state_->settings.metrics_listen, metrics_limits,
                                           http::make_metrics_handler(metrics_));
    }
}

void gateway_process::set_seeds(const std::vector<std::string>& seeds)
{
    control_host_->set_seeds(seeds);
    asio::post(pool_.executor(), [this, seeds] {
        for (const std::string& endpoint : seeds) {
            if (std::find(state_->control_endpoints.begin(), state_->control_endpoints.end(), endpoint) ==
                state_->control_endpoints.end()) {
                state_->control_endpoints.push_back(endpoint);
            }
        }
    });
}

void gateway_process::update_control_replicas()
{
    std::vector<replica_address> replicas;
    replicas.reserve(state_->control_endpoints.size());
    for (const std::string& endpoint : state_->control_endpoints) {
        replicas.push_back({endpoint, endpoint});
    }
    control_client_->set_replicas(std::move(replicas));
}

bool gateway_process::is_ready() const
{
    return state_->plan != nullptr && state_->ledger_group_count > 0 &&
           !state_->instances.instances.empty() && !state_->draining;
}

asio::awaitable<void> gateway_process::handle_readiness_check(http::request& request, http::responder& out)
{
    const bool path_matches = request.target == state_->adapter.readiness_path;
    http::response response = http::make_response(!path_matches ? 404
                                                  : is_ready()  ? 200
                                                                : 503,
                                                  "text/plain", "");
    co_await out.send(std::move(response));
}

void gateway_process::stop()
{
    const time_point stop_started_at = runtime_clock::now();
    const time_point deadline = stop_started_at + state_->settings.stop_grace - stop_margin;
    const time_point responses_due_at = deadline - response_margin;
    asio::post(pool_.executor(), [this, responses_due_at] {
        state_->draining = true;
        state_->stop_ends_at = responses_due_at;
        callers_->draining = true;
    });
    // New connections arrive, and are served, until the load balancer has detected the failed health checks.
    bool acceptor_closed = false;
    while (runtime_clock::now() < deadline) {
        std::promise<std::size_t> open_connections;
        const bool close_acceptor =
            !acceptor_closed && runtime_clock::now() - stop_started_at > balancer_detection_time;
        asio::post(pool_.executor(), [this, close_acceptor, responses_due_at, &open_connections] {
            if (close_acceptor) {
                boost::system::error_code ignored;
                acceptor_->close(ignored);
                close_idle_connections(*callers_);
            }
            if (runtime_clock::now() >= responses_due_at) {
                end_running_calls(*state_);
            }
            open_connections.set_value(callers_->open);
        });
        const std::size_t remaining = open_connections.get_future().get();
        if (remaining == 0) {
            break;
        }
        acceptor_closed = acceptor_closed || close_acceptor;
        if (close_acceptor) {
            control_host_->stop(); // while there is time to hand over its leadership
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    std::promise<void> recorded;
    asio::post(pool_.executor(), [this, &recorded] {
        record_stopped_calls(*state_);
        recorded.set_value();
    });
    recorded.get_future().wait();
    control_host_->stop();
    running_.store(false);
    if (readiness_server_) { // null if the start failed
        readiness_server_->drain();
    }
}

void gateway_process::close()
{
    link_->close();
    control_host_->close();
}

void gateway_process::handle_message(const wire::envelope_ptr& message)
{
    asio::post(pool_.executor(), [this, message] {
        if (message->has_view()) {
            receive_view(message->view());
        }
        else if (message->has_directory()) {
            handle_directory_update(message->directory());
        }
        else if (message->has_hello()) {
            handle_hello(message->hello());
        }
        else if (message->has_rollout_lease()) {
            receive_lease(*state_, message->rollout_lease(), incarnation_, runtime_clock::now());
        }
    });
}

void gateway_process::handle_view(const wire::control_view& view)
{
    const time_point now = runtime_clock::now();
    record_reply(state_->control_dependency, now);
    if (view.confirmed()) {
        state_->plan_confirmed_at = now;
    }
    if (view.revision() <= state_->revision) {
        return;
    }
    // A replica that has restored a snapshot, or that is partitioned, may send a view from long ago. A
    // gateway with a plan rejects outdated views by their revision.
    if (!state_->plan && !view.confirmed()) {
        ++unconfirmed_view_count_;
        return;
    }
    const std::uint64_t current_version = state_->plan ? state_->plan->plan.version.value : 0;
    if (view.version() > current_version && !view.has_document()) {
        state_->counters.incomplete_views.fetch_add(1);
        log_event(event::view_incomplete, {{"version", view.version()},
                                           {"has_version", current_version},
                                           {"revision", view.revision()},
                                           {"source", view.sender()}});
        return; // the document follows in reply to the next subscription
    }
    if (view.has_document() && view.version() > current_version) {
        try {
            state_->plan = std::make_shared<const plan::indexed_plan>(
                plan::index_plan(state_->adapter.decode_plan(decompress(view.document()))));
        }
        catch (const decode_error& error) {
            log_event(event::configuration_refused, {{"version", view.version()}, {"reason", error.what()}});
            return;
        }
        callers_->limits = state_->plan->plan.limits;
        state_->counters.plan_version.store(view.version());
    }
    state_->revision = view.revision();
    set_rollouts(*state_, view, now);
    const std::set<std::string> previously_evacuated = state_->evacuated_data_centres;
    state_->evacuated_data_centres = {view.evacuated().begin(), view.evacuated().end()};
    for (const std::string& data_centre : previously_evacuated) {
        if (!state_->evacuated_data_centres.contains(data_centre)) {
            state_->evacuation_ended_at[data_centre] = now;
        }
    }
    record_plan_delay(view);
    log_event(event::configuration_in_force,
              {{"revision", view.revision()},
               {"version", view.version()},
               {"before", current_version},
               {"source", view.sender()},
               {"confirmed", view.confirmed() ? "yes" : "no"},
               {"published_ms_ago", std::uint64_t{view.age_ms()}},
               {"ms_since_start", std::uint64_t(to_ms(runtime_clock::now() - started_at_))},
               {"evacuated", std::uint64_t{state_->evacuated_data_centres.size()}}});
}

void gateway_process::handle_directory_update(const wire::directory_update& update)
{
    const time_point now = runtime_clock::now();
    for (const wire::instance_record& record : update.instances()) {
        const directory::instance_id id{record.id()};
        const auto known = state_->instances.instances.find(id);
        if (record.routine()) {
            if (known != state_->instances.instances.end() &&
                known->second.started_ms == record.started_ms() &&
                known->second.sequence < record.sequence()) {
                known->second.sequence = record.sequence();
                known->second.last_seen_at = now;
            }
            continue;
        }
        const directory::instance_record announced = core::from_wire(record, now);
        if (std::string fault = directory::describe_fault(announced); !fault.empty()) {
            log_event(event::instance_ignored, {{"instance", record.id()}, {"reason", fault}});
            continue;
        }
        const bool changed =
            announced.state == directory::instance_state::gone
                ? directory::mark_gone(state_->instances, id, announced.started_ms, now)
                : directory::merge(state_->instances, announced, now) == directory::merge_result::changed;
        if (!changed) {
            continue;
        }
        const directory::instance_record& merged = state_->instances.instances.at(id);
        state_->connections.evict_instance(record.id());
        log_event(event::instance_changed, {{"instance", record.id()},
                                            {"state", std::uint64_t(merged.state)},
                                            {"address", merged.address},
                                            {"started_ms", merged.started_ms},
                                            {"sequence", merged.sequence}});
    }
    for (const wire::crash_record& record : update.crashes()) {
        directory::record_crash(state_->crashes, core::from_wire(record, now));
    }
    for (const wire::leaving_record& record : update.leaving()) {
        directory::mark_leaving(state_->leaving, directory::instance_id{record.id()}, record.started_ms());
    }
    for (const std::uint64_t request_hash : update.completed_requests()) {
        directory::clear_suspect(state_->crashes, request_hash);
    }
    state_->counters.instances.store(state_->instances.instances.size());
}

void gateway_process::handle_hello(const wire::control_hello& hello)
{
    const time_point now = runtime_clock::now();
    record_reply(state_->control_dependency, now);
    record_report(control_roster_, hello, now);
    record_reported_revision(hello, now);
    if (hello.unchanged()) {
        return;
    }
    hello_digests_[hello.sender()] = hello.digest();
    for (const std::string& endpoint : hello.control()) {
        if (std::find(state_->control_endpoints.begin(), state_->control_endpoints.end(), endpoint) ==
            state_->control_endpoints.end()) {
            state_->control_endpoints.push_back(endpoint);
            if (state_->control_endpoints.size() > max_control_endpoints) {
                hello_digests_.erase(state_->control_endpoints.front());
                reported_stores_.erase(state_->control_endpoints.front());
                reported_revisions_.erase(state_->control_endpoints.front());
                control_roster_.reports.erase(state_->control_endpoints.front());
                state_->control_endpoints.erase(state_->control_endpoints.begin());
            }
        }
    }
    update_control_replicas();
    if (hello.stores_size() > 0 && hello.ledgers_size() > 0) {
        std::map<std::string, std::string>& stores = reported_stores_[hello.sender()];
        stores.clear();
        for (const wire::peer_address& store : hello.stores()) {
            stores[store.endpoint()] = store.name();
        }
        if (state_->ledger_group_count == 0) {
            start_rate_limiter(static_cast<std::size_t>(hello.ledgers_size()));
        }
        update_ledger_replicas();
    }
    state_->gateway_count = std::max<std::size_t>(hello.entries(), 1);
}

void gateway_process::update_ledger_replicas()
{
    // Each control replica may know only some stores, when it has just started or is partitioned.
    std::map<std::string, std::string> names;
    for (const auto& [sender, reported] : reported_stores_) {
        names.insert(reported.begin(), reported.end());
    }
    std::vector<replica_address> stores;
    stores.reserve(names.size());
    for (const auto& [endpoint, name] : names) {
        stores.push_back({name, endpoint});
    }
    ledger_client_->set_replicas(std::move(stores));
}

void gateway_process::start_rate_limiter(std::size_t group_count)
{
    rate_limiter_ = std::make_unique<entry::rate_limiter>(
        *ledger_client_, incarnation_, static_cast<std::uint32_t>(group_count), core::first_ledger_group);
    pool_.spawn(rate_limiter_->borrow_loop([this] { return running_.load(); }));
    state_->rate_limiter = rate_limiter_.get();
    state_->ledger_group_count = group_count;
}

void gateway_process::subscribe(directory_request request)
{
    // Only a leader that holds a lease may send a view to a gateway without a plan, so each replica is asked.
    wire::envelope envelope = make_subscription(!state_->plan);
    wire::subscribe_request* message = envelope.mutable_subscribe();
    for (std::size_t i = 0; i < state_->control_endpoints.size(); ++i) {
        const std::string& endpoint = state_->control_endpoints[i];
        const auto digest = hello_digests_.find(endpoint);
        message->set_hello_digest(digest == hello_digests_.end() ? 0 : digest->second);
        message->set_whole_directory(
            request == directory_request::from_all ||
            (request == directory_request::from_one && i == next_directory_replica_));
        link_->send(endpoint, envelope);
    }
    if (request == directory_request::from_one) {
        next_directory_replica_ =
            (next_directory_replica_ + 1) % std::max<std::size_t>(state_->control_endpoints.size(), 1);
    }
}

void gateway_process::report_missing_plan(time_point now)
{
    if (state_->plan || now < std::max(missing_plan_due_at_, started_at_ + plan_log_delay)) {
        return;
    }
    missing_plan_due_at_ = now + plan_log_interval;
    log_event(event::configuration_awaited,
              {{"ms_since_start", std::uint64_t(to_ms(now - started_at_))},
               {"unconfirmed_views", unconfirmed_view_count_},
               {"control_replicas", std::uint64_t{state_->control_endpoints.size()}},
               {"answering", std::uint64_t{hello_digests_.size()}}});
}

asio::awaitable<void> gateway_process::subscribe_loop()
{
    for (std::uint32_t round = 0; running_.load(); ++round) {
        // Runs on the pool's only thread, like all accesses to the state.
        subscribe(round < initial_full_rounds             ? directory_request::from_all
                  : round % directory_refresh_rounds == 0 ? directory_request::from_one
                                                          : directory_request::none);
        const time_point now = runtime_clock::now();
        directory::remove_expired(state_->crashes, now);
        directory::remove_obsolete(state_->leaving, state_->instances);
        if (now - std::max(state_->control_dependency.last_reply_at, started_at_) > control_timeout) {
            record_outage(state_->control_dependency, "no control replica answers the subscriptions", now);
        }
        report_missing_plan(now);
        state_->connections.evict_idle(now);
        if (!state_->draining) {
            control_host_->consider(list_members(control_roster_, now), now);
        }
        co_await runtime::wait_for(subscribe_interval);
    }
}

asio::awaitable<void> gateway_process::report_rollouts_loop()
{
    while (running_.load()) {
        if (const auto report = make_rollout_report(*state_, incarnation_, runtime_clock::now())) {
            for (const std::string& endpoint : state_->control_endpoints) {
                link_->send(endpoint, *report);
            }
        }
        co_await runtime::wait_for(rollout_report_interval);
    }
}

} // namespace guavawick::gateway
