// Estimates which engines have a prompt's prefix in their cache, so that calls with the same shared prefix
// run at few engines. Addresses prompt tokens that many engines read although another engine has them cached.
// Pure functions. Thread safety: none; the memory belongs to one thread.
#pragma once

#include "placing/placing_type.hpp"
#include "placing/prefix_type.hpp"

#include <string_view>

namespace guavawick::placing {

/// Appends the prefix that ends with the next part of a prompt. @param service hash of the service's name.
void append_prefix(std::vector<prompt_prefix>& prefixes, std::uint64_t service, std::string_view part_id,
                   std::uint64_t part_tokens);
/// Counts a call with a shared prefix.
void count_prefix(prefix_memory& memory, std::uint64_t service, std::uint64_t prefix_key,
                  const prefix_settings& settings, time_point now);
/// @return the share of the service's recent calls that have the prefix, from 0 to 1.
double prefix_share(const prefix_memory& memory, std::uint64_t service, std::uint64_t prefix_key,
                    const prefix_settings& settings, time_point now);
/// Records that a prompt was sent to an instance. Its shared prefix and the whole prompt are remembered.
/// @param retention how long the instance is believed to hold them.
void record_holder(prefix_memory& memory, const std::vector<prompt_prefix>& prefixes, std::uint64_t instance,
                   duration retention, const prefix_settings& settings, time_point now);
/// @return how long an engine keeps a prefix that is not used again: the time in which it can overwrite its
/// whole memory.
duration cache_retention(std::uint64_t memory_tokens, double prefill_tokens_per_ms,
                         const prefix_settings& settings);
/// Selects the engines of each data centre that should hold a prefix: those with the highest rendezvous
/// hashes. The order is equal at all gateways, so that sets that differ in size contain each other.
/// @return for each candidate whether it is one of them.
std::vector<bool> select_prefix_set(const std::vector<candidate>& candidates, std::uint64_t prefix_key,
                                    double share, const prefix_settings& settings);
/// @param warm_instance instance that ran the line or its program last and is believed to hold the whole
/// prompt; may be empty. @param prefix_set as returned by select_prefix_set().
/// @return for each candidate how many of the prompt's tokens it is believed to have cached.
std::vector<std::uint64_t>
estimate_cached_tokens(const prefix_memory& memory, const std::vector<candidate>& candidates,
                       const std::vector<prompt_prefix>& prefixes, const std::vector<bool>& prefix_set,
                       const placement_request& request, duration retention, time_point now);

} // namespace guavawick::placing
