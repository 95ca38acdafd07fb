// Simulated consensus group with messages, disks and time controlled by the test.
#pragma once

#include "consensus/consensus_func.hpp"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace guavawick::tests {

/// One replica of a fake cluster: its state in memory and on disk.
struct fake_member {
    std::string name;
    consensus::member_id id;
    consensus::group_state state;
    consensus::persisted_state disk;  ///< data that survives a crash
    std::vector<std::string> applied; ///< payloads after the snapshot base
    bool running = true;
    bool paused = false;
    time_point paused_until{};
};

/// A proposed command and its log position.
struct fake_proposal {
    consensus::log_index index = 0;
    consensus::term_number term = 0;
    std::string payload;
};

/// A cluster that a test drives step by step. A failed check throws through Boost.Test, which reports the
/// seed from the test's context.
struct fake_cluster {
    explicit fake_cluster(std::uint64_t random_seed, std::size_t member_count);

    consensus::options settings; ///< of every member from its next restart on
    bool is_managed = false;     ///< the test changes the members; otherwise each leader repairs its group
    std::uint64_t random;
    time_point now{std::chrono::hours(1)};
    std::vector<fake_member> members;
    std::deque<consensus::message> network;
    std::map<consensus::term_number, consensus::member_id> leaders; ///< by term
    std::map<consensus::log_index, std::string> committed;          ///< first payload seen at each index
    std::map<consensus::log_index, std::string> acknowledged; ///< by index; reported to a client as committed
    std::map<consensus::log_index, fake_proposal> proposals;
    consensus::log_index highest_acknowledged = 0;
    std::uint64_t steps_per_crash = 0; ///< one step in this many crashes before the sync; 0: none
    std::uint64_t next_payload = 1;
    std::uint64_t next_id = 100;
    std::uint64_t elections = 0;
    std::uint64_t lost_disks = 0;
    std::uint64_t reads = 0;

    /// @return a random number below `limit`.
    std::uint64_t random_below(std::uint64_t limit);
    /// @return whether the current step ends in a crash, at random.
    bool draw_crash();
    /// Carries out the effects of a step. @param crash the member restarts before its disk is synced.
    void carry_out(fake_member& member, consensus::effects& pending, bool crash);
    /// Delivers, drops or duplicates one message picked at random. @param loss_percent share of dropped
    /// messages.
    void deliver_one(std::uint64_t loss_percent);
    /// Delivers all messages in flight.
    void deliver_all();
    /// Runs a member's timers and, at random, takes a snapshot.
    void tick(fake_member& member);
    /// Proposes a payload if the member is the leader.
    void propose(fake_member& member);
    /// Restarts a member from its disk.
    void restart(fake_member& member);
    /// Erases a member's disk and restarts it blank, with a new id.
    void lose_disk(fake_member& member);
    /// @return whether a quorum of the voters in `checked` have intact disks, not counting `excluded`.
    [[nodiscard]] bool has_quorum_without(const consensus::membership& checked,
                                          consensus::member_id excluded) const;
    /// @return whether every membership that may still apply keeps a quorum without this member's disk.
    [[nodiscard]] bool can_lose_disk(const fake_member& member) const;
    /// Adds replicas that are not members of the group to it as learners.
    void add_missing_members();
    /// @return the running member that holds the leader lease, or nullptr.
    fake_member* find_lease_holder();
    /// Advances time without faults.
    void advance(duration span);
    /// @return one line per member, for failure messages.
    [[nodiscard]] std::string describe() const;
    /// Runs without faults until all replicas are members and have applied the same entries as the leader.
    /// @return false if that takes more than 3000 rounds.
    bool run_until_stable();
    /// Checks that every read under a leader lease would see all acknowledged entries.
    void check_invariants();
};

} // namespace guavawick::tests
