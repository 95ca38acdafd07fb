// Client of the consensus groups: finds the leader of a group and sends it requests.
#pragma once

#include "base/settings_type.hpp"
#include "wire/link_type.hpp"

#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace guavawick::wire {

/// Calls the leaders of consensus groups. Requests must be idempotent: one is resent if its reply is lost.
/// Thread safety: every function may be called from any thread. Lock order: its mutex before the link's, and
/// no other under it.
class group_client {
public:
    group_client(link& links, std::vector<replica_address> replicas);
    /// Replaces the known replicas. While there are none, calls wait for some until their timeout.
    void set_replicas(std::vector<replica_address> replicas);
    /// Sends a request to the leader of a group. @throw link_error if no leader answers within `timeout`.
    /// @param hold_time how long the leader may hold the request before it answers.
    /// @param was_resent set if the request was sent more than once, so that a replica that did not answer
    /// may have executed it whatever the reply says; may be nullptr.
    boost::asio::awaitable<envelope_ptr> call(std::uint32_t group, envelope request, duration timeout,
                                              duration hold_time = {}, bool* was_resent = nullptr);

    /// Sends a large request once, to the presumed leader of a group.
    /// @throw link_error if that is no longer the leader or does not answer within `timeout`.
    boost::asio::awaitable<envelope_ptr> call_once(std::uint32_t group, envelope request, duration timeout);

private:
    [[nodiscard]] std::string presumed_leader(std::uint32_t group);
    void record_leader(std::uint32_t group, const std::string& endpoint);
    void select_next_replica(std::uint32_t group, const std::string& failed);
    /// Selects the replica to ask next, after one was silent (`reply` is null) or redirected.
    /// @return whether the redirect named another leader that is alive.
    bool follow_redirect(std::uint32_t group, const std::string& endpoint, const envelope_ptr& reply);
    boost::asio::awaitable<envelope_ptr> call_replica(std::string endpoint, envelope request,
                                                      duration timeout, duration hold_time,
                                                      bool resends = true);

    link& links_;
    std::vector<replica_address> replicas_;
    std::mutex mutex_;                             ///< guards the replicas and the leaders
    std::map<std::uint32_t, std::string> leaders_; ///< by group: endpoint of the presumed leader
};

} // namespace guavawick::wire
