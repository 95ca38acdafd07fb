// Elections, replication, leases and snapshots.
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
    const duration extra{static_cast<std::int64_t>(next_random(state.random) % (timeout + 1))};
    state.election_due = now + state.settings.election_timeout + extra;
}

void become_follower(group_state& state, term_number term, time_point now, effects& out)
{
    if (state.role == role_type::leader) {
        out.lost_leadership = true;
    }
    if (term > state.term) {
        state.term = term;
        state.voted_for = member_id{};
        state.leader = member_id{};
        out.hard_state_changed = true;
    }
    if (state.role != role_type::follower) {
        state.leader = member_id{};
    }
    state.role = role_type::follower;
    state.peers.clear();
    state.votes.clear();
    state.transfer_to = member_id{};
    reset_election_timer(state, now);
}

message make_message(const group_state& state, message_kind kind, member_id to)
{
    message made;
    made.kind = kind;
    made.from = state.self;
    made.to = to;
    made.term = state.term;
    return made;
}

void append_own(group_state& state, log_entry entry, effects& out)
{
    if (entry.kind == entry_kind::membership) {
        state.memberships.push_back({entry.index, decode_membership(entry.payload)});
    }
    out.appended.push_back(entry);
    state.entries.push_back(std::move(entry));
}

void truncate_own(group_state& state, log_index keep, effects& out)
{
    assert(keep >= state.commit);
    while (last_index(state) > keep) {
        state.entries.pop_back();
    }
    while (state.memberships.size() > 1 && state.memberships.back().index > keep) {
        state.memberships.pop_back();
    }
    state.synced = std::min(state.synced, keep);
    out.truncate_after = std::min(out.truncate_after.value_or(keep), keep);
    std::erase_if(out.appended, [keep](const log_entry& entry) { return entry.index > keep; });
}

void collect_committed(group_state& state, effects& out)
{
    while (state.applied < state.commit) {
        const log_entry* entry = find_entry(state, state.applied + 1);
        assert(entry != nullptr);
        out.committed.push_back(*entry);
        ++state.applied;
    }
}

void send_snapshot(group_state& state, member_id to, progress& peer, time_point now, effects& out)
{
    const bool resend = now - peer.snapshot_sent_at >= state.settings.election_timeout;
    if (!state.newest_snapshot || (peer.snapshot_pending && !resend)) {
        return;
    }
    message made = make_message(state, message_kind::snapshot_request, to);
    made.state = state.newest_snapshot;
    made.index = state.newest_snapshot->index;
    made.sent_at = to_wire(now);
    peer.snapshot_pending = true;
    peer.snapshot_sent_at = now;
    out.early_messages.push_back(std::move(made));
}

void fill_batch(const group_state& state, log_index from, message& into)
{
    std::size_t bytes = 0;
    for (log_index index = from; index <= last_index(state); ++index) {
        const log_entry* entry = find_entry(state, index);
        bytes += entry->payload.size();
        const bool full =
            into.entries.size() >= state.settings.max_batch_entries || bytes > state.settings.max_batch_bytes;
        if (full && !into.entries.empty()) {
            return;
        }
        into.entries.push_back(*entry);
    }
}

void send_append(group_state& state, member_id to, progress& peer, time_point now, effects& out)
{
    if (peer.next <= state.base_index) {
        send_snapshot(state, to, peer, now, out);
        return;
    }
    message made = make_message(state, message_kind::append_request, to);
    made.index = peer.next - 1;
    made.log_term = term_at(state, made.index);
    made.commit = state.commit;
    made.sent_at = to_wire(now);
    if (peer.probing) {
        peer.probe_index = made.index;
    }
    else if (peer.next <= peer.match + state.settings.max_unanswered) {
        fill_batch(state, peer.next, made);
        peer.next += made.entries.size();
    }
    out.early_messages.push_back(std::move(made));
}

void broadcast_append(group_state& state, time_point now, effects& out)
{
    for (const member& other : current_members(state).members) {
        if (other.id == state.self) {
            continue;
        }
        auto [found, inserted] = state.peers.try_emplace(other.id);
        if (inserted) {
            found->second.next = last_index(state) + 1;
        }
        send_append(state, other.id, found->second, now, out);
    }
    state.heartbeat_due = now + state.settings.heartbeat;
}

/// The newest sending time of which a quorum of voters, this member included, has answered.
time_point quorum_ack(const group_state& state, time_point now)
{
    std::vector<time_point> acks;
    for (const member& voter : current_members(state).members) {
        if (!voter.voter) {
            continue;
        }
        const auto found = state.peers.find(voter.id);
        const time_point other = found == state.peers.end() ? time_point{} : found->second.acked_sent_at;
        acks.push_back(voter.id == state.self ? now : other);
    }
    const std::size_t quorum = quorum_size(current_members(state));
    if (acks.size() < quorum) {
        return time_point{};
    }
    std::sort(acks.begin(), acks.end(), std::greater<>{});
    return acks[quorum - 1];
}

void advance_commit(group_state& state, effects& out)
{
    std::vector<log_index> matches;
    for (const member& voter : current_members(state).members) {
        if (!voter.voter) {
            continue;
        }
        const auto found = state.peers.find(voter.id);
        const log_index other = found == state.peers.end() ? 0 : found->second.match;
        matches.push_back(voter.id == state.self ? state.synced : other);
    }
    const std::size_t quorum = quorum_size(current_members(state));
    if (matches.size() < quorum) {
        return;
    }
    std::sort(matches.begin(), matches.end(), std::greater<>{});
    const log_index reached = matches[quorum - 1];
    if (reached > state.commit && term_at(state, reached) == state.term) {
        state.commit = reached;
        collect_committed(state, out);
    }
}

void become_leader(group_state& state, time_point now, effects& out)
{
    state.role = role_type::leader;
    state.leader = state.self;
    state.votes.clear();
    state.peers.clear();
    state.quorum_checked_at = now;
    state.transfer_to = member_id{};
    out.became_leader = true;
    propose(state, entry_kind::noop, {}, out);
    for (const member& other : current_members(state).members) {
        if (other.id != state.self) {
            state.peers[other.id].next = last_index(state);
        }
    }
    broadcast_append(state, now, out);
}

bool has_won(const group_state& state)
{
    std::size_t granted = 0;
    for (const auto& [id, yes] : state.votes) {
        granted += (yes && is_voter(state, id)) ? 1 : 0;
    }
    return granted >= quorum_size(current_members(state));
}

void ask_for_votes(group_state& state, message_kind kind, term_number term, bool transfer, effects& out)
{
    for (const member& other : current_members(state).members) {
        if (!other.voter || other.id == state.self) {
            continue;
        }
        message made = make_message(state, kind, other.id);
        made.term = term;
        made.index = last_index(state);
        made.log_term = term_at(state, made.index);
        made.transfer = transfer;
        out.messages.push_back(std::move(made));
    }
}

void start_election(group_state& state, time_point now, bool transfer, effects& out)
{
    state.role = role_type::candidate;
    ++state.term;
    state.voted_for = state.self;
    state.leader = member_id{};
    out.hard_state_changed = true;
    state.votes = {{state.self, true}};
    reset_election_timer(state, now);
    if (has_won(state)) {
        become_leader(state, now, out);
        return;
    }
    ask_for_votes(state, message_kind::vote_request, state.term, transfer, out);
}

void start_pre_vote(group_state& state, time_point now, effects& out)
{
    state.role = role_type::pre_candidate;
    state.leader = member_id{};
    state.votes = {{state.self, true}};
    reset_election_timer(state, now);
    if (has_won(state)) {
        start_election(state, now, false, out);
        return;
    }
    ask_for_votes(state, message_kind::pre_vote_request, state.term + 1, false, out);
}

bool leader_is_recent(const group_state& state, time_point now)
{
    if (state.role == role_type::leader) {
        return now - quorum_ack(state, now) < state.settings.election_timeout;
    }
    return now - state.leader_seen_at < state.settings.election_timeout;
}

bool log_is_recent(const group_state& state, const message& request)
{
    const log_index own_last = last_index(state);
    const term_number own_term = term_at(state, own_last);
    return request.log_term > own_term || (request.log_term == own_term && request.index >= own_last);
}

void handle_pre_vote_request(group_state& state, const message& request, time_point now, effects& out)
{
    message reply = make_message(state, message_kind::pre_vote_reply, request.from);
    const bool granted =
        request.term > state.term && log_is_recent(state, request) && !leader_is_recent(state, now);
    reply.reject = !granted;
    reply.term = granted ? request.term : state.term;
    out.messages.push_back(std::move(reply));
}

void handle_vote_request(group_state& state, const message& request, time_point now, effects& out)
{
    // A promise given to a living leader is kept: its lease rests on it.
    if (!request.transfer && leader_is_recent(state, now)) {
        return;
    }
    if (request.term > state.term) {
        become_follower(state, request.term, now, out);
    }
    message reply = make_message(state, message_kind::vote_reply, request.from);
    const bool free_to_vote = !state.voted_for || state.voted_for == request.from;
    const bool granted = request.term == state.term && state.role == role_type::follower && free_to_vote &&
                         log_is_recent(state, request);
    reply.reject = !granted;
    if (granted && state.voted_for != request.from) {
        state.voted_for = request.from;
        out.hard_state_changed = true;
    }
    if (granted) {
        reset_election_timer(state, now);
    }
    out.messages.push_back(std::move(reply));
}

void handle_vote_reply(group_state& state, const message& reply, time_point now, effects& out)
{
    const bool pre = reply.kind == message_kind::pre_vote_reply;
    if (reply.reject && reply.term > state.term) {
        become_follower(state, reply.term, now, out);
        return;
    }
    const role_type wanted = pre ? role_type::pre_candidate : role_type::candidate;
    const term_number asked = pre ? state.term + 1 : state.term;
    if (state.role != wanted || (!reply.reject && reply.term != asked)) {
        return;
    }
    state.votes[reply.from] = !reply.reject;
    if (!has_won(state)) {
        return;
    }
    if (pre) {
        start_election(state, now, false, out);
        return;
    }
    become_leader(state, now, out);
}

void follow(group_state& state, const message& request, time_point now, effects& out)
{
    if (request.term > state.term || state.role != role_type::follower) {
        become_follower(state, request.term, now, out);
    }
    state.leader = request.from;
    state.leader_seen_at = now;
    reset_election_timer(state, now);
}

message make_append_reply(const group_state& state, const message& request)
{
    message reply = make_message(state, message_kind::append_reply, request.from);
    reply.sent_at = request.sent_at;
    return reply;
}

/// Appends what is new of a request. @return the last entry that is known to equal the leader's.
log_index merge_entries(group_state& state, const message& request, effects& out)
{
    log_index matched = request.index;
    for (const log_entry& entry : request.entries) {
        matched = entry.index;
        if (entry.index <= state.base_index) {
            continue;
        }
        const term_number own_term = term_at(state, entry.index);
        if (own_term == entry.term) {
            continue;
        }
        if (own_term != 0) {
            truncate_own(state, entry.index - 1, out);
        }
        append_own(state, entry, out);
    }
    return matched;
}

void handle_append_request(group_state& state, const message& request, time_point now, effects& out)
{
    message reply = make_append_reply(state, request);
    if (request.term < state.term) {
        reply.reject = true;
        out.messages.push_back(std::move(reply));
        return;
    }
    follow(state, request, now, out);
    reply.term = state.term;
    const bool known = request.index <= state.base_index || term_at(state, request.index) == request.log_term;
    if (!known || request.index > last_index(state)) {
        reply.reject = true;
        reply.index = request.index;
        const log_index before = request.index > 0 ? request.index - 1 : 0;
        reply.commit =
            std::max(state.commit, std::min(last_index(state), before)); // where the leader should go on
        out.messages.push_back(std::move(reply));
        return;
    }
    const log_index matched = merge_entries(state, request, out);
    reply.index = std::max(matched, state.base_index);
    state.commit = std::max(state.commit, std::min(request.commit, matched));
    out.messages.push_back(std::move(reply));
    collect_committed(state, out);
}

void handle_append_reply(group_state& state, const message& reply, time_point now, effects& out)
{
    if (reply.term > state.term) {
        become_follower(state, reply.term, now, out);
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
        // Everything that was sent ahead is refused too. One answer decides where to go on; each of the
        // others would send the same entries once more.
        const bool news = !peer.probing || reply.index == peer.probe_index;
        if (reply.index > peer.match && news) {
            peer.next = std::max(peer.match, reply.commit) + 1;
            peer.probing = true;
            send_append(state, reply.from, peer, now, out);
        }
        return;
    }
    peer.snapshot_pending = false;
    peer.match = std::max(peer.match, reply.index);
    peer.next = std::max(peer.next, peer.match + 1);
    peer.probing = false;
    advance_commit(state, out);
    if (state.transfer_to == reply.from && peer.match == last_index(state)) {
        out.early_messages.push_back(make_message(state, message_kind::campaign_now, reply.from));
    }
    if (peer.next <= last_index(state)) {
        send_append(state, reply.from, peer, now, out);
    }
}

void handle_snapshot(group_state& state, const message& request, time_point now, effects& out)
{
    message reply = make_append_reply(state, request);
    if (request.term < state.term || !request.state) {
        reply.reject = true;
        out.messages.push_back(std::move(reply));
        return;
    }
    follow(state, request, now, out);
    reply.term = state.term;
    const bool has_entry = term_at(state, request.state->index) == request.state->term;
    if (request.state->index > state.commit && has_entry) {
        // What follows in the own log may have been acknowledged, so the log stays.
        state.commit = request.state->index;
        collect_committed(state, out);
    }
    else if (request.state->index > state.commit) {
        state.newest_snapshot = request.state;
        state.entries.clear();
        state.base_index = request.state->index;
        state.base_term = request.state->term;
        state.commit = state.base_index;
        state.applied = state.base_index;
        state.synced = state.base_index;
        state.memberships = {{state.base_index, request.state->members}};
        out.install = request.state;
        out.appended.clear();
        out.committed.clear();
        out.truncate_after.reset();
    }
    reply.index = state.commit;
    out.messages.push_back(std::move(reply));
}

void handle_campaign_now(group_state& state, const message& request, time_point now, effects& out)
{
    if (request.term == state.term && state.role == role_type::follower && is_voter(state, state.self)) {
        start_election(state, now, true, out);
    }
}

void tick_leader(group_state& state, time_point now, effects& out)
{
    const time_point reached = std::max(quorum_ack(state, now), state.quorum_checked_at);
    if (now - reached >= state.settings.election_timeout) {
        become_follower(state, state.term, now, out);
        return;
    }
    if (state.transfer_to && now >= state.transfer_until) {
        // The order to campaign may still arrive and overrides leases, so this term's lease is never used
        // again.
        become_follower(state, state.term, now, out);
        return;
    }
    if (now >= state.heartbeat_due) {
        broadcast_append(state, now, out);
    }
}

} // namespace

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

group_state make_state(member_id self, const options& settings, const persisted_state& disk,
                       const membership& first_members, time_point now, std::uint64_t seed)
{
    group_state state;
    state.self = self;
    state.settings = settings;
    state.term = disk.term;
    state.voted_for = disk.voted_for;
    state.random = seed;
    state.newest_snapshot = disk.newest_snapshot;
    state.memberships = {{0, first_members}};
    if (disk.newest_snapshot) {
        state.base_index = disk.newest_snapshot->index;
        state.base_term = disk.newest_snapshot->term;
        state.memberships = {{state.base_index, disk.newest_snapshot->members}};
    }
    for (const log_entry& entry : disk.entries) {
        if (entry.index != last_index(state) + 1) {
            continue;
        }
        if (entry.kind == entry_kind::membership) {
            state.memberships.push_back({entry.index, decode_membership(entry.payload)});
        }
        state.entries.push_back(entry);
    }
    state.commit = state.base_index;
    state.applied = state.base_index;
    state.synced = last_index(state);
    state.leader_seen_at = now; // promises given before the restart are kept
    reset_election_timer(state, now);
    if (voter_count(current_members(state)) == 1 && is_voter(state, self)) {
        state.election_due = now;
    }
    return state;
}

void step(group_state& state, const message& received, time_point now, effects& out)
{
    if (received.to != state.self) {
        return;
    }
    switch (received.kind) {
    case message_kind::pre_vote_request:
        handle_pre_vote_request(state, received, now, out);
        return;
    case message_kind::vote_request:
        handle_vote_request(state, received, now, out);
        return;
    case message_kind::pre_vote_reply:
    case message_kind::vote_reply:
        handle_vote_reply(state, received, now, out);
        return;
    case message_kind::append_request:
        handle_append_request(state, received, now, out);
        return;
    case message_kind::append_reply:
        handle_append_reply(state, received, now, out);
        return;
    case message_kind::snapshot_request:
        handle_snapshot(state, received, now, out);
        return;
    case message_kind::campaign_now:
        handle_campaign_now(state, received, now, out);
        return;
    }
}

void tick(group_state& state, time_point now, effects& out)
{
    if (state.role == role_type::leader) {
        tick_leader(state, now, out);
        return;
    }
    if (now < state.election_due || !is_voter(state, state.self)) {
        return;
    }
    start_pre_vote(state, now, out);
}

log_index propose(group_state& state, entry_kind kind, std::string payload, effects& out)
{
    if (state.role != role_type::leader || state.transfer_to) {
        return 0;
    }
    log_entry entry;
    entry.term = state.term;
    entry.index = last_index(state) + 1;
    entry.kind = kind;
    entry.payload = std::move(payload);
    append_own(state, std::move(entry), out);
    return last_index(state);
}

void flush(group_state& state, time_point now, effects& out)
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
        }
        const progress& peer = found->second;
        if (!peer.probing && peer.next <= last_index(state) &&
            peer.next <= peer.match + state.settings.max_unanswered) {
            send_append(state, other.id, found->second, now, out);
        }
    }
}

void note_synced(group_state& state, log_index index, effects& out)
{
    state.synced = std::max(state.synced, std::min(index, last_index(state)));
    if (state.role == role_type::leader) {
        advance_commit(state, out);
    }
}

bool may_read(const group_state& state, time_point now)
{
    if (state.role != role_type::leader || state.transfer_to || term_at(state, state.commit) != state.term) {
        return false;
    }
    return now < quorum_ack(state, now) + holder_lease(state.settings.election_timeout);
}

bool transfer_leadership(group_state& state, time_point now, effects& out)
{
    if (state.role != role_type::leader) {
        return false;
    }
    const member* best = nullptr;
    log_index best_match = 0;
    for (const member& other : current_members(state).members) {
        const auto found = state.peers.find(other.id);
        const bool able = other.voter && other.id != state.self && found != state.peers.end() &&
                          in_touch(state, other.id, now);
        if (able && (best == nullptr || found->second.match > best_match)) {
            best = &other;
            best_match = found->second.match;
        }
    }
    if (best == nullptr) {
        return false;
    }
    state.transfer_to = best->id; // from here on may_read is false: the lease is given up first
    state.transfer_until = now + state.settings.election_timeout;
    if (best_match == last_index(state)) {
        out.early_messages.push_back(make_message(state, message_kind::campaign_now, best->id));
    }
    return true;
}

void compact(group_state& state, std::shared_ptr<const snapshot> taken)
{
    assert(taken->index <= state.applied);
    const log_index kept = state.settings.kept_entries;
    const log_index new_base = taken->index > kept ? taken->index - kept : 0;
    if (new_base > state.base_index) {
        state.base_term = term_at(state, new_base);
        state.entries.erase(state.entries.begin(),
                            state.entries.begin() + static_cast<std::ptrdiff_t>(new_base - state.base_index));
        state.base_index = new_base;
    }
    while (state.memberships.size() > 1 && state.memberships[1].index <= state.commit) {
        state.memberships.erase(state.memberships.begin());
    }
    state.newest_snapshot = std::move(taken);
}

bool in_touch(const group_state& state, member_id id, time_point now)
{
    const auto found = state.peers.find(id);
    return found != state.peers.end() && now - found->second.acked_sent_at < state.settings.election_timeout;
}

} // namespace guavawick::consensus
