// The thread of a consensus group, its bootstrap and its membership.
#include "replica/group.hpp"

#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "replica/consensus_codec.hpp"
#include "wire.pb.h"

#include <algorithm>
#include <cstdlib>

namespace guavawick::replica {
namespace {

constexpr duration handover_poll_interval = 20ms;
constexpr duration machine_tick_interval = 100ms;
constexpr duration idle_tick_interval = 500ms; ///< of a replica that is not a member
constexpr duration join_request_interval = 300ms;
constexpr duration membership_check_interval = 200ms;
constexpr duration handover_timeout = 3s; ///< longest wait for a leadership transfer in stop()

consensus::options make_options(const replica_settings& settings)
{
    consensus::options result;
    result.election_timeout = settings.election_timeout;
    result.heartbeat = settings.heartbeat;
    result.retained_entries = std::max<std::uint64_t>(settings.snapshot_entries / 10, 1);
    result.retained_bytes = settings.snapshot_log_bytes / 4;
    return result;
}

} // namespace

group::group(std::uint32_t number, const replica_settings& settings, consensus::member_id self,
             const std::vector<replica_address>& replicas, wire::link& links)
    : number_(number), settings_(settings), replicas_(replicas), links_(links),
      store_(settings.data_folder + "/group-" + std::to_string(number)),
      state_(consensus::restore_state(self, make_options(settings), store_.take_loaded(), {},
                                      runtime_clock::now(), random_id()))
{
    if (store_.tail_truncated()) {
        log_event(event::log_tail_cut, {{"group", std::uint64_t{number_}}});
    }
    last_snapshot_index_ = state_.base_index;
}

group::~group()
{
    stop();
}

void group::start(state_machine machine)
{
    machine_ = std::move(machine);
    log_bytes_at_snapshot_ = 0;
    if (state_.newest_snapshot) {
        machine_.restore(state_.newest_snapshot->state);
    }
    remove_unused_contents();
    log_event(event::group_started,
              {{"group", std::uint64_t{number_}}, {"last_index", consensus::last_index(state_)}});
    thread_ = std::thread([this] { run(); });
}

void group::stop()
{
    if (!thread_.joinable()) {
        return;
    }
    auto finished = std::make_shared<std::atomic<bool>>(false);
    post([this, finished] {
        const bool started = consensus::transfer_leadership(state_, runtime_clock::now(), pending_effects_);
        if (started) {
            log_event(event::leadership_handed_over, {{"group", std::uint64_t{number_}}});
        }
        finished->store(!started);
    });
    const time_point deadline = runtime_clock::now() + handover_timeout;
    while (!finished->load() && runtime_clock::now() < deadline) {
        post([this, finished] { finished->store(finished->load() || !leads()); });
        std::this_thread::sleep_for(handover_poll_interval);
    }
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
}

void group::post(std::function<void()> task)
{
    {
        const std::lock_guard lock(mutex_);
        inbox_.push_back(std::move(task));
    }
    wake_.notify_one();
}

void group::handle(consensus::message received, const std::string& endpoint)
{
    post([this, endpoint, received = std::move(received)] {
        learned_endpoints_[received.from] = endpoint;
        if (receive_offer(received, endpoint)) {
            return;
        }
        consensus::step(state_, received, runtime_clock::now(), pending_effects_);
    });
}

void group::handle_join(const consensus::member& joining, bool forwarded)
{
    post([this, joining, forwarded] {
        learned_endpoints_[joining.id] = joining.endpoint;
        if (is_blank()) {
            blank_candidates_[joining.endpoint] = joining;
            blank_peers_[joining.name] = joining.id;
            return;
        }
        if (state_.role != consensus::role_type::leader) {
            const std::string leader = leader_endpoint();
            if (managed_ && !forwarded && !leader.empty()) {
                links_.send(leader, make_join_message(joining, true));
            }
            return;
        }
        if (managed_ &&
            !consensus::admits_learner(consensus::collect_member_status(state_, runtime_clock::now()),
                                       joining, policy_)) {
            return;
        }
        if (consensus::add_learner(state_, joining, runtime_clock::now(), pending_effects_) ==
            consensus::change_result::proposed) {
            log_event(event::member_joining, {{"group", std::uint64_t{number_}}, {"name", joining.name}});
        }
    });
}

void group::run()
{
    std::vector<std::function<void()>> tasks;
    while (true) {
        {
            std::unique_lock lock(mutex_);
            wake_.wait_for(lock, std::max(next_wake() - runtime_clock::now(), duration{}),
                           [this] { return stopping_ || !inbox_.empty(); });
            if (stopping_) {
                return;
            }
            tasks.swap(inbox_);
        }
        try {
            process_batch(tasks);
        }
        catch (const storage_error& error) {
            // A replica whose disk has failed must stop at once: entries that it acknowledged could be lost.
            log_event(event::storage_failed, {{"group", std::uint64_t{number_}}, {"reason", error.what()}});
            std::_Exit(3);
        }
        tasks.clear();
    }
}

time_point group::next_wake() const
{
    if (consensus::has_work(pending_effects_)) {
        return time_point{};
    }
    const time_point maintenance =
        leads() ? std::min(next_machine_tick_, next_membership_check_) : next_machine_tick_;
    const time_point join = managed_ && !is_member() ? next_join_request_ : time_point::max();
    return std::min({consensus::next_tick_at(state_), maintenance, join});
}

bool group::is_member() const
{
    return consensus::find_member(consensus::current_members(state_), state_.self) != nullptr;
}

void group::process_batch(std::vector<std::function<void()>>& tasks)
{
    for (const auto& task : tasks) {
        task();
    }
    const time_point now = runtime_clock::now();
    consensus::tick(state_, now, pending_effects_);
    if (now >= next_machine_tick_) {
        const bool is_idle = managed_ && !is_member() && !bootstraps_with_contacts_;
        next_machine_tick_ = now + (is_idle ? idle_tick_interval : machine_tick_interval);
        machine_.tick(now);
    }
    if (leads() && now >= next_membership_check_) {
        next_membership_check_ = now + membership_check_interval;
        update_membership(now);
    }
    if (managed_) {
        bootstrap_or_join_managed(now);
    }
    else {
        bootstrap_or_join(now);
    }
    consensus::replicate(state_, now, pending_effects_);
    // Applying a command may add effects to pending_effects_; those are executed after the next batch.
    consensus::effects effects;
    std::swap(effects, pending_effects_);
    execute_effects(effects);
    snapshot_if_due();
    counters_.leads.store(leads());
    counters_.applied.store(state_.applied);
    counters_.syncs.store(store_.syncs());
    counters_.log_bytes.store(store_.log_bytes());
}

void group::execute_effects(consensus::effects& effects)
{
    send(effects.immediate_messages);
    effects.immediate_messages.clear();
    store_.persist(state_, effects);
    consensus::record_synced(state_, consensus::last_index(state_), effects);
    send(effects.messages);
    if (effects.lost_leadership) {
        log_event(event::leader_lost, {{"group", std::uint64_t{number_}}, {"term", state_.term}});
        fail_pending_proposals();
        serving_ = false;
        machine_.leadership_changed(false);
    }
    if (effects.install) {
        machine_.restore(effects.install->state);
        last_snapshot_index_ = effects.install->index;
        log_bytes_at_snapshot_ = store_.log_bytes();
        remove_unused_contents();
        log_event(event::snapshot_installed,
                  {{"group", std::uint64_t{number_}}, {"index", effects.install->index}});
    }
    for (const consensus::log_entry& entry : effects.committed) {
        apply(entry);
    }
    if (effects.became_leader && state_.role == consensus::role_type::leader) {
        serving_ = true;
        log_event(event::leader_elected, {{"group", std::uint64_t{number_}}, {"term", state_.term}});
        machine_.leadership_changed(true);
    }
}

void group::send(const std::vector<consensus::message>& messages)
{
    for (const consensus::message& message : messages) {
        const std::string endpoint = endpoint_of(message.to);
        if (endpoint.empty()) {
            continue;
        }
        wire::envelope envelope;
        envelope.set_group(number_);
        to_wire(message.state && machine_.contents ? make_offer(message) : message, number_,
                envelope.mutable_consensus());
        envelope.mutable_consensus()->set_from_endpoint(settings_.link);
        links_.send(endpoint, std::move(envelope));
    }
}

std::string group::endpoint_of(consensus::member_id id) const
{
    for (auto indexed = state_.memberships.rbegin(); indexed != state_.memberships.rend(); ++indexed) {
        const consensus::member* member = consensus::find_member(indexed->value, id);
        if (member != nullptr) {
            return member->endpoint;
        }
    }
    const auto learned = learned_endpoints_.find(id);
    return learned == learned_endpoints_.end() ? "" : learned->second;
}

void group::apply(const consensus::log_entry& entry)
{
    wire::envelope result;
    if (entry.kind == consensus::entry_kind::command) {
        result = machine_.apply(entry.payload);
    }
    if (entry.kind == consensus::entry_kind::membership) {
        log_event(event::membership_changed, {{"group", std::uint64_t{number_}}, {"index", entry.index}});
    }
    const auto found = pending_proposals_.find(entry.index);
    if (found == pending_proposals_.end()) {
        return;
    }
    const pending_proposal proposal = std::move(found->second);
    pending_proposals_.erase(found);
    proposal.done(proposal.term == entry.term ? &result : nullptr);
}

void group::fail_pending_proposals()
{
    std::map<consensus::log_index, pending_proposal> failed;
    failed.swap(pending_proposals_);
    for (const auto& [index, proposal] : failed) {
        proposal.done(nullptr);
    }
}

void group::propose(std::string command, proposal_callback done)
{
    const consensus::log_index index =
        consensus::propose(state_, consensus::entry_kind::command, std::move(command), pending_effects_);
    if (index == 0) {
        done(nullptr);
        return;
    }
    counters_.proposals.fetch_add(1);
    pending_proposals_[index] = {state_.term, std::move(done)};
}

bool group::has_read_lease() const
{
    return consensus::has_read_lease(state_, runtime_clock::now());
}

bool group::leads() const
{
    return serving_ && state_.role == consensus::role_type::leader;
}

std::string group::leader_endpoint() const
{
    return state_.leader ? endpoint_of(state_.leader) : "";
}

group_report group::report() const
{
    group_report result;
    result.role = state_.role;
    result.term = state_.term;
    result.commit = state_.commit;
    result.applied = state_.applied;
    result.last = consensus::last_index(state_);
    const consensus::member* leader =
        consensus::find_member(consensus::current_members(state_), state_.leader);
    result.leader = leader == nullptr ? "" : leader->name;
    const time_point now = runtime_clock::now();
    for (const consensus::member& member : consensus::current_members(state_).members) {
        const auto progress = state_.peers.find(member.id);
        const bool is_self = member.id == state_.self;
        const bool has_progress = progress != state_.peers.end();
        result.members.push_back({member, is_self || consensus::is_recently_active(state_, member.id, now),
                                  is_self        ? state_.synced
                                  : has_progress ? progress->second.match
                                                 : 0});
    }
    return result;
}

bool group::is_blank() const
{
    return consensus::last_index(state_) == 0 && state_.term == 0;
}

void group::remove_member(const std::string& name, std::function<void(consensus::change_result)> done)
{
    post([this, name, done = std::move(done)] {
        auto result = consensus::change_result::unknown_member;
        for (const consensus::member& member : consensus::current_members(state_).members) {
            if (member.name == name) {
                result = consensus::remove_member(state_, member.id, pending_effects_);
                break;
            }
        }
        done(result);
    });
}

wire::envelope group::make_join_message(const consensus::member& joining, bool forwarded) const
{
    wire::envelope envelope;
    envelope.set_group(number_);
    envelope.mutable_join()->set_group(number_);
    envelope.mutable_join()->set_id(joining.id.value);
    envelope.mutable_join()->set_name(joining.name);
    envelope.mutable_join()->set_endpoint(joining.endpoint);
    envelope.mutable_join()->set_data_centre(joining.data_centre);
    envelope.mutable_join()->set_forwarded(forwarded);
    return envelope;
}

void group::send_join_request(const std::string& endpoint)
{
    links_.send(endpoint, make_join_message(
                              {state_.self, settings_.name, settings_.link, false, 0, data_centre_}, false));
}

void group::bootstrap_or_join(time_point now)
{
    if (now < next_join_request_ || !consensus::needs_join(state_, now)) {
        return;
    }
    next_join_request_ = now + join_request_interval;
    if (!replicas_.empty() && replicas_.front().name == settings_.name && is_blank() &&
        blank_peers_.size() + 1 == replicas_.size()) {
        bootstrap_from_settings(blank_peers_);
        return;
    }
    for (const replica_address& address : replicas_) {
        if (address.name == settings_.name) {
            continue;
        }
        send_join_request(address.endpoint);
    }
}

void group::enable_managed_membership(const consensus::membership_policy& policy, std::string data_centre)
{
    managed_ = true;
    data_centre_ = std::move(data_centre);
    policy_ = policy;
}

void group::set_membership_policy(const consensus::membership_policy& policy)
{
    post([this, policy] { policy_ = policy; });
}

void group::set_contacts(std::vector<std::string> endpoints)
{
    post([this, endpoints = std::move(endpoints)]() mutable { contacts_ = std::move(endpoints); });
}

void group::bootstrap_with_contacts()
{
    post([this] { bootstraps_with_contacts_ = true; });
}

void group::bootstrap(consensus::membership initial_members)
{
    post([this, initial_members = std::move(initial_members)] {
        if (is_blank() && !initial_members.members.empty() &&
            initial_members.members.front().id == state_.self) {
            create_group(initial_members);
        }
    });
}

void group::update_membership(time_point now)
{
    if (!managed_) {
        consensus::continue_repair(state_, now, pending_effects_);
        return;
    }
    const consensus::planned_change change =
        consensus::apply_membership_plan(state_, policy_, now, pending_effects_);
    if (change.kind != consensus::planned_kind::nothing) {
        log_event(event::member_change_planned,
                  {{"group", std::uint64_t{number_}},
                   {"change", change.kind == consensus::planned_kind::promote  ? "promote"
                              : change.kind == consensus::planned_kind::remove ? "remove"
                                                                               : "hand_over"},
                   {"member", to_hex(change.id.value)},
                   {"endpoint", endpoint_of(change.id)},
                   {"members", std::uint64_t{consensus::current_members(state_).members.size()}},
                   {"commit", state_.commit}});
    }
}

void group::bootstrap_or_join_managed(time_point now)
{
    if (now < next_join_request_) {
        return;
    }
    if (!consensus::needs_managed_join(state_, now)) {
        join_schedule_.rounds = 0;
        return;
    }
    next_join_request_ = now + join_request_interval;
    if (bootstraps_with_contacts_ && is_blank() && !contacts_.empty() &&
        *std::min_element(contacts_.begin(), contacts_.end()) == settings_.link) {
        consensus::membership members;
        for (const std::string& endpoint : contacts_) {
            const auto candidate = blank_candidates_.find(endpoint);
            if (endpoint == settings_.link) {
                members.members.push_back(
                    {state_.self, settings_.name, settings_.link, true, 0, data_centre_});
            }
            else if (candidate != blank_candidates_.end()) {
                members.members.push_back(candidate->second);
                members.members.back().voter = true;
            }
        }
        if (members.members.size() == contacts_.size()) {
            create_group(members);
            return;
        }
    }
    send_join_round(now);
}

void group::send_join_round(time_point now)
{
    for (const std::string& endpoint :
         consensus::choose_join_contacts(join_schedule_, contacts_, settings_.link)) {
        send_join_request(endpoint);
    }
    next_join_request_ = now + consensus::join_delay(join_schedule_);
}

void group::bootstrap_from_settings(const std::map<std::string, consensus::member_id>& ids)
{
    consensus::membership members;
    for (const replica_address& address : replicas_) {
        const bool is_self = address.name == settings_.name;
        members.members.push_back(
            {is_self ? state_.self : ids.at(address.name), address.name, address.endpoint, true, 0});
    }
    create_group(members);
}

void group::create_group(const consensus::membership& members)
{
    // The group starts from a snapshot at index 1 that names its members.
    auto snapshot = std::make_shared<consensus::snapshot>();
    snapshot->index = 1;
    snapshot->term = 1;
    snapshot->members = members;
    snapshot->state = machine_.save();
    consensus::persisted_state disk;
    disk.term = 1;
    disk.newest_snapshot = snapshot;
    const std::uint64_t seed = random_id();
    state_ =
        consensus::restore_state(state_.self, make_options(settings_), disk, {}, runtime_clock::now(), seed);
    store_.write_snapshot(state_);
    last_snapshot_index_ = 1;
    log_bytes_at_snapshot_ = store_.log_bytes();
}

} // namespace guavawick::replica
