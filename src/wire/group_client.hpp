// Finds the leader of each consensus group and sends it requests.
#pragma once

#include "base/settings_type.hpp"
#include "wire/link_type.hpp"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace guavawick::wire {

/// Calls the leaders of groups. Requests must be idempotent: one may be sent again after a lost answer.
/// Thread safety: every function from any thread. Lock order: its mutex is a leaf.
class group_client {
public:
    group_client(link& links, std::vector<replica_address> replicas);
    /// Replaces the replicas that are asked. With none known, calls wait until some are or their limit ends.
    void set_replicas(std::vector<replica_address> replicas);
    /// Sends a request to the leader of a group. @throw link_error if no leader answered within the limit.
    /// @param held how long the leader may hold the request before it answers.
    boost::asio::awaitable<envelope_ptr> call(std::uint32_t group, envelope request, duration limit,
                                              duration held = {});

private:
    [[nodiscard]] std::string leader_of(std::uint32_t group);
    void note_leader(std::uint32_t group, const std::string& endpoint);
    void next_replica(std::uint32_t group, const std::string& failed);
    boost::asio::awaitable<envelope_ptr> try_one(std::string endpoint, envelope request, duration limit,
                                                 duration held);

    link& links_;
    std::vector<replica_address> replicas_;
    std::mutex mutex_; ///< guards the map
    std::map<std::uint32_t, std::string> leaders_;
};

} // namespace guavawick::wire
