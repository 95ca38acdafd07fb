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
constexpr duration membership_check_interval = 200ms;
constexpr duration handover_timeout = 3s; ///< longest wait for a leadership transfer in stop()

} // namespace

consensus::options group::make_options(const replica_settings& settings)
{
    consensus::options result;
    result.election_timeout = settings.election_timeout;
    result.heartbeat = settings.heartbeat;
    result.retained_entries = std::max<std::uint64_t>(settings.snapshot_entries / 10, 1);
    result.retained_bytes = settings.snapshot_log_bytes / 4;
    return result;
}

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
    while (!finished->load() && !failed_.load() && runtime_clock::now() < deadline) {
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
    if (failed_.load()) {
        return;
    }
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
        heard_at_[received.from] = runtime_clock::now();
        if (receive_offer(received, endpoint)) {
            return;
        }
        consensus::step(state_, received, runtime_clock::now(), pending_effects_);
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
            if (settings_.exits_on_storage_failure) {
                std::_Exit(3);
            }
            failed_.store(true);
            return;
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
    return_confirmed_results(now);
    snapshot_if_due();
    check_leader(now);
    counters_.leads.store(leads());
    counters_.term.store(state_.term);
    counters_.knows_leader.store(knows_leader(now));
    counters_.applied.store(state_.applied);
    const std::vector<consensus::member>& members = consensus::current_members(state_).members;
    counters_.voters.store(static_cast<std::uint64_t>(std::count_if(
        members.begin(), members.end(), [](const consensus::member& member) { return member.voter; })));
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
        applied_term_ = entry.term;
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
    pending_proposal proposal = std::move(found->second);
    pending_proposals_.erase(found);
    const bool is_own = proposal.term == entry.term;
    if (is_own && awaits_confirmation_) {
        unconfirmed_results_[entry.index] = {std::make_shared<const wire::envelope>(std::move(result)),
                                             std::move(proposal.done), runtime_clock::now()};
        return;
    }
    proposal.done(is_own ? &result : nullptr);
}

void group::fail_pending_proposals()
{
    std::map<consensus::log_index, pending_proposal> failed;
    failed.swap(pending_proposals_);
    for (const auto& [index, proposal] : failed) {
        proposal.done(nullptr);
    }
    std::map<consensus::log_index, unconfirmed_result> unconfirmed;
    unconfirmed.swap(unconfirmed_results_);
    for (const auto& [index, held] : unconfirmed) {
        held.done(nullptr);
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
    // Entries that were committed in the current batch are applied at its end. Those that a new leader
    // inherited may have been acknowledged by its predecessor.
    return applied_term_ == state_.term && consensus::has_read_lease(state_, runtime_clock::now());
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
    result.members_committed = state_.memberships.back().index <= state_.commit;
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

} // namespace guavawick::replica
