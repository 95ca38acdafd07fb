// The control group's state machine and its requests.
#include "replica/control_service.hpp"

#include "base/event_type.hpp"
#include "base/hash_func.hpp"
#include "configuration/configuration_codec.hpp"
#include "configuration/directory_codec.hpp"
#include "replica/consensus_codec.hpp"
#include "replica/redirect_func.hpp"
#include "wire.pb.h"

namespace guavawick::replica {
namespace {

constexpr duration upstream_timeout = 4s;   ///< time without an announcement until an upstream is removed
constexpr duration process_retention = 30s; ///< time without a poll until a process is no longer listed
constexpr duration max_poll_wait = 2s;

} // namespace

control_service::control_service(group& consensus_group, std::string replica_name)
    : group_(consensus_group), replica_name_(std::move(replica_name))
{
    update_shared_tables();
}

void control_service::start()
{
    state_machine machine;
    machine.apply = [this](const std::string& command) { return apply(command); };
    machine.save = [this] { return save(); };
    machine.restore = [this](const std::string& bytes) { restore(bytes); };
    machine.leadership_changed = [this](bool leads) { handle_leadership_change(leads); };
    machine.tick = [this](time_point now) { tick(now); };
    group_.start(std::move(machine));
}

void control_service::handle_request(wire::envelope_ptr request, reply_function send_reply)
{
    group_.post([this, request = std::move(request), send_reply = std::move(send_reply)] {
        process_request(request, send_reply);
    });
}

void control_service::process_request(const wire::envelope_ptr& request, const reply_function& send_reply)
{
    const bool local = request->has_status();
    if (!local && !group_.has_read_lease()) {
        send_reply(make_redirect(group_));
        return;
    }
    switch (request->body_case()) {
    case wire::envelope::kApply:
    case wire::envelope::kLoss:
    case wire::envelope::kClear:
    case wire::envelope::kLift:
        propose(request, send_reply);
        return;
    case wire::envelope::kAnnounce:
        handle_announcement(request, send_reply);
        return;
    case wire::envelope::kPoll:
        handle_poll(request, send_reply);
        return;
    case wire::envelope::kAudit:
        send_reply(make_audit_reply(*request));
        return;
    case wire::envelope::kGet:
        send_reply(make_configuration_reply());
        return;
    case wire::envelope::kStatus:
        send_reply(make_status_reply(runtime_clock::now()));
        return;
    default:
        break;
    }
    wire::envelope refused;
    refused.mutable_refused()->set_failure(static_cast<std::uint32_t>(failure::bad_request));
    send_reply(std::move(refused));
}

std::chrono::milliseconds control_service::group_time() const
{
    return group_time_base_ + std::chrono::milliseconds(to_ms(runtime_clock::now() - leader_since_));
}

void control_service::handle_leadership_change(bool leads)
{
    leader_since_ = runtime_clock::now();
    group_time_base_ = directory_.now;
    last_announced_at_.clear();
    processes_.clear();
    if (!leads) {
        for (const pending_poll& pending : pending_polls_) {
            pending.send_reply(make_redirect(group_));
        }
        pending_polls_.clear();
        return;
    }
    for (const auto& [name, record] : directory_.upstreams) {
        last_announced_at_[name] = leader_since_;
    }
}

void control_service::propose(const wire::envelope_ptr& request, reply_function send_reply)
{
    wire::control_command command;
    command.set_group_time_ms(group_time().count());
    command.set_unix_ms(runtime_clock::unix_ms());
    if (request->has_apply()) {
        *command.mutable_apply() = request->apply();
        if (request->apply().dry_run()) {
            wire::envelope reply;
            to_wire(
                configuration::check_publication(configuration_, configuration::from_wire(request->apply())),
                reply.mutable_applied());
            send_reply(std::move(reply));
            return;
        }
    }
    if (request->has_loss()) {
        *command.mutable_loss() = request->loss();
    }
    if (request->has_clear()) {
        *command.mutable_clear() = request->clear();
    }
    if (request->has_lift()) {
        *command.mutable_lift() = request->lift();
    }
    if (request->has_announce()) {
        *command.mutable_announce() = request->announce().upstream();
    }
    group_.propose(command.SerializeAsString(),
                   [this, send_reply = std::move(send_reply)](const wire::envelope* reply) {
                       send_reply(reply == nullptr ? make_redirect(group_) : *reply);
                   });
}

void control_service::handle_announcement(const wire::envelope_ptr& request, const reply_function& send_reply)
{
    const configuration::upstream_record record = configuration::from_wire(request->announce().upstream());
    last_announced_at_[record.name] = runtime_clock::now();
    const auto found = directory_.upstreams.find(record.name);
    if (found != directory_.upstreams.end() && found->second.equals_ignoring_version(record)) {
        wire::envelope reply;
        reply.mutable_announced()->set_term(group_.report().term);
        send_reply(std::move(reply));
        return;
    }
    propose(request, send_reply);
}

wire::envelope control_service::apply(const std::string& command)
{
    wire::control_command decoded;
    wire::envelope reply;
    reply.mutable_done();
    if (!decoded.ParseFromString(command)) {
        return reply;
    }
    directory_.now = std::max(directory_.now, std::chrono::milliseconds(decoded.group_time_ms()));
    switch (decoded.body_case()) {
    case wire::control_command::kApply: {
        configuration::publish_request request = configuration::from_wire(decoded.apply());
        request.unix_ms = decoded.unix_ms();
        const configuration::publish_result result = configuration::publish(configuration_, request);
        to_wire(result, reply.mutable_applied());
        const bool accepted = result.error == failure::none;
        log_event(accepted ? event::configuration_published : event::configuration_refused,
                  {{"revision", result.revision},
                   {"operator", request.operator_name},
                   {"failure", find_failure(result.error).name}});
        break;
    }
    case wire::control_command::kAnnounce: {
        configuration::upstream_record record = configuration::from_wire(decoded.announce());
        const event announcement_event = record.removed   ? event::upstream_lost
                                         : record.leaving ? event::upstream_leaving
                                                          : event::upstream_announced;
        if (configuration::announce(directory_, record)) {
            log_event(announcement_event,
                      {{"upstream", record.name.value}, {"incarnation", to_hex(record.incarnation.value)}});
        }
        reply.mutable_announced()->set_term(group_.report().term);
        break;
    }
    case wire::control_command::kLoss: {
        std::vector<body_hash> running_bodies;
        for (const std::uint64_t hash : decoded.loss().body_hashes()) {
            running_bodies.emplace_back(hash);
        }
        const auto quarantined =
            configuration::record_loss(directory_, upstream_name{decoded.loss().upstream()},
                                       incarnation_id{decoded.loss().incarnation()}, running_bodies);
        for (const body_hash body : quarantined) {
            log_event(event::request_quarantined, {{"body_hash", to_hex(body.value)}});
        }
        break;
    }
    case wire::control_command::kClear:
        configuration::clear_suspicion(directory_, body_hash{decoded.clear().body_hash()});
        break;
    case wire::control_command::kLift:
        configuration::lift_quarantine(directory_, body_hash{decoded.lift().body_hash()});
        break;
    case wire::control_command::kTick:
        configuration::drop_expired_suspicions(directory_);
        break;
    case wire::control_command::BODY_NOT_SET:
        break;
    }
    update_shared_tables();
    reply_to_polls(runtime_clock::now(), true);
    return reply;
}

void control_service::update_shared_tables()
{
    withdrawn_organisations_.store(std::make_shared<const std::set<std::string>>(configuration_.withdrawn));
    auto incarnations = std::make_shared<std::map<upstream_name, incarnation_id>>();
    for (const auto& [name, record] : directory_.upstreams) {
        if (!record.removed) {
            incarnations->emplace(name, record.incarnation);
        }
    }
    upstream_incarnations_.store(std::move(incarnations));
}

std::shared_ptr<const std::set<std::string>> control_service::withdrawn_organisations() const
{
    return withdrawn_organisations_.load();
}

std::shared_ptr<const std::map<upstream_name, incarnation_id>> control_service::upstream_incarnations() const
{
    return upstream_incarnations_.load();
}

void control_service::handle_poll(const wire::envelope_ptr& request, const reply_function& send_reply)
{
    const time_point now = runtime_clock::now();
    const wire::poll_request& poll = request->poll();
    processes_[poll.process()] = {poll.role(), poll.after_revision(), now};
    const duration timeout = std::min<duration>(std::chrono::milliseconds(poll.wait_ms()), max_poll_wait);
    pending_poll pending{request, send_reply, now, now + timeout};
    const bool has_changes =
        poll.after_revision() != configuration_.revision || poll.after_version() != directory_.version;
    if (has_changes || timeout == duration{}) {
        reply_to_poll(pending);
        return;
    }
    pending_polls_.push_back(std::move(pending));
}

void control_service::reply_to_polls(time_point now, bool all)
{
    for (auto pending = pending_polls_.begin(); pending != pending_polls_.end();) {
        if (!all && now < pending->deadline) {
            ++pending;
            continue;
        }
        reply_to_poll(*pending);
        pending = pending_polls_.erase(pending);
    }
}

void control_service::reply_to_poll(const pending_poll& pending)
{
    const wire::poll_request& poll = pending.request->poll();
    wire::envelope reply;
    wire::poll_reply* body = reply.mutable_polled();
    body->set_revision(configuration_.revision);
    const auto changes = configuration::changes_since(configuration_, poll.after_revision());
    body->set_whole(!changes.has_value());
    if (changes) {
        configuration::to_wire(*changes, body->mutable_objects());
    }
    else {
        configuration::to_wire(configuration_.objects, body->mutable_objects());
    }
    body->set_version(directory_.version);
    const bool whole = poll.after_version() < directory_.compacted_version || poll.after_version() == 0 ||
                       poll.after_version() > directory_.version;
    body->set_whole_directory(whole);
    for (const auto& [name, record] : directory_.upstreams) {
        if (whole ? !record.removed : record.version > poll.after_version()) {
            configuration::to_wire(record, body->add_upstreams());
        }
    }
    for (const auto& [hash, suspicion] : directory_.suspicions) {
        wire::quarantine_record* quarantine = body->add_quarantines();
        quarantine->set_body_hash(hash.value);
        quarantine->set_losses(static_cast<std::uint32_t>(suspicion.lost_incarnations.size()));
    }
    body->set_control_term(group_.report().term);
    // The read lease is checked last: the reply is current only if the lease is still valid after the state
    // was read.
    if (!group_.has_read_lease()) {
        pending.send_reply(make_redirect(group_));
        return;
    }
    body->set_held_ms(static_cast<std::uint32_t>(to_ms(runtime_clock::now() - pending.received_at)));
    pending.send_reply(std::move(reply));
}

void control_service::tick(time_point now)
{
    reply_to_polls(now, false);
    if (!group_.has_read_lease()) {
        return;
    }
    for (const auto& [name, record] : directory_.upstreams) {
        if (!record.removed && now - last_announced_at_[name] > upstream_timeout) {
            last_announced_at_[name] = now;
            propose_removal(record);
        }
    }
    if (configuration::has_expired_suspicion(directory_, group_time())) {
        propose_tick();
    }
    std::erase_if(processes_,
                  [now](const auto& item) { return now - item.second.polled_at > process_retention; });
}

void control_service::propose_removal(const configuration::upstream_record& record)
{
    wire::control_command command;
    command.set_group_time_ms(group_time().count());
    configuration::upstream_record removal = record;
    removal.removed = true;
    configuration::to_wire(removal, command.mutable_announce());
    group_.propose(command.SerializeAsString(), [](const wire::envelope*) {});
}

void control_service::propose_tick()
{
    wire::control_command command;
    command.set_group_time_ms(group_time().count());
    command.set_tick(true);
    group_.propose(command.SerializeAsString(), [](const wire::envelope*) {});
}

wire::envelope control_service::make_audit_reply(const wire::envelope& request) const
{
    wire::envelope reply;
    wire::audit_reply* body = reply.mutable_audited();
    for (const configuration::audit_entry& entry : configuration_.audit) {
        if (entry.revision <= request.audit().after_revision()) {
            continue;
        }
        configuration::to_wire(entry, body->add_records());
    }
    return reply;
}

wire::envelope control_service::make_configuration_reply() const
{
    wire::envelope reply;
    reply.mutable_got()->set_revision(configuration_.revision);
    configuration::to_wire(configuration_.objects, reply.mutable_got()->mutable_objects());
    return reply;
}

wire::envelope control_service::make_status_reply(time_point now) const
{
    wire::envelope reply;
    wire::status_reply* body = reply.mutable_status_is();
    body->set_name(replica_name_);
    body->set_revision(configuration_.revision);
    for (const auto& [name, record] : directory_.upstreams) {
        if (!record.removed) {
            configuration::to_wire(record, body->add_upstreams());
        }
    }
    for (const auto& [name, last_poll] : processes_) {
        wire::process_status* status = body->add_processes();
        status->set_name(name);
        status->set_role(last_poll.role);
        status->set_revision(last_poll.revision);
        status->set_silent_ms(static_cast<std::uint32_t>(to_ms(now - last_poll.polled_at)));
    }
    return reply;
}

std::string control_service::save() const
{
    return configuration::encode_control_state(configuration_, directory_);
}

void control_service::restore(const std::string& bytes)
{
    configuration::decode_control_state(bytes, configuration_, directory_);
    update_shared_tables();
}

} // namespace guavawick::replica
