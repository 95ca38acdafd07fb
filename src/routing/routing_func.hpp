// Upstream selection by expected completion time. Pure functions.
#pragma once

#include "routing/routing_type.hpp"

#include <optional>

namespace guavawick::routing {

/// @return the expected time in seconds until a call completes at an upstream.
double expected_completion_seconds(const candidate& upstream, const routing_request& request);
/// Chooses the upstream for a call by the request's policy.
/// @return the index of the chosen candidate, or nothing if no candidate is eligible.
std::optional<std::size_t> choose_upstream(const std::vector<candidate>& candidates,
                                           const routing_request& request);
/// Scores an upstream for a key by rendezvous hashing; the upstream with the highest score is the key's home.
std::uint64_t rendezvous_score(const std::string& upstream, std::uint64_t key);
/// Picks the subset of upstreams that an entry connects to. Upstreams of the entry's data centre come first;
/// the result is the same after a restart.
/// @param in_own_data_centre for each name, whether the upstream is in the entry's data centre.
/// @param size maximum size of the subset.
/// @return indices into names, best first.
std::vector<std::size_t> pick_subset(const std::vector<std::string>& names,
                                     const std::vector<bool>& in_own_data_centre, std::uint64_t entry_key,
                                     std::size_t size);
/// @return the expected time in seconds that a call queues at an upstream before it starts.
double expected_wait_seconds(const candidate& upstream);

} // namespace guavawick::routing
