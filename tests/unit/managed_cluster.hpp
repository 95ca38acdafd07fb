// Simulated group whose members are chosen among more replicas than it needs.
#pragma once

#include "consensus/membership_plan.hpp"
#include "consensus_cluster.hpp"

namespace guavawick::tests {

/// A fake cluster with a managed membership. It plans changes and asks to join at the intervals of a real
/// group, with the time-outs of a fleet.
struct managed_cluster : fake_cluster {
    /// @param replicas number of replicas, in three data centres; the first ones are the voters.
    /// @param founders number of voters at the start; 0: as many as the policy asks for.
    managed_cluster(std::uint64_t random_seed, std::size_t replicas, std::size_t tolerated_failures,
                    std::size_t founders = 0);

    std::vector<consensus::join_schedule> join_schedules; ///< by replica
    std::vector<time_point> next_joins;                   ///< by replica
    std::vector<time_point> next_plans;                   ///< by replica
    std::vector<time_point> disks_since;                  ///< by replica: when it got its disk

    std::set<std::size_t> slow_links; ///< replicas that messages reach after `slow_delay`
    duration slow_delay = std::chrono::milliseconds(60);

    /// Advances time. The leader proposes commands at random.
    void run(duration span);
    /// As run(), while replicas are out of contact, restart before a sync, lose messages and lose disks. Once
    /// `max_lost` disks are lost, the next one is lost after all replicas are back and the group is whole.
    void run_with_random_faults(duration span, std::size_t max_lost);
    /// As run(), while up to `max_lost` replicas at a time, or those of one data centre, are out of contact,
    /// lose their disks, or are replaced by others with another name. One that returns, or starts, counts as
    /// lost for `catch_up` more. Sometimes all others lose power when a disk is lost.
    void run_with_tolerated_faults(duration span, std::size_t max_lost, duration catch_up);
    /// Stops a replica; its disk remains.
    void stop(std::size_t replica);
    /// Marks the replicas that are being decommissioned.
    void set_retiring(std::set<std::string> names) { policy_.retiring = std::move(names); }
    /// Cuts the power of every replica in the middle of random steps, and erases the disks of some.
    void lose_power(const std::set<std::size_t>& lost);
    /// Starts every replica, each within 300 ms.
    void return_power();
    /// @return the number of voters in the leader's newest membership, 0 without a leader.
    [[nodiscard]] std::size_t count_voters();
    /// @return the replicas whose disks lasted longest.
    [[nodiscard]] std::set<std::size_t> oldest_disks(std::size_t count) const;
    /// @return whether there is a leader, and the newest membership that each of its members knows keeps a
    /// quorum if `lost` further disks of voters are lost.
    [[nodiscard]] bool tolerates(std::size_t lost);

private:
    void hold_slow_messages();
    void lose_one(std::size_t replica);
    void lose_several(std::size_t max_lost);
    void update_members(std::size_t replica);
    void ask_to_join(std::size_t replica);
    void handle_join(std::size_t contact, const consensus::member& joining, bool forwarded);
    /// @return how many voters still have the disk that they joined with.
    [[nodiscard]] std::size_t count_intact(const consensus::group_state& state) const;
    [[nodiscard]] consensus::member describe_replica(std::size_t replica) const;

    consensus::membership_policy policy_;
    std::vector<time_point> returns_at_; ///< by replica; only of those that do not run
    std::vector<time_point> whole_at_;   ///< by replica: when it no longer counts as lost
    std::uint64_t next_name_ = 1000;
    std::deque<std::pair<time_point, consensus::message>> slow_messages_; ///< with the time of their arrival
};

} // namespace guavawick::tests
