// Types of the consensus algorithm: replicated log, elections, membership and snapshots. No I/O.
//
// The algorithm is Raft (Ongaro and Ousterhout, 2014) with pre-vote, check-quorum, leader leases, learners
// and one membership change at a time.
#pragma once

#include "base/clock_type.hpp"
#include "base/id_type.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace guavawick::consensus {

using namespace std::chrono_literals;

using member_id = strong_number<struct member_tag>; ///< random id of one replica's disk
using term_number = std::uint64_t;
using log_index = std::uint64_t;

/// What a log entry holds.
enum class entry_kind : std::uint8_t { noop, command, membership };

/// One entry of the replicated log.
struct log_entry {
    term_number term = 0;               ///< term of the leader that appended it
    log_index index = 0;                ///< position, from 1
    entry_kind kind = entry_kind::noop; ///< what the payload is
    std::string payload;                ///< command or encoded membership
};

/// One member of a group.
struct member {
    member_id id;                 ///< id of its disk
    std::string name;             ///< the replica's name in the settings
    std::string endpoint;         ///< address of its link
    bool voter = false;           ///< learners are not counted
    log_index learner_target = 0; ///< a learner may vote once its synced log has reached this
    std::string data_centre = {}; ///< where it runs; empty where the settings list the replicas

    bool operator==(const member&) const = default;
};

/// The members of a group at one point of its log.
struct membership {
    std::vector<member> members; ///< voters and learners

    bool operator==(const membership&) const = default;
};

/// State of a group at one index, for replicas that are far behind.
struct snapshot {
    log_index index = 0;  ///< last entry that the state includes
    term_number term = 0; ///< term of that entry
    membership members;   ///< members at that entry
    std::string state;    ///< the state machine's bytes
};

/// Kind of a message between members.
enum class message_kind : std::uint8_t {
    pre_vote_request,
    pre_vote_reply,
    vote_request,
    vote_reply,
    append_request,
    append_reply,
    snapshot_request,
    campaign_now,
};

/// A message between two members of a group. Which fields count depends on the kind.
struct message {
    message_kind kind = message_kind::append_request;
    member_id from;                 ///< sender
    member_id to;                   ///< receiver
    term_number term = 0;           ///< sender's term, or the term asked for by a candidate
    log_index index = 0;            ///< entry before `entries`; last entry of a candidate; match of a reply
    term_number log_term = 0;       ///< term of the entry at `index`
    log_index commit = 0;           ///< the leader's commit index
    bool reject = false;            ///< reply: the request was refused
    bool transfer = false;          ///< vote request: the leader asked for this election
    std::int64_t sent_at = 0;       ///< the leader's own clock, echoed by the reply; for its lease
    std::vector<log_entry> entries; ///< entries to append
    std::shared_ptr<const snapshot> state; ///< state to install
};

/// Timing and batching of a group.
struct options {
    duration election_timeout = 1000ms;    ///< silence of the leader after which an election may start
    duration heartbeat = 150ms;            ///< interval between a leader's messages
    std::size_t max_batch_entries = 512;   ///< entries in one message
    std::size_t max_batch_bytes = 1 << 20; ///< bytes of payload in one message
    log_index max_unanswered = 2048;       ///< entries sent ahead of a member's answers: four full batches
    log_index kept_entries = 2000;         ///< entries kept behind a snapshot for members that lag
};

/// Role of a member.
enum class role_type : std::uint8_t { follower, pre_candidate, candidate, leader };

/// What a leader knows of another member.
struct progress {
    log_index match = 0;           ///< last entry known to be synced there
    log_index next = 1;            ///< next entry to send
    time_point acked_sent_at{};    ///< when the last answered message was sent
    time_point snapshot_sent_at{}; ///< when a snapshot was last sent
    bool snapshot_pending = false; ///< a snapshot is on its way
    bool probing = false;          ///< it refused entries: nothing is sent ahead until it accepts a position
    log_index probe_index = 0;     ///< the position that was last asked about
};

/// A membership and the entry that brought it.
struct indexed_membership {
    log_index index = 0; ///< entry that brought it; 0 for the first
    membership value;
};

/// Everything that one member knows about one group.
struct group_state {
    member_id self;
    options settings;
    role_type role = role_type::follower;
    term_number term = 0;
    member_id voted_for;
    member_id leader;                            ///< leader of the current term, if known
    std::vector<indexed_membership> memberships; ///< newest last; older ones for a cut of the log
    log_index base_index = 0;                    ///< entries up to here were dropped
    term_number base_term = 0;
    std::deque<log_entry> entries; ///< entries after `base_index`
    log_index commit = 0;
    log_index applied = 0;
    log_index synced = 0; ///< last own entry on disk
    std::shared_ptr<const snapshot> newest_snapshot;
    std::map<member_id, progress> peers; ///< leader only
    std::map<member_id, bool> votes;     ///< candidates only
    time_point leader_seen_at{};         ///< last message of the leader, or start of the process
    time_point election_due{};
    time_point heartbeat_due{};
    time_point quorum_checked_at{}; ///< start of the leader's term, for check-quorum
    member_id transfer_to;          ///< hand-over under way
    time_point transfer_until{};
    std::uint64_t random = 1; ///< state of the generator of election delays
};

/// What the driver has to do after a step, in this order: truncate, append, hard state, sync, send, install,
/// apply.
struct effects {
    std::vector<message> messages;           ///< to send after the sync
    std::vector<message> early_messages;     ///< to send at once; nothing of them depends on the sync
    bool hard_state_changed = false;         ///< term or vote must be synced
    std::optional<log_index> truncate_after; ///< drop own entries after this one first
    std::vector<log_entry> appended;         ///< to write and sync
    std::vector<log_entry> committed;        ///< to apply, in order
    std::shared_ptr<const snapshot> install; ///< state to take over before `committed`
    bool became_leader = false;
    bool lost_leadership = false;
};

} // namespace guavawick::consensus
