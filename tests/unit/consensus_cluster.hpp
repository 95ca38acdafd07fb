// Members of a group on paper: messages, disks and time under the control of a test.
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

/// One replica of a fake cluster: what it knows and what its disk holds.
struct fake_member {
    std::string name;
    consensus::member_id id;
    consensus::group_state state;
    consensus::persisted_state disk;  ///< what survives a crash
    std::vector<std::string> applied; ///< payloads after the snapshot base
    bool running = true;
    bool frozen = false;
    time_point frozen_until{};
};

/// A proposal and what became of it.
struct fake_proposal {
    consensus::log_index index = 0;
    consensus::term_number term = 0;
    std::string payload;
};

/// A cluster that a test steps. Every check throws through Boost.Test with the seed in its context.
struct fake_cluster {
    explicit fake_cluster(std::uint64_t random_seed, std::size_t size);

    std::uint64_t random;
    time_point now{std::chrono::hours(1)};
    std::vector<fake_member> members;
    std::deque<consensus::message> network;
    std::map<consensus::term_number, consensus::member_id> leaders; ///< by term
    std::map<consensus::log_index, std::string> committed;          ///< first payload seen at each index
    std::map<consensus::log_index, std::string> acknowledged;       ///< told to a client
    std::map<consensus::log_index, fake_proposal> proposals;
    consensus::log_index highest_acknowledged = 0;
    std::uint64_t crash_one_in = 0; ///< steps of which one ends in a crash before the sync; 0: none
    std::uint64_t next_payload = 1;
    std::uint64_t next_id = 100;
    std::uint64_t elections = 0;
    std::uint64_t wipes = 0;
    std::uint64_t reads = 0;

    /// @return a number below `limit`.
    std::uint64_t pick(std::uint64_t limit);
    /// @return whether the step in hand ends in a crash.
    bool crashes();
    /// Carries out what a step asked for. @param crash the member stops before its disk is synced.
    void carry_out(fake_member& member, consensus::effects& wanted, bool crash);
    /// Delivers, drops, doubles or delays one message.
    void deliver_one(std::uint64_t loss_percent);
    /// Delivers everything that is under way.
    void deliver_all();
    /// Lets time pass for a member.
    void tick(fake_member& member);
    /// Proposes a payload at a member that leads.
    void propose(fake_member& member);
    /// Stops a member and starts it from its disk.
    void restart(fake_member& member);
    /// Loses a member's disk and starts it blank, under a new id.
    void wipe(fake_member& member);
    /// @return whether a membership keeps a quorum of intact disks without one.
    [[nodiscard]] bool keeps_quorum(const consensus::membership& members_then,
                                    consensus::member_id lost) const;
    /// @return whether a quorum of intact disks would remain without this member's.
    [[nodiscard]] bool may_lose(const fake_member& member) const;
    /// Asks the leader to take in members that are not part of the group.
    void join_blank_members();
    /// @return the running member that leads and may read, if any.
    fake_member* find_leader();
    /// Lets time pass without faults.
    void pass(duration span);
    /// @return one line a member, for failures.
    [[nodiscard]] std::string describe() const;
    /// Runs without faults until a leader has everything applied everywhere, or gives up. @return whether it
    /// got there.
    bool settle();
    /// Checks what must hold at all times.
    void check_invariants();
};

} // namespace guavawick::tests
