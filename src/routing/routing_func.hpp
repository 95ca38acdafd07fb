// The choice of an upstream. Pure.
#pragma once

#include "routing/routing_type.hpp"

#include <optional>

namespace guavawick::routing {

/// @return the expected seconds to the end of a call at an upstream.
double expected_completion_seconds(const candidate& there, const routing_request& wish);
/// Chooses an upstream. @return its place among the candidates, or nothing if none will do.
std::optional<std::size_t> choose_upstream(const std::vector<candidate>& candidates,
                                           const routing_request& wish);
/// @return a number that ranks an upstream for a key; the highest is the key's home.
std::uint64_t rendezvous_score(const std::string& upstream, std::uint64_t key);
/// Picks the upstreams that an entry talks to: own data centre first, the same after every restart.
/// @param own_centre marks for each name whether it is in the entry's data centre.
std::vector<std::size_t> pick_subset(const std::vector<std::string>& names,
                                     const std::vector<bool>& own_centre, std::uint64_t entry_key,
                                     std::size_t size);
/// @return the expected seconds that a call waits at an upstream before it starts.
double expected_wait_seconds(const candidate& there);

} // namespace guavawick::routing
