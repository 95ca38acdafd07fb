// Types of the consensus algorithm: replicated log, elections, membership and snapshots. No I/O.
//
// The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum, leader leases, learners
// and one membership change at a time.
#pragma once

#include "base/clock_type.hpp"
#include "base/id_type.hpp"
#include "base/shared_bytes.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace guavawick::consensus {

using namespace std::chrono_literals;

using member_id = strong_number<struct member_id_tag>; ///< random id of a replica's data folder
using term_number = std::uint64_t;
using log_index = std::uint64_t;

/// Type of a log entry.
enum class entry_kind : std::uint8_t { noop, command, membership };

/// One entry of the replicated log.
struct log_entry {
    term_number term = 0;               ///< term of the leader that appended it
    log_index index = 0;                ///< position in the log; the first is 1
    entry_kind kind = entry_kind::noop; ///< type of the payload
    shared_bytes payload;               ///< encoded command or membership
};

/// One member of a group.
struct member {
    member_id id;                 ///< id of its data folder
    std::string name;             ///< the replica's name in the settings
    std::string endpoint;         ///< address of its link
    bool voter = false;           ///< false for a learner, which does not count towards the quorum
    log_index learner_target = 0; ///< index that a learner's synced log must reach before its promotion
    std::string data_centre = {}; ///< its data centre; empty if the settings list the replicas
    bool auxiliary = false;       ///< it adds to the group's redundancy only; no client contacts it at first

    bool operator==(const member&) const = default;
};

/// The members of a group as of one log entry.
struct membership {
    std::vector<member> members; ///< voters and learners

    bool operator==(const membership&) const = default;
};

/// State of a group as of one log index. Replaces the entries up to it, on disk and for lagging replicas.
struct snapshot {
    log_index index = 0;             ///< last entry included in the state
    term_number term = 0;            ///< term of that entry
    membership members;              ///< members as of that entry
    std::string state;               ///< encoded state of the state machine; empty in an offer
    std::uint64_t offered_bytes = 0; ///< offer to another member: size of the state that it has to query
};

/// Type of a message between members.
enum class message_kind : std::uint8_t {
    pre_vote_request,
    pre_vote_reply,
    vote_request,
    vote_reply,
    append_request,
    append_reply,
    snapshot_request,
    timeout_now, ///< leadership transfer: the receiver starts an election at once
};

/// A message between two members of a group. The kind determines which fields are used.
struct message {
    message_kind kind = message_kind::append_request;
    member_id from;           ///< sender
    member_id to;             ///< receiver
    term_number term = 0;     ///< sender's term, or the term a candidate wants votes for
    log_index index = 0;      ///< entry before `entries`; a candidate's last entry; a reply's match index
    term_number log_term = 0; ///< term of the entry at `index`
    log_index commit = 0;     ///< sender's commit index, 0 in replies of version 0.1.0; in a rejection, the
                              ///< entry after which to resume
    bool reject = false;      ///< reply: the request was rejected
    bool transfer = false;    ///< vote request: the leader initiated this election
    std::int64_t sent_at = 0; ///< ticks of the leader's clock, echoed in the reply to renew its lease
    std::vector<log_entry> entries;        ///< entries to append
    std::shared_ptr<const snapshot> state; ///< snapshot to install
};

/// Timing and batching options of a group.
struct options {
    duration election_timeout = 1000ms;    ///< time without leader contact after which an election may start
    duration heartbeat = 150ms;            ///< interval of the leader's heartbeats
    std::size_t max_batch_entries = 512;   ///< entries per message
    std::size_t max_batch_bytes = 1 << 20; ///< payload bytes per message
    log_index max_inflight_entries = 2048; ///< unacknowledged entries per member: four full batches
    log_index retained_entries = 2000;     ///< entries kept before a snapshot's index for lagging members
    std::uint64_t retained_bytes = 1U << 30U; ///< payload bytes of these entries at most
};

/// Role of a member.
enum class role_type : std::uint8_t { follower, pre_candidate, candidate, leader };

/// Replication state of another member, kept by the leader.
struct progress {
    log_index match = 0;           ///< last entry known to be synced by the member
    log_index known_commit = 0;    ///< last entry that the member is known to regard as committed
    log_index next = 1;            ///< next entry to send
    time_point acked_sent_at{};    ///< send time of the newest message that it acknowledged
    time_point tracked_since{};    ///< when this leader was elected, or sent the member its first message
    time_point snapshot_sent_at{}; ///< when a snapshot was last sent
    bool snapshot_pending = false; ///< a snapshot was sent and not yet acknowledged
    log_index snapshot_index = 0;  ///< index of that snapshot
    bool probing = false;          ///< it rejected entries: no entries are sent until it accepts a position
    log_index probe_index = 0;     ///< the position that was last probed
};

/// A membership and the log entry that contains it.
struct indexed_membership {
    log_index index = 0; ///< entry that contains it; 0 for the initial membership
    membership value;
};

/// Consensus state of one member of one group.
struct group_state {
    member_id self;
    options settings;
    role_type role = role_type::follower;
    term_number term = 0;
    member_id voted_for;
    member_id leader;                            ///< leader of the current term, if known
    std::vector<indexed_membership> memberships; ///< newest last; older ones apply again after a truncation
    log_index base_index = 0;                    ///< last entry removed by compaction
    term_number base_term = 0;
    std::deque<log_entry> entries; ///< entries after `base_index`
    log_index commit = 0;
    log_index applied = 0;
    log_index synced = 0; ///< last log entry synced to this member's disk
    std::shared_ptr<const snapshot> newest_snapshot;
    std::map<member_id, progress> peers; ///< leader only
    std::map<member_id, bool> votes;     ///< candidates only
    time_point last_leader_contact{};    ///< when the leader's last message arrived, or process start
    time_point election_due{};
    time_point heartbeat_due{};
    log_index settled_commit = 0;      ///< leader only: the commit index up to one election timeout ago
    log_index next_settled_commit = 0; ///< leader only: the commit index when `settled_commit` was set
    time_point settled_commit_due{};   ///< leader only: when `settled_commit` is next set
    time_point leader_since{};         ///< when this member became leader; start of check-quorum
    member_id transfer_target;         ///< receiver of a leadership transfer in progress
    time_point transfer_deadline{};
    std::uint64_t random_state = 1; ///< state of the random generator for election timeouts
};

/// What the driver must do after a step. Order: send `immediate_messages`, truncate, append, write the hard
/// state, sync, send `messages`, install, apply.
struct effects {
    std::vector<message> messages;           ///< to send once the sync is complete
    std::vector<message> immediate_messages; ///< to send at once: they do not depend on the sync
    bool hard_state_changed = false;         ///< the term or the vote has changed and must be synced
    std::optional<log_index> truncate_after; ///< remove log entries after this one before appending
    std::vector<log_entry> appended;         ///< to write and sync
    std::vector<log_entry> committed;        ///< to apply, in log order
    std::shared_ptr<const snapshot> install; ///< snapshot to install before `committed` is applied
    bool became_leader = false;
    bool lost_leadership = false;
};

} // namespace guavawick::consensus
