// The control group's state machine and its answers.
#include "replica/control_service.hpp"

#include "base/event_type.hpp"
#include "base/hash_func.hpp"
#include "configuration/configuration_codec.hpp"
#include "configuration/directory_codec.hpp"
#include "replica/consensus_codec.hpp"
#include "wire.pb.h"

namespace guavawick::replica {
namespace {

constexpr duration directory_lease = 4s; ///< an upstream that is not heard for this long leaves the directory
constexpr duration process_memory = 30s; ///< a process that does not poll for this long is no longer shown
constexpr duration most_poll_wait = 2s;

} // namespace

control_service::control_service(group& driver, std::string replica_name)
    : group_(driver), replica_name_(std::move(replica_name))
{
    publish_shared();
}

void control_service::start()
{
    state_machine machine;
    machine.apply = [this](const std::string& command) { return apply(command); };
    machine.save = [this] { return save(); };
    machine.restore = [this](const std::string& bytes) { restore(bytes); };
    machine.leadership_changed = [this](bool leads) { lead(leads); };
    machine.tick = [this](time_point now) { tick(now); };
    group_.start(std::move(machine));
}

void control_service::handle(wire::envelope_ptr request, reply_function answer)
{
    group_.post(
        [this, request = std::move(request), answer = std::move(answer)] { handle_here(request, answer); });
}

void control_service::handle_here(const wire::envelope_ptr& request, const reply_function& answer)
{
    const bool local = request->has_status();
    if (!local && !group_.has_read_lease()) {
        answer(redirect());
        return;
    }
    switch (request->body_case()) {
    case wire::envelope::kApply:
    case wire::envelope::kLoss:
    case wire::envelope::kClear:
    case wire::envelope::kLift:
        propose(request, answer);
        return;
    case wire::envelope::kAnnounce:
        announce(request, answer);
        return;
    case wire::envelope::kPoll:
        poll(request, answer);
        return;
    case wire::envelope::kAudit:
        answer(audit(*request));
        return;
    case wire::envelope::kGet:
        answer(get());
        return;
    case wire::envelope::kStatus:
        answer(status(runtime_clock::now()));
        return;
    default:
        break;
    }
    wire::envelope refused;
    refused.mutable_refused()->set_failure(static_cast<std::uint32_t>(failure::bad_request));
    answer(std::move(refused));
}

wire::envelope control_service::redirect() const
{
    wire::envelope reply;
    reply.mutable_redirect()->set_leader_endpoint(group_.leads() ? "" : group_.leader_endpoint());
    return reply;
}

std::chrono::milliseconds control_service::group_time() const
{
    return group_time_base_ + std::chrono::milliseconds(to_ms(runtime_clock::now() - leads_since_));
}

void control_service::lead(bool leads)
{
    leads_since_ = runtime_clock::now();
    group_time_base_ = directory_.now;
    heard_.clear();
    processes_.clear();
    if (!leads) {
        for (const parked_poll& parked : parked_) {
            parked.answer(redirect());
        }
        parked_.clear();
        return;
    }
    for (const auto& [name, record] : directory_.upstreams) {
        heard_[name] = leads_since_;
    }
}

void control_service::propose(const wire::envelope_ptr& request, reply_function answer)
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
            answer(std::move(reply));
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
                   [this, answer = std::move(answer)](const wire::envelope* reply) {
                       answer(reply == nullptr ? redirect() : *reply);
                   });
}

void control_service::announce(const wire::envelope_ptr& request, const reply_function& answer)
{
    const configuration::upstream_record record = configuration::from_wire(request->announce().upstream());
    heard_[record.name] = runtime_clock::now();
    const auto found = directory_.upstreams.find(record.name);
    if (found != directory_.upstreams.end() && found->second.equals_ignoring_version(record)) {
        wire::envelope reply;
        reply.mutable_announced()->set_term(group_.report().term);
        answer(std::move(reply));
        return;
    }
    propose(request, answer);
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
        configuration::publish_request wish = configuration::from_wire(decoded.apply());
        wish.unix_ms = decoded.unix_ms();
        const configuration::publish_result result = configuration::publish(configuration_, wish);
        to_wire(result, reply.mutable_applied());
        const bool accepted = result.error == failure::none;
        log_event(accepted ? event::configuration_published : event::configuration_refused,
                  {{"revision", result.revision},
                   {"operator", wish.operator_name},
                   {"failure", find_failure(result.error).name}});
        break;
    }
    case wire::control_command::kAnnounce: {
        configuration::upstream_record record = configuration::from_wire(decoded.announce());
        const event what = record.removed   ? event::upstream_lost
                           : record.leaving ? event::upstream_leaving
                                            : event::upstream_announced;
        if (configuration::announce(directory_, record)) {
            log_event(what,
                      {{"upstream", record.name.value}, {"incarnation", to_hex(record.incarnation.value)}});
        }
        reply.mutable_announced()->set_term(group_.report().term);
        break;
    }
    case wire::control_command::kLoss: {
        std::vector<body_hash> running;
        for (const std::uint64_t hash : decoded.loss().body_hashes()) {
            running.emplace_back(hash);
        }
        const auto quarantined =
            configuration::record_loss(directory_, upstream_name{decoded.loss().upstream()},
                                       incarnation_id{decoded.loss().incarnation()}, running);
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
    publish_shared();
    answer_polls(runtime_clock::now(), true);
    return reply;
}

void control_service::publish_shared()
{
    withdrawn_.store(std::make_shared<const std::set<std::string>>(configuration_.withdrawn));
    auto present = std::make_shared<std::map<upstream_name, incarnation_id>>();
    for (const auto& [name, record] : directory_.upstreams) {
        if (!record.removed) {
            present->emplace(name, record.incarnation);
        }
    }
    incarnations_.store(std::move(present));
}

std::shared_ptr<const std::set<std::string>> control_service::withdrawn() const
{
    return withdrawn_.load();
}

std::shared_ptr<const std::map<upstream_name, incarnation_id>> control_service::incarnations() const
{
    return incarnations_.load();
}

void control_service::poll(const wire::envelope_ptr& request, const reply_function& answer)
{
    const time_point now = runtime_clock::now();
    const wire::poll_request& asked = request->poll();
    processes_[asked.process()] = {asked.role(), asked.after_revision(), now};
    const duration wait = std::min<duration>(std::chrono::milliseconds(asked.wait_ms()), most_poll_wait);
    parked_poll parked{request, answer, now, now + wait};
    const bool news =
        asked.after_revision() != configuration_.revision || asked.after_version() != directory_.version;
    if (news || wait == duration{}) {
        answer_poll(parked);
        return;
    }
    parked_.push_back(std::move(parked));
}

void control_service::answer_polls(time_point now, bool all)
{
    for (auto entry = parked_.begin(); entry != parked_.end();) {
        if (!all && now < entry->due) {
            ++entry;
            continue;
        }
        answer_poll(*entry);
        entry = parked_.erase(entry);
    }
}

void control_service::answer_poll(const parked_poll& parked)
{
    const wire::poll_request& asked = parked.request->poll();
    wire::envelope reply;
    wire::poll_reply* body = reply.mutable_polled();
    body->set_revision(configuration_.revision);
    const auto changed = configuration::changes_since(configuration_, asked.after_revision());
    body->set_whole(!changed.has_value());
    if (changed) {
        configuration::to_wire(*changed, body->mutable_objects());
    }
    else {
        configuration::to_wire(configuration_.objects, body->mutable_objects());
    }
    body->set_version(directory_.version);
    const bool whole = asked.after_version() < directory_.compacted_version || asked.after_version() == 0 ||
                       asked.after_version() > directory_.version;
    body->set_whole_directory(whole);
    for (const auto& [name, record] : directory_.upstreams) {
        if (whole ? !record.removed : record.version > asked.after_version()) {
            configuration::to_wire(record, body->add_upstreams());
        }
    }
    for (const auto& [hash, one] : directory_.suspicions) {
        wire::quarantine_record* made = body->add_quarantines();
        made->set_body_hash(hash.value);
        made->set_losses(static_cast<std::uint32_t>(one.lost_incarnations.size()));
    }
    body->set_control_term(group_.report().term);
    // Read last: only a lease that is valid after everything above was read makes the answer current.
    if (!group_.has_read_lease()) {
        parked.answer(redirect());
        return;
    }
    body->set_held_ms(static_cast<std::uint32_t>(to_ms(runtime_clock::now() - parked.received_at)));
    parked.answer(std::move(reply));
}

void control_service::tick(time_point now)
{
    answer_polls(now, false);
    if (!group_.has_read_lease()) {
        return;
    }
    for (const auto& [name, record] : directory_.upstreams) {
        if (!record.removed && now - heard_[name] > directory_lease) {
            heard_[name] = now;
            propose_removal(record);
        }
    }
    if (configuration::has_expired_suspicion(directory_, group_time())) {
        propose_tick();
    }
    std::erase_if(processes_, [now](const auto& item) { return now - item.second.at > process_memory; });
}

void control_service::propose_removal(const configuration::upstream_record& record)
{
    wire::control_command command;
    command.set_group_time_ms(group_time().count());
    configuration::upstream_record gone = record;
    gone.removed = true;
    configuration::to_wire(gone, command.mutable_announce());
    group_.propose(command.SerializeAsString(), [](const wire::envelope*) {});
}

void control_service::propose_tick()
{
    wire::control_command command;
    command.set_group_time_ms(group_time().count());
    command.set_tick(true);
    group_.propose(command.SerializeAsString(), [](const wire::envelope*) {});
}

wire::envelope control_service::audit(const wire::envelope& request) const
{
    wire::envelope reply;
    wire::audit_reply* body = reply.mutable_audited();
    for (const configuration::audit_entry& one : configuration_.audit) {
        if (one.revision <= request.audit().after_revision()) {
            continue;
        }
        configuration::to_wire(one, body->add_records());
    }
    return reply;
}

wire::envelope control_service::get() const
{
    wire::envelope reply;
    reply.mutable_got()->set_revision(configuration_.revision);
    configuration::to_wire(configuration_.objects, reply.mutable_got()->mutable_objects());
    return reply;
}

wire::envelope control_service::status(time_point now) const
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
    for (const auto& [name, seen] : processes_) {
        wire::process_status* made = body->add_processes();
        made->set_name(name);
        made->set_role(seen.role);
        made->set_revision(seen.revision);
        made->set_silent_ms(static_cast<std::uint32_t>(to_ms(now - seen.at)));
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
    publish_shared();
}

} // namespace guavawick::replica
