// Elections, log replication, leader leases and snapshots.
#include "consensus/consensus_func.hpp"

#include "base/hash_func.hpp"

#include <algorithm>
#include <cassert>

namespace guavawick::consensus {
namespace {

std::int64_t to_wire(time_point when)
{
    return when.time_since_epoch().count();
}

time_point from_wire(std::int64_t when)
{
    return time_point{duration{when}};
}

bool is_voter(const group_state& state, member_id id)
{
    const member* found = find_member(current_members(state), id);
    return found != nullptr && found->voter;
}

std::size_t voter_count(const membership& members)
{
    return static_cast<std::size_t>(std::count_if(members.members.begin(), members.members.end(),
                                                  [](const member& m) { return m.voter; }));
}

std::size_t quorum_size(const membership& members)
{
    return voter_count(members) / 2 + 1;
}

const log_entry* find_entry(const group_state& state, log_index index)
{
    if (index <= state.base_index || index > last_index(state)) {
        return nullptr;
    }
    return &state.entries[index - state.base_index - 1];
}

void reset_election_timer(group_state& state, time_point now)
{
    const auto timeout = static_cast<std::uint64_t>(state.settings.election_timeout.count());
    const duration jitter{static_cast<std::int64_t>(next_random(state.random_state) % (timeout + 1))};
    state.election_due = now + state.settings.election_timeout + jitter;
}

void become_follower(group_state& state, term_number term, time_point now, effects& pending)
{
    if (state.role == role_type::leader) {
        pending.lost_leadership = true;
    }
    if (term > state.term) {
        state.term = term;
        state.voted_for = member_id{};
        state.leader = member_id{};
        pending.hard_state_changed = true;
    }
    if (state.role != role_type::follower) {
        state.leader = member_id{};
    }
    state.role = role_type::follower;
    state.peers.clear();
    state.votes.clear();
    state.transfer_target = member_id{};
    reset_election_timer(state, now);
}

message make_message(const group_state& state, message_kind kind, member_id to)
{
    message result;
    result.kind = kind;
    result.from = state.self;
    result.to = to;
    result.term = state.term;
    return result;
}

void append_entry(group_state& state, log_entry entry, effects& pending)
{
    if (entry.kind == entry_kind::membership) {
        state.memberships.push_back({entry.index, decode_membership(entry.payload)});
    }
    pending.appended.push_back(entry);
    state.entries.push_back(std::move(entry));
}

void truncate_log(group_state& state, log_index kept_index, effects& pending)
{
    assert(kept_index >= state.commit);
    while (last_index(state) > kept_index) {
        state.entries.pop_back();
    }
    while (state.memberships.size() > 1 && state.memberships.back().index > kept_index) {
        state.memberships.pop_back();
    }
    state.synced = std::min(state.synced, kept_index);
    pending.truncate_after = std::min(pending.truncate_after.value_or(kept_index), kept_index);
    std::erase_if(pending.appended,
                  [kept_index](const log_entry& entry) { return entry.index > kept_index; });
}

void collect_committed(group_state& state, effects& pending)
{
    while (state.applied < state.commit) {
        const log_entry* entry = find_entry(state, state.applied + 1);
        assert(entry != nullptr);
        pending.committed.push_back(*entry);
        ++state.applied;
    }
}

void send_snapshot(group_state& state, member_id to, progress& peer, time_point now, effects& pending)
{
    const bool resend_due = now - peer.snapshot_sent_at >= state.settings.election_timeout;
    if (!state.newest_snapshot || (peer.snapshot_pending && !resend_due)) {
        return;
    }
    message request = make_message(state, message_kind::snapshot_request, to);
    request.state = state.newest_snapshot;
    request.index = state.newest_snapshot->index;
    request.sent_at = to_wire(now);
    peer.snapshot_pending = true;
    peer.snapshot_index = request.index;
    peer.snapshot_sent_at = now;
    pending.immediate_messages.push_back(std::move(request));
}

void fill_batch(const group_state& state, log_index first, message& request)
{
    std::size_t bytes = 0;
    for (log_index index = first; index <= last_index(state); ++index) {
        const log_entry* entry = find_entry(state, index);
        bytes += entry->payload.size();
        const bool full = request.entries.size() >= state.settings.max_batch_entries ||
                          bytes > state.settings.max_batch_bytes;
        if (full && !request.entries.empty()) {
            return;
        }
        request.entries.push_back(*entry);
    }
}

void send_append(group_state& state, member_id to, progress& peer, time_point now, effects& pending)
{
    if (peer.next <= state.base_index) {
        send_snapshot(state, to, peer, now, pending);
        return;
    }
    message request = make_message(state, message_kind::append_request, to);
    request.index = peer.next - 1;
    request.log_term = term_at(state, request.index);
    request.commit = state.commit;
    request.sent_at = to_wire(now);
    if (peer.probing) {
        peer.probe_index = request.index;
    }
    else if (peer.next <= peer.match + state.settings.max_inflight_entries) {
        fill_batch(state, peer.next, request);
        peer.next += request.entries.size();
    }
    pending.immediate_messages.push_back(std::move(request));
}

/// Keeps contact with a member that is installing a snapshot: every log starts with the entry 0.
void send_bare_heartbeat(group_state& state, member_id to, time_point now, effects& pending)
{
    message request = make_message(state, message_kind::append_request, to);
    request.sent_at = to_wire(now);
    pending.immediate_messages.push_back(std::move(request));
}

void broadcast_append(group_state& state, time_point now, effects& pending)
{
    for (const member& other : current_members(state).members) {
        if (other.id == state.self) {
            continue;
        }
        auto [found, inserted] = state.peers.try_emplace(other.id);
        if (inserted) {
            found->second.next = last_index(state) + 1;
            found->second.tracked_since = now;
        }
        send_append(state, other.id, found->second, now, pending);
        if (found->second.snapshot_pending) {
            send_bare_heartbeat(state, other.id, now, pending);
        }
    }
    state.heartbeat_due = now + state.settings.heartbeat;
}

/// @return the newest time such that a quorum of voters, including this member, has acknowledged a message
/// sent at that time or later.
time_point quorum_acked_at(const group_state& state, time_point now)
{
    std::vector<time_point> acks;
    for (const member& voter : current_members(state).members) {
        if (!voter.voter) {
            continue;
        }
        const auto found = state.peers.find(voter.id);
        const time_point acked_at = found == state.peers.end() ? time_point{} : found->second.acked_sent_at;
        acks.push_back(voter.id == state.self ? now : acked_at);
    }
    const std::size_t quorum = quorum_size(current_members(state));
    if (acks.size() < quorum) {
        return time_point{};
    }
    std::sort(acks.begin(), acks.end(), std::greater<>{});
    return acks[quorum - 1];
}

void advance_commit(group_state& state, effects& pending)
{
    std::vector<log_index> matches;
    for (const member& voter : current_members(state).members) {
        if (!voter.voter) {
            continue;
        }
        const auto found = state.peers.find(voter.id);
        const log_index match = found == state.peers.end() ? 0 : found->second.match;
        matches.push_back(voter.id == state.self ? state.synced : match);
    }
    const std::size_t quorum = quorum_size(current_members(state));
    if (matches.size() < quorum) {
        return;
    }
    std::sort(matches.begin(), matches.end(), std::greater<>{});
    const log_index quorum_match = matches[quorum - 1];
    if (quorum_match > state.commit && term_at(state, quorum_match) == state.term) {
        state.commit = quorum_match;
        collect_committed(state, pending);
    }
}

void become_leader(group_state& state, time_point now, effects& pending)
{
    state.role = role_type::leader;
    state.leader = state.self;
    state.votes.clear();
    state.peers.clear();
    state.leader_since = now;
    state.transfer_target = member_id{};
    pending.became_leader = true;
    propose(state, entry_kind::noop, {}, pending);
    state.settled_commit = last_index(state);
    state.next_settled_commit = last_index(state);
    state.settled_commit_due = now + state.settings.election_timeout / 2;
    for (const member& other : current_members(state).members) {
        if (other.id != state.self) {
            progress& peer = state.peers[other.id];
            peer.next = last_index(state);
            peer.tracked_since = now;
        }
    }
    broadcast_append(state, now, pending);
}

bool has_won_election(const group_state& state)
{
    std::size_t granted_votes = 0;
    for (const auto& [id, vote_granted] : state.votes) {
        granted_votes += (vote_granted && is_voter(state, id)) ? 1 : 0;
    }
    return granted_votes >= quorum_size(current_members(state));
}

void request_votes(group_state& state, message_kind kind, term_number term, bool transfer, effects& pending)
{
    for (const member& other : current_members(state).members) {
        if (!other.voter || other.id == state.self) {
            continue;
        }
        message request = make_message(state, kind, other.id);
        request.term = term;
        request.index = last_index(state);
        request.log_term = term_at(state, request.index);
        request.transfer = transfer;
        pending.messages.push_back(std::move(request));
    }
}

void start_election(group_state& state, time_point now, bool transfer, effects& pending)
{
    state.role = role_type::candidate;
    ++state.term;
    state.voted_for = state.self;
    state.leader = member_id{};
    pending.hard_state_changed = true;
    state.votes = {{state.self, true}};
    reset_election_timer(state, now);
    if (has_won_election(state)) {
        become_leader(state, now, pending);
        return;
    }
    request_votes(state, message_kind::vote_request, state.term, transfer, pending);
}

void start_pre_vote(group_state& state, time_point now, effects& pending)
{
    state.role = role_type::pre_candidate;
    state.leader = member_id{};
    state.votes = {{state.self, true}};
    reset_election_timer(state, now);
    if (has_won_election(state)) {
        start_election(state, now, false, pending);
        return;
    }
    request_votes(state, message_kind::pre_vote_request, state.term + 1, false, pending);
}

bool is_leader_active(const group_state& state, time_point now)
{
    if (state.role == role_type::leader) {
        return now - quorum_acked_at(state, now) < state.settings.election_timeout;
    }
    return now - state.last_leader_contact < state.settings.election_timeout;
}

bool is_log_up_to_date(const group_state& state, const message& request)
{
    const log_index own_last = last_index(state);
    const term_number own_term = term_at(state, own_last);
    return request.log_term > own_term || (request.log_term == own_term && request.index >= own_last);
}

void handle_pre_vote_request(group_state& state, const message& request, time_point now, effects& pending)
{
    message reply = make_message(state, message_kind::pre_vote_reply, request.from);
    const bool granted =
        request.term > state.term && is_log_up_to_date(state, request) && !is_leader_active(state, now);
    reply.reject = !granted;
    reply.term = granted ? request.term : state.term;
    pending.messages.push_back(std::move(reply));
}

void handle_vote_request(group_state& state, const message& request, time_point now, effects& pending)
{
    // Rejecting votes while the leader is active keeps its lease valid.
    if (!request.transfer && is_leader_active(state, now)) {
        return;
    }
    if (request.term > state.term) {
        become_follower(state, request.term, now, pending);
    }
    message reply = make_message(state, message_kind::vote_reply, request.from);
    const bool can_vote = !state.voted_for || state.voted_for == request.from;
    const bool granted = request.term == state.term && state.role == role_type::follower && can_vote &&
                         is_log_up_to_date(state, request);
    reply.reject = !granted;
    if (granted && state.voted_for != request.from) {
        state.voted_for = request.from;
        pending.hard_state_changed = true;
    }
    if (granted) {
        reset_election_timer(state, now);
    }
    pending.messages.push_back(std::move(reply));
}

void handle_vote_reply(group_state& state, const message& reply, time_point now, effects& pending)
{
    const bool is_pre_vote = reply.kind == message_kind::pre_vote_reply;
    if (reply.reject && reply.term > state.term) {
        become_follower(state, reply.term, now, pending);
        return;
    }
    const role_type expected_role = is_pre_vote ? role_type::pre_candidate : role_type::candidate;
    const term_number expected_term = is_pre_vote ? state.term + 1 : state.term;
    if (state.role != expected_role || (!reply.reject && reply.term != expected_term)) {
        return;
    }
    state.votes[reply.from] = !reply.reject;
    if (!has_won_election(state)) {
        return;
    }
    if (is_pre_vote) {
        start_election(state, now, false, pending);
        return;
    }
    become_leader(state, now, pending);
}

void accept_leader(group_state& state, const message& request, time_point now, effects& pending)
{
    if (request.term > state.term || state.role != role_type::follower) {
        become_follower(state, request.term, now, pending);
    }
    state.leader = request.from;
    state.last_leader_contact = now;
    reset_election_timer(state, now);
}

message make_append_reply(const group_state& state, const message& request)
{
    message reply = make_message(state, message_kind::append_reply, request.from);
    reply.sent_at = request.sent_at;
    return reply;
}

/// Appends the entries of a request that the log lacks, after removing conflicting ones. @return the index of
/// the last entry known to match the leader's log.
log_index merge_entries(group_state& state, const message& request, effects& pending)
{
    log_index match = request.index;
    for (const log_entry& entry : request.entries) {
        match = entry.index;
        if (entry.index <= state.base_index) {
            continue;
        }
        const term_number own_term = term_at(state, entry.index);
        if (own_term == entry.term) {
            continue;
        }
        if (own_term != 0) {
            truncate_log(state, entry.index - 1, pending);
        }
        append_entry(state, entry, pending);
    }
    return match;
}

void handle_append_request(group_state& state, const message& request, time_point now, effects& pending)
{
    message reply = make_append_reply(state, request);
    if (request.term < state.term) {
        reply.reject = true;
        pending.messages.push_back(std::move(reply));
        return;
    }
    accept_leader(state, request, now, pending);
    reply.term = state.term;
    const bool prefix_matches =
        request.index <= state.base_index || term_at(state, request.index) == request.log_term;
    if (!prefix_matches || request.index > last_index(state)) {
        reply.reject = true;
        reply.index = request.index;
        const log_index previous = request.index > 0 ? request.index - 1 : 0;
        reply.commit = std::max(state.commit,
                                std::min(last_index(state), previous)); // the leader resumes after this entry
        pending.messages.push_back(std::move(reply));
        return;
    }
    const log_index match = merge_entries(state, request, pending);
    reply.index = std::max(match, state.base_index);
    state.commit = std::max(state.commit, std::min(request.commit, match));
    reply.commit = state.commit;
    pending.messages.push_back(std::move(reply));
    collect_committed(state, pending);
}

void handle_append_reply(group_state& state, const message& reply, time_point now, effects& pending)
{
    if (reply.term > state.term) {
        become_follower(state, reply.term, now, pending);
        return;
    }
    if (state.role != role_type::leader || reply.term != state.term) {
        return;
    }
    const auto found = state.peers.find(reply.from);
    if (found == state.peers.end()) {
        return;
    }
    progress& peer = found->second;
    peer.acked_sent_at = std::max(peer.acked_sent_at, from_wire(reply.sent_at));
    if (reply.reject) {
        // Every message in flight after a rejected one is rejected as well. Only one of these replies sets
        // the next position; acting on each of them would send the same entries repeatedly.
        const bool is_relevant = !peer.probing || reply.index == peer.probe_index;
        if (reply.index > peer.match && is_relevant) {
            peer.next = std::max(peer.match, reply.commit) + 1;
            peer.probing = true;
            send_append(state, reply.from, peer, now, pending);
        }
        return;
    }
    peer.match = std::max(peer.match, reply.index);
    peer.known_commit = std::max(peer.known_commit, reply.commit != 0 ? reply.commit : reply.index);
    peer.next = std::max(peer.next, peer.match + 1);
    peer.snapshot_pending =
        peer.snapshot_pending && peer.match < peer.snapshot_index && peer.next <= state.base_index;
    peer.probing = false;
    advance_commit(state, pending);
    if (state.transfer_target == reply.from && peer.match == last_index(state)) {
        pending.immediate_messages.push_back(make_message(state, message_kind::timeout_now, reply.from));
    }
    if (peer.next <= last_index(state) && !peer.snapshot_pending) {
        send_append(state, reply.from, peer, now, pending);
    }
}

void handle_snapshot(group_state& state, const message& request, time_point now, effects& pending)
{
    message reply = make_append_reply(state, request);
    if (request.term < state.term || !request.state) {
        reply.reject = true;
        pending.messages.push_back(std::move(reply));
        return;
    }
    accept_leader(state, request, now, pending);
    reply.term = state.term;
    const bool is_needed = needs_snapshot(state, *request.state);
    if (request.state->index > state.commit && !is_needed) {
        // Keep the log: entries after the snapshot's index may have been acknowledged to the leader.
        state.commit = request.state->index;
        collect_committed(state, pending);
    }
    else if (is_needed) {
        state.newest_snapshot = request.state;
        state.entries.clear();
        state.base_index = request.state->index;
        state.base_term = request.state->term;
        state.commit = state.base_index;
        state.applied = state.base_index;
        state.synced = state.base_index;
        state.memberships = {{state.base_index, request.state->members}};
        pending.install = request.state;
        pending.appended.clear();
        pending.committed.clear();
        pending.truncate_after.reset();
    }
    reply.index = state.commit;
    reply.commit = state.commit;
    pending.messages.push_back(std::move(reply));
}

void handle_timeout_now(group_state& state, const message& request, time_point now, effects& pending)
{
    if (request.term == state.term && state.role == role_type::follower && is_voter(state, state.self)) {
        start_election(state, now, true, pending);
    }
}

/// @return the index up to which a snapshot replaces the log: lagging members get the entries after it.
log_index retained_base(const group_state& state, log_index snapshot_index)
{
    log_index base = snapshot_index;
    std::uint64_t bytes = 0;
    while (base > state.base_index && snapshot_index - base < state.settings.retained_entries) {
        bytes += find_entry(state, base)->payload.size();
        if (bytes > state.settings.retained_bytes) {
            break;
        }
        --base;
    }
    return base;
}

void tick_leader(group_state& state, time_point now, effects& pending)
{
    const time_point quorum_contact_at = std::max(quorum_acked_at(state, now), state.leader_since);
    if (now - quorum_contact_at >= state.settings.election_timeout) {
        become_follower(state, state.term, now, pending);
        return;
    }
    if (state.transfer_target && now >= state.transfer_deadline) {
        // The timeout_now message may still arrive, and the election it starts ignores leader leases. Step
        // down, so that the lease of this term is never used again.
        become_follower(state, state.term, now, pending);
        return;
    }
    if (now >= state.settled_commit_due) {
        state.settled_commit = std::max(state.settled_commit, state.next_settled_commit);
        state.next_settled_commit = state.commit;
        state.settled_commit_due = now + state.settings.election_timeout / 2;
    }
    if (now >= state.heartbeat_due) {
        broadcast_append(state, now, pending);
    }
}

} // namespace

bool needs_snapshot(const group_state& state, const snapshot& offered)
{
    return offered.index > state.commit && term_at(state, offered.index) != offered.term;
}

const membership& current_members(const group_state& state)
{
    assert(!state.memberships.empty());
    return state.memberships.back().value;
}

const member* find_member(const membership& members, member_id id)
{
    const auto found = std::find_if(members.members.begin(), members.members.end(),
                                    [id](const member& m) { return m.id == id; });
    return found == members.members.end() ? nullptr : &*found;
}

log_index last_index(const group_state& state)
{
    return state.base_index + state.entries.size();
}

term_number term_at(const group_state& state, log_index index)
{
    if (index == state.base_index) {
        return state.base_term;
    }
    const log_entry* entry = find_entry(state, index);
    return entry == nullptr ? 0 : entry->term;
}

group_state restore_state(member_id self, const options& settings, persisted_state disk,
                          const membership& initial_members, time_point now, std::uint64_t seed)
{
    group_state state;
    state.self = self;
    state.settings = settings;
    state.term = disk.term;
    state.voted_for = disk.voted_for;
    state.random_state = seed;
    state.newest_snapshot = disk.newest_snapshot;
    state.memberships = {{0, initial_members}};
    if (disk.newest_snapshot) {
        state.base_index = disk.newest_snapshot->index;
        state.base_term = disk.newest_snapshot->term;
        state.memberships = {{state.base_index, disk.newest_snapshot->members}};
    }
    for (log_entry& entry : disk.entries) {
        if (entry.index != last_index(state) + 1) {
            continue;
        }
        if (entry.kind == entry_kind::membership) {
            state.memberships.push_back({entry.index, decode_membership(entry.payload)});
        }
        state.entries.push_back(std::move(entry));
    }
    state.commit = state.base_index;
    state.applied = state.base_index;
    state.synced = last_index(state);
    state.last_leader_contact = now; // a lease granted before the restart stays valid
    reset_election_timer(state, now);
    if (voter_count(current_members(state)) == 1 && is_voter(state, self)) {
        state.election_due = now;
    }
    return state;
}

void step(group_state& state, const message& incoming, time_point now, effects& pending)
{
    if (incoming.to != state.self) {
        return;
    }
    switch (incoming.kind) {
    case message_kind::pre_vote_request:
        handle_pre_vote_request(state, incoming, now, pending);
        return;
    case message_kind::vote_request:
        handle_vote_request(state, incoming, now, pending);
        return;
    case message_kind::pre_vote_reply:
    case message_kind::vote_reply:
        handle_vote_reply(state, incoming, now, pending);
        return;
    case message_kind::append_request:
        handle_append_request(state, incoming, now, pending);
        return;
    case message_kind::append_reply:
        handle_append_reply(state, incoming, now, pending);
        return;
    case message_kind::snapshot_request:
        handle_snapshot(state, incoming, now, pending);
        return;
    case message_kind::timeout_now:
        handle_timeout_now(state, incoming, now, pending);
        return;
    }
}

void tick(group_state& state, time_point now, effects& pending)
{
    if (state.role == role_type::leader) {
        tick_leader(state, now, pending);
        return;
    }
    if (now < state.election_due || !is_voter(state, state.self)) {
        return;
    }
    start_pre_vote(state, now, pending);
}

bool has_work(const effects& pending)
{
    return !pending.messages.empty() || !pending.immediate_messages.empty() || !pending.appended.empty() ||
           !pending.committed.empty() || pending.hard_state_changed || pending.truncate_after.has_value() ||
           pending.install != nullptr || pending.became_leader || pending.lost_leadership;
}

time_point next_tick_at(const group_state& state)
{
    if (state.role == role_type::leader) {
        return state.transfer_target ? std::min(state.heartbeat_due, state.transfer_deadline)
                                     : state.heartbeat_due;
    }
    return is_voter(state, state.self) ? state.election_due : time_point::max();
}

log_index propose(group_state& state, entry_kind kind, std::string payload, effects& pending)
{
    if (state.role != role_type::leader || state.transfer_target) {
        return 0;
    }
    log_entry entry;
    entry.term = state.term;
    entry.index = last_index(state) + 1;
    entry.kind = kind;
    entry.payload = std::move(payload);
    append_entry(state, std::move(entry), pending);
    return last_index(state);
}

void replicate(group_state& state, time_point now, effects& pending)
{
    if (state.role != role_type::leader) {
        return;
    }
    for (const member& other : current_members(state).members) {
        if (other.id == state.self) {
            continue;
        }
        auto [found, inserted] = state.peers.try_emplace(other.id);
        if (inserted) {
            found->second.next = last_index(state);
            found->second.tracked_since = now;
        }
        const progress& peer = found->second;
        if (!peer.probing && peer.next <= last_index(state) &&
            peer.next <= peer.match + state.settings.max_inflight_entries) {
            send_append(state, other.id, found->second, now, pending);
        }
    }
}

void record_synced(group_state& state, log_index index, effects& pending)
{
    state.synced = std::max(state.synced, std::min(index, last_index(state)));
    if (state.role == role_type::leader) {
        advance_commit(state, pending);
    }
}

bool has_read_lease(const group_state& state, time_point now)
{
    if (state.role != role_type::leader || state.transfer_target ||
        term_at(state, state.commit) != state.term) {
        return false;
    }
    return now < quorum_acked_at(state, now) + holder_lease_time(state.settings.election_timeout);
}

bool transfer_leadership(group_state& state, time_point now, effects& pending)
{
    if (state.role != role_type::leader) {
        return false;
    }
    const member* target = nullptr;
    log_index target_match = 0;
    for (const member& other : current_members(state).members) {
        const auto found = state.peers.find(other.id);
        const bool is_eligible = other.voter && other.id != state.self && found != state.peers.end() &&
                                 is_recently_active(state, other.id, now);
        if (is_eligible && (target == nullptr || found->second.match > target_match)) {
            target = &other;
            target_match = found->second.match;
        }
    }
    if (target == nullptr) {
        return false;
    }
    state.transfer_target = target->id; // has_read_lease() is false from now on, before the election starts
    state.transfer_deadline = now + state.settings.election_timeout;
    if (target_match == last_index(state)) {
        pending.immediate_messages.push_back(make_message(state, message_kind::timeout_now, target->id));
    }
    return true;
}

void compact(group_state& state, std::shared_ptr<const snapshot> created)
{
    assert(created->index <= state.applied);
    const log_index new_base = retained_base(state, created->index);
    if (new_base > state.base_index) {
        state.base_term = term_at(state, new_base);
        state.entries.erase(state.entries.begin(),
                            state.entries.begin() + static_cast<std::ptrdiff_t>(new_base - state.base_index));
        state.base_index = new_base;
    }
    while (state.memberships.size() > 1 && state.memberships[1].index <= state.commit) {
        state.memberships.erase(state.memberships.begin());
    }
    state.newest_snapshot = std::move(created);
}

bool is_recently_active(const group_state& state, member_id id, time_point now)
{
    const auto found = state.peers.find(id);
    return found != state.peers.end() && now - found->second.acked_sent_at < state.settings.election_timeout;
}

} // namespace guavawick::consensus
