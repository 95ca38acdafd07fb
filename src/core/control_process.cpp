// The control role of a fleet: the view pushed to gateways and the control group.
#include "core/control_process.hpp"

#include "base/compress_func.hpp"
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "core/group_metrics.hpp"
#include "http/request_guard.hpp"

#include <algorithm>

namespace guavawick::core {

namespace asio = boost::asio;

namespace {

constexpr std::uint64_t snapshot_entries = 400; ///< at most 40 MB of log, as a document may have 100 KB
constexpr duration subscriber_timeout = 3s;     ///< 6 times a gateway's subscription interval
constexpr duration store_retention =
    10s; ///< a store that has not reported for longer is dropped from the contacts
constexpr duration bootstrap_delay =
    1500ms; ///< for all stores to report: instances start within a fraction of a second

/// @return an operator's order for the log.
std::string describe_order(const wire::fleet_command& command)
{
    if (command.has_evacuation()) {
        return (command.evacuation().out() ? "evacuate " : "end the evacuation of ") +
               command.evacuation().data_centre();
    }
    if (command.has_start_rollout()) {
        return "roll out " + command.start_rollout().target() + " of " + command.start_rollout().service();
    }
    return command.has_retire() ? "retire " + command.retire().name() : "";
}

} // namespace

control_process::control_process(const fleet_settings& settings, runtime::worker_pool& pool)
    : settings_(settings), pool_(pool), disk_(replica::open_identity(settings.data_folder)),
      view_(std::make_shared<const fleet_state>()), seeds_(settings.seeds)
{
    if (disk_.blank) {
        log_event(event::disk_blank, {{"replica", settings_.node}, {"disk", to_hex(disk_.id.value)}});
    }
    links_ =
        std::make_unique<wire::link>(pool_.executor(), make_link_settings(), incarnation_id{random_id()});
    group_ =
        std::make_unique<replica::group>(control_group, make_replica_settings(settings, snapshot_entries),
                                         disk_.id, std::vector<replica_address>{}, *links_);
    group_->enable_managed_membership(
        consensus::make_membership_policy(settings_.tolerated_failures, settings_.data_centre_count),
        settings_.data_centre, settings_.hosts_replica);
    group_->expect_membership();
    group_->await_confirmation();
    client_ = std::make_unique<wire::group_client>(*links_, std::vector<replica_address>{});
}

control_process::~control_process()
{
    group_->stop(); // after a failed start the group's thread may run, and uses the members below
}

void control_process::start(http::handler operator_handler)
{
    replica::state_machine machine;
    machine.apply = [this](const std::string& command) { return apply(command); };
    machine.save = [this] { return encode_state(state_); };
    machine.restore = [this](const std::string& bytes) {
        state_ = decode_fleet_state(bytes);
        publish_view();
    };
    machine.leadership_changed = [](bool) {};
    machine.tick = [this](time_point now) { tick(now); };
    set_seeds(settings_.seeds);
    if (settings_.bootstrap) {
        group_->set_contacts(settings_.seeds);
        group_->bootstrap_with_contacts();
    }
    // Before the group starts: a replica that can't be reached must not join the group.
    links_->listen(link_listen_address(settings_),
                   [this](const wire::reply_target& from, const wire::envelope_ptr& message) {
                       receive(from, message);
                   });
    group_->start(std::move(machine));
    const auto memory = std::make_shared<http::memory_budget>(make_byte_limits(settings_));
    http::server_limits operator_limits;
    operator_limits.guard = std::make_shared<http::request_guard>(memory, make_connection_limits(settings_));
    http::log_limits(*operator_limits.guard);
    if (!settings_.operator_listen.empty()) {
        operator_server_ = std::make_unique<http::server>(pool_.executor(), settings_.operator_listen,
                                                          operator_limits, std::move(operator_handler));
    }
    if (!settings_.metrics_listen.empty()) {
        http::server_limits metrics_limits;
        metrics_limits.guard = std::make_shared<http::request_guard>(
            memory, http::derive_reserved_limits(settings_.max_descriptors));
        http::add_guard_metrics(metrics_, operator_limits.guard);
        add_group_metrics(metrics_, *group_);
        add_link_metrics(metrics_, *links_);
        metrics_.add({"guavawick_control_plan_version", "Version of the last applied plan.", false,
                      [this] { return static_cast<double>(view_.load()->document_version); }, ""});
        metrics_.add({"guavawick_control_evacuated_data_centres", "Data centres that get no new calls.",
                      false, [this] { return static_cast<double>(evacuated_data_centres().size()); }, ""});
        add_view_metrics();
        add_rollout_metrics();
        metrics_server_ = std::make_unique<http::server>(
            pool_.executor(), settings_.metrics_listen, metrics_limits, http::make_metrics_handler(metrics_));
    }
    pool_.spawn(batch_loop());
    pool_.spawn(watch_stalls());
}

void control_process::set_seeds(const std::vector<std::string>& seeds)
{
    std::vector<replica_address> replicas;
    replicas.reserve(seeds.size());
    for (const std::string& seed : seeds) {
        replicas.push_back({seed, seed});
    }
    const std::lock_guard lock(mutex_);
    seeds_ = seeds;
    if (member_endpoints_.empty()) {
        client_->set_replicas(std::move(replicas));
    }
}

void control_process::stop()
{
    if (operator_server_) {
        operator_server_->drain_within(http::operator_drain_limit); // running requests need the group
    }
    running_.store(false);
    group_->stop();
}

void control_process::close()
{
    links_->close();
}

std::vector<std::string> control_process::peers() const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> endpoints;
    for (const auto* list : {&member_endpoints_, &seeds_}) {
        for (const std::string& endpoint : *list) {
            if (endpoint != settings_.link &&
                std::find(endpoints.begin(), endpoints.end(), endpoint) == endpoints.end()) {
                endpoints.push_back(endpoint);
            }
        }
    }
    return endpoints;
}

void control_process::receive(const wire::reply_target& from, const wire::envelope_ptr& message)
{
    if (group_->has_failed() || dispatch_to_group(*group_, *message)) {
        return; // what a failed replica knows is out of date
    }
    if (message->has_subscribe()) {
        handle_subscription(message->subscribe());
        return;
    }
    if (message->has_directory()) {
        handle_directory_update(message->directory());
        return;
    }
    if (message->has_rollout_report()) {
        handle_rollout_report(message->rollout_report());
        return;
    }
    if (message->has_directory_confirmed()) {
        const std::lock_guard lock(mutex_);
        pending_confirms_.erase(message->directory_confirmed().number());
        return;
    }
    group_->post([this, from, message] {
        handle_request(message,
                       [this, from](wire::envelope reply) { links_->reply(from, std::move(reply)); });
    });
}

void control_process::handle_request(const wire::envelope_ptr& request, const reply_function& send_reply)
{
    if (!group_->leads()) {
        send_reply(make_redirect(*group_));
        return;
    }
    const time_point now = runtime_clock::now();
    if (request->has_fleet()) {
        if (request->fleet().has_retire()) {
            const wire::envelope retirement = make_retirement_reply(request->fleet().retire().name(), now);
            const bool may_start = retirement.retired().known() && retirement.retired().possible();
            if (!may_start) {
                send_reply(retirement);
                return;
            }
        }
        group_->propose(request->fleet().SerializeAsString(),
                        [this, send_reply](const wire::envelope* result) {
                            send_reply(result == nullptr ? make_redirect(*group_) : *result);
                        });
        return;
    }
    if (!group_->has_read_lease()) {
        send_reply(make_redirect(*group_));
        return;
    }
    if (request->has_read()) {
        wire::envelope reply;
        reply.mutable_document()->set_version(state_.document_version);
        reply.mutable_document()->set_order_count(state_.order_count);
        if (!request->read().order_count_only()) {
            reply.mutable_document()->set_document(state_.document);
        }
        send_reply(std::move(reply));
        return;
    }
    if (request->has_retire()) {
        send_reply(make_retirement_reply(request->retire().name(), now));
    }
    if (request->has_rollout()) {
        send_reply(make_rollout_reply(request->rollout().service()));
    }
}

wire::envelope control_process::apply(const std::string& bytes)
{
    wire::envelope reply;
    reply.mutable_done();
    wire::fleet_command command;
    if (!command.ParseFromString(bytes)) {
        log_event(event::link_refused_peer, {{"reason", "a committed command does not decode"}});
        return reply;
    }
    if (is_superseded(state_, command)) {
        log_event(event::order_superseded, {{"order", describe_order(command)},
                                            {"based_on", command.expected_order_count()},
                                            {"orders", state_.order_count}});
        reply.mutable_refused()->set_failure(static_cast<std::uint32_t>(failure::revision_conflict));
        return reply;
    }
    const std::uint64_t previous_version = state_.document_version;
    const bool changed = execute(state_, command);
    report_rollout_command(command, changed, reply);
    if (!changed) {
        return reply;
    }
    if (state_.document_version != previous_version) {
        log_event(event::configuration_published, {{"version", state_.document_version},
                                                   {"before", previous_version},
                                                   {"bytes", state_.document.size()}});
    }
    if (command.has_evacuation()) {
        log_event(event::data_centre_changed, {{"data_centre", command.evacuation().data_centre()},
                                               {"out", command.evacuation().out() ? "yes" : "no"},
                                               {"revision", state_.revision}});
    }
    if (command.has_found()) {
        log_event(event::ledger_founded, {{"groups", std::uint64_t{state_.initial_members.size()}}});
    }
    if (command.has_retire()) {
        log_event(event::store_retiring, {{"store", command.retire().name()}});
    }
    publish_view();
    if (!push_pending_) {
        // Runs after the whole batch, because a new leader's first batch may hold hours of history.
        push_pending_ = true;
        group_->post([this, previous_version] { push_view_to_all(previous_version); });
    }
    return reply;
}

void control_process::update_hello(time_point now)
{
    auto prepared = std::make_shared<prepared_hello>();
    prepared->full = make_full_hello(now);
    wire::control_hello* hello = prepared->full.mutable_hello();
    const std::uint64_t digest = hash_bytes(hello->SerializeAsString());
    hello->set_sender(settings_.link);
    hello->set_digest(digest);
    const std::uint64_t revision = view_.load()->revision;
    hello->set_revision(revision);
    prepared->unchanged.mutable_hello()->set_revision(revision);
    prepared->unchanged.mutable_hello()->set_unchanged(true);
    prepared->unchanged.mutable_hello()->set_sender(settings_.link);
    prepared->unchanged.mutable_hello()->set_digest(digest);
    hello_.store(std::move(prepared));
}

wire::envelope control_process::make_full_hello(time_point now)
{
    const fleet_view view = view_.load();
    wire::envelope message;
    wire::control_hello* hello = message.mutable_hello();
    const std::lock_guard lock(mutex_);
    hello->set_entries(static_cast<std::uint32_t>(subscribers_.size()));
    for (const std::string& endpoint : member_endpoints_) {
        hello->add_control(endpoint);
    }
    for (const auto& [endpoint, store] : stores_) {
        if (now - store.last_report_at < store_retention) {
            wire::peer_address* address = hello->add_stores();
            address->set_name(store.name);
            address->set_endpoint(store.endpoint);
            address->set_data_centre(store.data_centre);
        }
    }
    to_wire(view->initial_members, hello->mutable_ledgers());
    for (const auto& [name, endpoint] : view->retiring_stores) {
        hello->add_retiring(name);
    }
    return message;
}

void control_process::tick(time_point now)
{
    std::vector<std::string> members;
    for (const replica::member_report& member : group_->report().members) {
        members.push_back(member.info.endpoint);
    }
    std::vector<std::string> contacts = members;
    std::vector<replica_address> replicas;
    {
        const std::lock_guard lock(mutex_);
        member_endpoints_ = members;
        for (const std::string& seed : seeds_) {
            if (std::find(contacts.begin(), contacts.end(), seed) == contacts.end()) {
                contacts.push_back(seed);
            }
        }
        std::erase_if(subscribers_, [now](const auto& subscriber) {
            return now - subscriber.second.last_subscription > subscriber_timeout;
        });
        std::erase_if(stores_, [now](const auto& store) {
            return now - store.second.last_report_at > store_retention;
        });
        directory::remove_expired(instances_, now);
        directory::remove_expired(crashes_, now);
        directory::remove_obsolete(leaving_, instances_);
    }
    replicas.reserve(contacts.size());
    for (const std::string& endpoint : contacts) {
        replicas.push_back({endpoint, endpoint});
    }
    client_->set_replicas(std::move(replicas));
    update_hello(now);
    // During the bootstrap the contacts are the initial members, so none may be added.
    if (!group_->is_blank() || !settings_.bootstrap) {
        group_->set_contacts(contacts);
    }
    bootstrap_ledger_groups(now);
    decide_rollouts(now);
}

void control_process::bootstrap_ledger_groups(time_point now)
{
    if (!group_->leads() || !state_.initial_members.empty()) {
        return;
    }
    initial_member_lists initial_members;
    {
        const std::lock_guard lock(mutex_);
        if (stores_.empty()) {
            return;
        }
        if (bootstrap_wait_since_ == time_point{}) {
            bootstrap_wait_since_ = now;
        }
        if (now - bootstrap_wait_since_ < bootstrap_delay) {
            return;
        }
        initial_members = choose_initial_members(stores_, choose_ledger_group_count(stores_.size()),
                                                 2 * settings_.tolerated_failures + 1);
    }
    if (initial_members.empty()) {
        return;
    }
    wire::fleet_command command;
    to_wire(initial_members, command.mutable_found()->mutable_ledgers());
    bootstrap_wait_since_ = now;
    group_->propose(command.SerializeAsString(), [](const wire::envelope*) {});
}

} // namespace guavawick::core
