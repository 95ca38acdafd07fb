// Drives one consensus group.
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

constexpr duration tick_interval = 20ms;
constexpr duration machine_tick_interval = 100ms;
constexpr duration probe_interval = 300ms;
constexpr duration repair_interval = 200ms;
constexpr duration handover_limit = 3s;

consensus::options make_options(const replica_settings& settings)
{
    consensus::options made;
    made.election_timeout = settings.election_timeout;
    made.heartbeat = settings.heartbeat;
    made.retained_entries = std::max<std::uint64_t>(settings.snapshot_entries / 10, 1);
    return made;
}

} // namespace

group::group(std::uint32_t number, const replica_settings& settings, consensus::member_id self,
             const std::vector<replica_address>& replicas, wire::link& links)
    : number_(number), settings_(settings), replicas_(replicas), links_(links),
      store_(settings.data_folder + "/group-" + std::to_string(number)),
      state_(consensus::restore_state(self, make_options(settings), store_.loaded(), {}, runtime_clock::now(),
                                      random_id()))
{
    if (store_.tail_truncated()) {
        log_event(event::log_tail_cut, {{"group", std::uint64_t{number_}}});
    }
    snapshot_at_ = state_.base_index;
}

group::~group()
{
    stop();
}

void group::start(state_machine machine)
{
    machine_ = std::move(machine);
    if (store_.loaded().newest_snapshot) {
        machine_.restore(store_.loaded().newest_snapshot->state);
    }
    log_event(event::group_started,
              {{"group", std::uint64_t{number_}}, {"last_index", consensus::last_index(state_)}});
    thread_ = std::thread([this] { run(); });
}

void group::stop()
{
    if (!thread_.joinable()) {
        return;
    }
    auto handed_over = std::make_shared<std::atomic<bool>>(false);
    post([this, handed_over] {
        const bool moved = consensus::transfer_leadership(state_, runtime_clock::now(), pending_);
        if (moved) {
            log_event(event::leadership_handed_over, {{"group", std::uint64_t{number_}}});
        }
        handed_over->store(!moved);
    });
    const time_point limit = runtime_clock::now() + handover_limit;
    while (!handed_over->load() && runtime_clock::now() < limit) {
        post([this, handed_over] { handed_over->store(handed_over->load() || !leads()); });
        std::this_thread::sleep_for(tick_interval);
    }
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_one();
    thread_.join();
}

void group::post(std::function<void()> work)
{
    {
        const std::lock_guard lock(mutex_);
        inbox_.push_back(std::move(work));
    }
    wake_.notify_one();
}

void group::handle(consensus::message received, const std::string& endpoint)
{
    post([this, endpoint, received = std::move(received)] {
        learned_endpoints_[received.from] = endpoint;
        consensus::step(state_, received, runtime_clock::now(), pending_);
    });
}

void group::handle_join(const consensus::member& joining)
{
    post([this, joining] {
        learned_endpoints_[joining.id] = joining.endpoint;
        if (is_blank()) {
            blank_candidates_[joining.endpoint] = joining;
            blank_peers_[joining.name] = joining.id;
            return;
        }
        if (managed_ &&
            !consensus::admits_learner(consensus::collect_member_status(state_, runtime_clock::now()),
                                       joining, policy_)) {
            return;
        }
        if (consensus::add_learner(state_, joining, runtime_clock::now(), pending_) ==
            consensus::change_result::proposed) {
            log_event(event::member_joining, {{"group", std::uint64_t{number_}}, {"name", joining.name}});
        }
    });
}

void group::run()
{
    std::vector<std::function<void()>> work;
    while (true) {
        {
            std::unique_lock lock(mutex_);
            wake_.wait_for(lock, tick_interval, [this] { return stopping_ || !inbox_.empty(); });
            if (stopping_) {
                return;
            }
            work.swap(inbox_);
        }
        try {
            work_once(work);
        }
        catch (const storage_error& fault) {
            // Without its disk a replica must not go on: what it would acknowledge could be lost.
            log_event(event::storage_failed, {{"group", std::uint64_t{number_}}, {"reason", fault.what()}});
            std::_Exit(3);
        }
        work.clear();
    }
}

void group::work_once(std::vector<std::function<void()>>& work)
{
    for (const auto& one : work) {
        one();
    }
    const time_point now = runtime_clock::now();
    consensus::tick(state_, now, pending_);
    if (now >= next_machine_tick_) {
        next_machine_tick_ = now + machine_tick_interval;
        machine_.tick(now);
    }
    if (leads() && now >= next_repair_) {
        next_repair_ = now + repair_interval;
        plan_members(now);
    }
    if (managed_) {
        found_managed(now);
    }
    else {
        found_or_join(now);
    }
    consensus::replicate(state_, now, pending_);
    // Applying may bring new work of its own, which is carried out in the next round.
    consensus::effects wanted;
    std::swap(wanted, pending_);
    carry_out(wanted);
    snapshot_if_due();
    counters_.leads.store(leads());
    counters_.applied.store(state_.applied);
    counters_.syncs.store(store_.syncs());
    counters_.log_bytes.store(store_.log_bytes());
}

void group::carry_out(consensus::effects& wanted)
{
    send(wanted.immediate_messages);
    wanted.immediate_messages.clear();
    store_.persist(state_, wanted);
    consensus::record_synced(state_, consensus::last_index(state_), wanted);
    send(wanted.messages);
    if (wanted.lost_leadership) {
        log_event(event::leader_lost, {{"group", std::uint64_t{number_}}, {"term", state_.term}});
        fail_proposals();
        serving_ = false;
        machine_.leadership_changed(false);
    }
    if (wanted.install) {
        machine_.restore(wanted.install->state);
        snapshot_at_ = wanted.install->index;
        log_event(event::snapshot_installed,
                  {{"group", std::uint64_t{number_}}, {"index", wanted.install->index}});
    }
    for (const consensus::log_entry& entry : wanted.committed) {
        apply(entry);
    }
    if (wanted.became_leader && state_.role == consensus::role_type::leader) {
        serving_ = true;
        log_event(event::leader_elected, {{"group", std::uint64_t{number_}}, {"term", state_.term}});
        machine_.leadership_changed(true);
    }
}

void group::send(const std::vector<consensus::message>& messages)
{
    for (const consensus::message& one : messages) {
        const std::string endpoint = endpoint_of(one.to);
        if (endpoint.empty()) {
            continue;
        }
        wire::envelope packed;
        packed.set_group(number_);
        to_wire(one, number_, packed.mutable_consensus());
        packed.mutable_consensus()->set_from_endpoint(settings_.link);
        links_.send(endpoint, std::move(packed));
    }
}

std::string group::endpoint_of(consensus::member_id id) const
{
    for (auto held = state_.memberships.rbegin(); held != state_.memberships.rend(); ++held) {
        const consensus::member* found = consensus::find_member(held->value, id);
        if (found != nullptr) {
            return found->endpoint;
        }
    }
    const auto learned = learned_endpoints_.find(id);
    return learned == learned_endpoints_.end() ? "" : learned->second;
}

void group::apply(const consensus::log_entry& entry)
{
    wire::envelope answer;
    if (entry.kind == consensus::entry_kind::command) {
        answer = machine_.apply(entry.payload);
    }
    if (entry.kind == consensus::entry_kind::membership) {
        log_event(event::membership_changed, {{"group", std::uint64_t{number_}}, {"index", entry.index}});
    }
    const auto found = proposals_.find(entry.index);
    if (found == proposals_.end()) {
        return;
    }
    const waiting_proposal waiting = std::move(found->second);
    proposals_.erase(found);
    waiting.done(waiting.term == entry.term ? &answer : nullptr);
}

void group::fail_proposals()
{
    std::map<consensus::log_index, waiting_proposal> lost;
    lost.swap(proposals_);
    for (const auto& [index, waiting] : lost) {
        waiting.done(nullptr);
    }
}

void group::snapshot_if_due()
{
    if (state_.applied < snapshot_at_ + settings_.snapshot_entries) {
        return;
    }
    auto taken = std::make_shared<consensus::snapshot>();
    taken->index = state_.applied;
    taken->term = consensus::term_at(state_, state_.applied);
    for (const consensus::indexed_membership& held : state_.memberships) {
        if (held.index <= state_.applied) {
            taken->members = held.value;
        }
    }
    taken->state = machine_.save();
    consensus::compact(state_, taken);
    store_.write_snapshot(state_);
    snapshot_at_ = taken->index;
    log_event(event::snapshot_written, {{"group", std::uint64_t{number_}}, {"index", taken->index}});
}

void group::propose(std::string command, proposal_callback done)
{
    const consensus::log_index index =
        consensus::propose(state_, consensus::entry_kind::command, std::move(command), pending_);
    if (index == 0) {
        done(nullptr);
        return;
    }
    counters_.proposals.fetch_add(1);
    proposals_[index] = {state_.term, std::move(done)};
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
    group_report made;
    made.role = state_.role;
    made.term = state_.term;
    made.commit = state_.commit;
    made.applied = state_.applied;
    made.last = consensus::last_index(state_);
    const consensus::member* leader =
        consensus::find_member(consensus::current_members(state_), state_.leader);
    made.leader = leader == nullptr ? "" : leader->name;
    const time_point now = runtime_clock::now();
    for (const consensus::member& one : consensus::current_members(state_).members) {
        const auto peer = state_.peers.find(one.id);
        const bool own = one.id == state_.self;
        const bool known = peer != state_.peers.end();
        made.members.push_back({one, own || consensus::is_recently_active(state_, one.id, now),
                                own     ? state_.synced
                                : known ? peer->second.match
                                        : 0});
    }
    return made;
}

bool group::is_blank() const
{
    return consensus::last_index(state_) == 0 && state_.term == 0;
}

void group::remove(const std::string& name, std::function<void(consensus::change_result)> done)
{
    post([this, name, done = std::move(done)] {
        auto result = consensus::change_result::unknown_member;
        for (const consensus::member& one : consensus::current_members(state_).members) {
            if (one.name == name) {
                result = consensus::remove_member(state_, one.id, pending_);
                break;
            }
        }
        done(result);
    });
}

void group::ask_to_join(const std::string& endpoint)
{
    wire::envelope probe;
    probe.set_group(number_);
    probe.mutable_join()->set_group(number_);
    probe.mutable_join()->set_id(state_.self.value);
    probe.mutable_join()->set_name(settings_.name);
    probe.mutable_join()->set_endpoint(settings_.link);
    probe.mutable_join()->set_data_centre(data_centre_);
    links_.send(endpoint, std::move(probe));
}

void group::found_or_join(time_point now)
{
    if (now < next_probe_ || !consensus::needs_join(state_, now)) {
        return;
    }
    next_probe_ = now + probe_interval;
    if (!replicas_.empty() && replicas_.front().name == settings_.name && is_blank() &&
        blank_peers_.size() + 1 == replicas_.size()) {
        found(blank_peers_);
        return;
    }
    for (const replica_address& address : replicas_) {
        if (address.name == settings_.name) {
            continue;
        }
        ask_to_join(address.endpoint);
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
    post([this] { founds_with_contacts_ = true; });
}

void group::bootstrap(consensus::membership founders)
{
    post([this, founders = std::move(founders)] {
        if (is_blank() && !founders.members.empty() && founders.members.front().id == state_.self) {
            found_members(founders);
        }
    });
}

void group::plan_members(time_point now)
{
    if (!managed_) {
        consensus::continue_repair(state_, now, pending_);
        return;
    }
    const consensus::planned_change next = consensus::apply_membership_plan(state_, policy_, now, pending_);
    if (next.kind != consensus::planned_kind::nothing) {
        log_event(event::member_change_planned,
                  {{"group", std::uint64_t{number_}},
                   {"change", next.kind == consensus::planned_kind::promote  ? "promote"
                              : next.kind == consensus::planned_kind::remove ? "remove"
                                                                             : "hand_over"},
                   {"member", to_hex(next.id.value)},
                   {"endpoint", endpoint_of(next.id)},
                   {"members", std::uint64_t{consensus::current_members(state_).members.size()}},
                   {"commit", state_.commit}});
    }
}

void group::found_managed(time_point now)
{
    if (now < next_probe_ || !consensus::needs_managed_join(state_, now)) {
        return;
    }
    next_probe_ = now + probe_interval;
    if (founds_with_contacts_ && is_blank() && !contacts_.empty() &&
        *std::min_element(contacts_.begin(), contacts_.end()) == settings_.link) {
        consensus::membership members;
        for (const std::string& endpoint : contacts_) {
            const auto blank = blank_candidates_.find(endpoint);
            if (endpoint == settings_.link) {
                members.members.push_back(
                    {state_.self, settings_.name, settings_.link, true, 0, data_centre_});
            }
            else if (blank != blank_candidates_.end()) {
                members.members.push_back(blank->second);
                members.members.back().voter = true;
            }
        }
        if (members.members.size() == contacts_.size()) {
            found_members(members);
            return;
        }
    }
    for (const std::string& endpoint : contacts_) {
        if (endpoint == settings_.link) {
            continue;
        }
        ask_to_join(endpoint);
    }
}

void group::found(const std::map<std::string, consensus::member_id>& ids)
{
    consensus::membership members;
    for (const replica_address& address : replicas_) {
        const bool own = address.name == settings_.name;
        members.members.push_back(
            {own ? state_.self : ids.at(address.name), address.name, address.endpoint, true, 0});
    }
    found_members(members);
}

void group::found_members(const consensus::membership& members)
{
    auto first = std::make_shared<consensus::snapshot>();
    first->index = 1;
    first->term = 1;
    first->members = members;
    first->state = machine_.save();
    consensus::persisted_state disk;
    disk.term = 1;
    disk.newest_snapshot = first;
    const std::uint64_t seed = random_id();
    state_ =
        consensus::restore_state(state_.self, make_options(settings_), disk, {}, runtime_clock::now(), seed);
    store_.write_snapshot(state_);
    snapshot_at_ = 1;
}

} // namespace guavawick::replica
