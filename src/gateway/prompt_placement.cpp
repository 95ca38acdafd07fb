// Placement of a call by the prefixes of its prompt.
#include "gateway/prompt_placement.hpp"

#include "base/hash_func.hpp"

namespace guavawick::gateway {

prompt_placement find_cached_prefixes(active_call& call, const plan::service& service,
                                      const std::vector<placing::candidate>& candidates,
                                      placing::placement_request& request, time_point now)
{
    prompt_placement placement;
    if (!service.model || call.metadata.prompt.empty()) {
        return placement;
    }
    placing::prefix_memory& memory = call.context.state->prefixes;
    const placing::prefix_settings settings;
    const std::uint64_t service_hash = hash_bytes(service.name.value);
    for (const prompt_part& part : call.metadata.prompt) {
        placing::append_prefix(placement.prefixes, service_hash, part.id, part.tokens);
    }
    placement.retention = placing::cache_retention(
        service.model->memory_tokens, placing::placement_costs{}.prefill_tokens_per_ms, settings);
    const std::uint64_t shared_prefix = placement.prefixes.front().key;
    if (call.tried_instances.empty()) {
        placing::count_prefix(memory, service_hash, shared_prefix, settings, now);
    }
    const double share = placing::prefix_share(memory, service_hash, shared_prefix, settings, now);
    const std::vector<bool> prefix_set =
        placing::select_prefix_set(candidates, shared_prefix, share, settings);
    request.cached_tokens = placing::estimate_cached_tokens(memory, candidates, placement.prefixes,
                                                            prefix_set, request, placement.retention, now);
    return placement;
}

void record_prompt(placing::prefix_memory& memory, const prompt_placement& prompt,
                   const directory::instance_id& instance, time_point now)
{
    placing::record_holder(memory, prompt.prefixes, hash_bytes(instance.value), prompt.retention,
                           placing::prefix_settings{}, now);
}

} // namespace guavawick::gateway
