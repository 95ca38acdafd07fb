// Estimates which engines have a prompt's prefix in their cache.
#include "placing/prefix_func.hpp"

#include "base/hash_func.hpp"

#include <algorithm>
#include <cmath>

namespace guavawick::placing {
namespace {

constexpr std::size_t max_holders = 128; ///< of one prefix; more than a service has engines
constexpr std::size_t max_popular_prefixes = 1024;
constexpr double min_counted_calls = 0.01; ///< rarer prefixes are forgotten when the table is full

std::uint64_t combine(std::uint64_t left, std::uint64_t right)
{
    std::uint64_t state = left ^ (right * 0x9e3779b97f4a7c15U);
    return next_random(state);
}

double decayed(const decayed_count& count, const prefix_settings& settings, time_point now)
{
    const double age_s = std::max(0.0, to_seconds(now - count.at));
    return count.calls * std::exp2(-age_s / settings.popularity_half_life_s);
}

/// Finds the instances that hold a prefix in one generation and raises their cached tokens.
void apply_holders(const std::unordered_map<std::uint64_t, std::vector<prefix_holder>>& generation,
                   const prompt_prefix& prefix, const std::vector<std::uint64_t>& instances,
                   time_point oldest, std::vector<std::uint64_t>& cached_tokens)
{
    const auto found = generation.find(prefix.key);
    if (found == generation.end()) {
        return;
    }
    for (const prefix_holder& holder : found->second) {
        if (holder.sent_at < oldest) {
            continue;
        }
        const auto position = std::find(instances.begin(), instances.end(), holder.instance);
        if (position != instances.end()) {
            std::uint64_t& tokens =
                cached_tokens[static_cast<std::size_t>(std::distance(instances.begin(), position))];
            tokens = std::max(tokens, prefix.tokens);
        }
    }
}

void add_holder(std::vector<prefix_holder>& holders, std::uint64_t instance, time_point now)
{
    const auto found = std::find_if(holders.begin(), holders.end(), [instance](const prefix_holder& holder) {
        return holder.instance == instance;
    });
    if (found != holders.end()) {
        found->sent_at = now;
        return;
    }
    if (holders.size() >= max_holders) {
        holders.erase(holders.begin());
    }
    holders.push_back({instance, now});
}

} // namespace

void append_prefix(std::vector<prompt_prefix>& prefixes, std::uint64_t service, std::string_view part_id,
                   std::uint64_t part_tokens)
{
    const std::uint64_t previous_key = prefixes.empty() ? service : prefixes.back().key;
    const std::uint64_t previous_tokens = prefixes.empty() ? 0 : prefixes.back().tokens;
    prefixes.push_back({hash_bytes(part_id, previous_key), previous_tokens + part_tokens});
}

void count_prefix(prefix_memory& memory, std::uint64_t service, std::uint64_t prefix_key,
                  const prefix_settings& settings, time_point now)
{
    prefix_popularity& popularity = memory.popularity[service];
    popularity.all = {decayed(popularity.all, settings, now) + 1, now};
    if (popularity.by_prefix.size() >= max_popular_prefixes && !popularity.by_prefix.contains(prefix_key)) {
        std::erase_if(popularity.by_prefix, [&](const auto& entry) {
            return decayed(entry.second, settings, now) < min_counted_calls;
        });
        if (popularity.by_prefix.size() >= max_popular_prefixes) {
            return; // callers that use a prefix only once can't make the table grow
        }
    }
    decayed_count& count = popularity.by_prefix[prefix_key];
    count = {decayed(count, settings, now) + 1, now};
}

double prefix_share(const prefix_memory& memory, std::uint64_t service, std::uint64_t prefix_key,
                    const prefix_settings& settings, time_point now)
{
    const auto popularity = memory.popularity.find(service);
    if (popularity == memory.popularity.end()) {
        return 0;
    }
    const auto count = popularity->second.by_prefix.find(prefix_key);
    if (count == popularity->second.by_prefix.end()) {
        return 0;
    }
    return decayed(count->second, settings, now) /
           (decayed(popularity->second.all, settings, now) + settings.prior_calls);
}

void record_holder(prefix_memory& memory, const std::vector<prompt_prefix>& prefixes, std::uint64_t instance,
                   duration retention, const prefix_settings& settings, time_point now)
{
    if (prefixes.empty()) {
        return;
    }
    if (now - memory.rotated_at >= retention || memory.current.size() >= settings.max_prefixes) {
        memory.previous = std::move(memory.current);
        memory.current.clear();
        memory.rotated_at = now;
    }
    add_holder(memory.current[prefixes.front().key], instance, now);
    if (prefixes.size() > 1) {
        // The prompt of a sub-agent begins with the whole prompt of the turn that started it.
        add_holder(memory.current[prefixes.back().key], instance, now);
    }
}

duration cache_retention(std::uint64_t memory_tokens, double prefill_tokens_per_ms,
                         const prefix_settings& settings)
{
    if (memory_tokens == 0 || prefill_tokens_per_ms <= 0) {
        return settings.default_retention;
    }
    const double seconds = static_cast<double>(memory_tokens) / prefill_tokens_per_ms / 1000;
    return std::clamp(from_seconds(seconds), settings.min_retention, settings.max_retention);
}

std::vector<bool> select_prefix_set(const std::vector<candidate>& candidates, std::uint64_t prefix_key,
                                    double share, const prefix_settings& settings)
{
    struct ranked_candidate {
        std::size_t data_centre;
        std::uint64_t weight;
        std::size_t index;
    };
    std::vector<const data_centre_name*> data_centres;
    std::vector<std::size_t> engine_counts;
    std::vector<ranked_candidate> ranked;
    ranked.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const directory::instance_record& record = *candidates[i].record;
        const auto known =
            std::find_if(data_centres.begin(), data_centres.end(),
                         [&record](const data_centre_name* name) { return *name == record.data_centre; });
        const auto data_centre = static_cast<std::size_t>(std::distance(data_centres.begin(), known));
        if (known == data_centres.end()) {
            data_centres.push_back(&record.data_centre);
            engine_counts.push_back(0);
        }
        ++engine_counts[data_centre];
        ranked.push_back({data_centre, combine(hash_bytes(record.id.value), prefix_key), i});
    }
    std::sort(ranked.begin(), ranked.end(), [](const ranked_candidate& left, const ranked_candidate& right) {
        return left.data_centre != right.data_centre ? left.data_centre < right.data_centre
                                                     : left.weight > right.weight;
    });
    std::vector<bool> selected(candidates.size());
    std::size_t first = 0;
    for (const std::size_t engine_count : engine_counts) {
        const double wanted = share * static_cast<double>(engine_count) * settings.prefixes_per_engine;
        const auto size =
            static_cast<std::size_t>(std::clamp(std::round(wanted), 1.0, static_cast<double>(engine_count)));
        for (std::size_t i = first; i < first + size; ++i) {
            selected[ranked[i].index] = true;
        }
        first += engine_count;
    }
    return selected;
}

std::vector<std::uint64_t>
estimate_cached_tokens(const prefix_memory& memory, const std::vector<candidate>& candidates,
                       const std::vector<prompt_prefix>& prefixes, const std::vector<bool>& prefix_set,
                       const placement_request& request, duration retention, time_point now)
{
    std::vector<std::uint64_t> cached_tokens(candidates.size());
    std::vector<std::uint64_t> instances(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::string& id = candidates[i].record->id.value;
        instances[i] = hash_bytes(id);
        if (!request.warm_instance.empty() && id == request.warm_instance) {
            cached_tokens[i] = request.prompt_tokens;
        }
        else if (!prefixes.empty() && prefix_set[i]) {
            cached_tokens[i] = prefixes.front().tokens;
        }
    }
    for (const prompt_prefix& prefix : prefixes) {
        apply_holders(memory.previous, prefix, instances, now - retention, cached_tokens);
        apply_holders(memory.current, prefix, instances, now - retention, cached_tokens);
    }
    return cached_tokens;
}

} // namespace guavawick::placing
