// Bootstrap of a group, requests to join it and changes of its members.
#include "replica/group.hpp"

#include "base/event_type.hpp"
#include "base/hash_func.hpp"
#include "wire.pb.h"

#include <algorithm>

namespace guavawick::replica {
namespace {

constexpr duration join_request_interval = 300ms;
constexpr duration lack_of_voters_delay = 5s; ///< longer than the replacement of a voter takes

} // namespace

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
    envelope.mutable_join()->set_auxiliary(joining.auxiliary);
    return envelope;
}

void group::send_join_request(const std::string& endpoint)
{
    links_.send(endpoint, make_join_message({state_.self, settings_.name, settings_.link, false, 0,
                                             data_centre_, auxiliary_},
                                            false));
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

void group::enable_managed_membership(const consensus::membership_policy& policy, std::string data_centre,
                                      bool auxiliary)
{
    managed_ = true;
    data_centre_ = std::move(data_centre);
    auxiliary_ = auxiliary;
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
    check_voters(now);
}

void group::check_voters(time_point now)
{
    const std::vector<consensus::member>& members = consensus::current_members(state_).members;
    const auto voters = static_cast<std::size_t>(std::count_if(
        members.begin(), members.end(), [](const consensus::member& member) { return member.voter; }));
    const bool lacks_voters = voters < policy_.voters;
    const bool was_logged = lack_of_voters_logged_;
    if (lacks_voters && lacks_voters_since_ == time_point{}) {
        lacks_voters_since_ = now;
    }
    if (!lacks_voters) {
        lacks_voters_since_ = {};
    }
    lack_of_voters_logged_ = lacks_voters && now - lacks_voters_since_ >= lack_of_voters_delay;
    if (lack_of_voters_logged_ != was_logged) {
        log_event(lacks_voters ? event::group_lacks_voters : event::group_has_voters,
                  {{"group", std::uint64_t{number_}},
                   {"voters", std::uint64_t{voters}},
                   {"needed", std::uint64_t{policy_.voters}}});
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
                    {state_.self, settings_.name, settings_.link, true, 0, data_centre_, auxiliary_});
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

bool group::is_member() const
{
    return consensus::find_member(consensus::current_members(state_), state_.self) != nullptr;
}

} // namespace guavawick::replica
