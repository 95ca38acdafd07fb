// Placement of a call by the prefixes of its prompt. Used with features.load_aware.
#pragma once

#include "base/event_type.hpp"
#include "gateway/call_run.hpp"
#include "placing/prefix_func.hpp"

namespace guavawick::gateway {

/// Prefixes of a call's prompt.
struct prompt_placement {
    std::vector<placing::prompt_prefix> prefixes; ///< in prompt order; empty for calls without a prompt
    duration retention{};                         ///< of a prefix in an engine that does not use it again
};

/// Estimates what each candidate has cached of the call's prompt and adds that to the placement request.
/// Counts the call's shared prefix if the call was not placed before. Thread safety: the gateway's thread.
prompt_placement find_cached_prefixes(active_call& call, const plan::service& service,
                                      const std::vector<placing::candidate>& candidates,
                                      placing::placement_request& request, time_point now);
/// Records that the call is sent to an instance.
void record_prompt(placing::prefix_memory& memory, const prompt_placement& prompt,
                   const directory::instance_id& instance, time_point now);

} // namespace guavawick::gateway
