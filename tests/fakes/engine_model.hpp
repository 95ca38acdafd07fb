// Timing model of a model engine: batch slots, prefill and decode speed, prefix cache. It does no I/O and
// reads no clock.
#pragma once

#include "base/clock_type.hpp"

#include <algorithm>
#include <cstdint>
#include <list>
#include <map>
#include <string>

namespace guavawick::fakes {

/// Speed, batch size and cache size of a simulated engine.
struct engine_options {
    std::uint32_t slots = 8;                 ///< calls that run at full speed in one batch
    double prefill_tokens_per_second = 4000; ///< of one call alone
    double seconds_per_token = 0.02;         ///< decode time of one call alone
    double batch_slowdown = 0.05; ///< fraction by which each further call in the batch slows all of them
    std::uint64_t cache_tokens = 200000; ///< capacity of the prefix cache
    double cold_seconds = 0;             ///< extra delay before the first token of each cold call
    std::uint32_t cold_answers = 0;      ///< calls after a start that get the cold delay
};

/// State of a simulated engine.
struct engine_model {
    engine_options options;
    std::uint32_t running = 0;
    std::uint64_t answered_calls = 0;
    std::uint64_t prefilled_tokens = 0;          ///< prompt tokens that were not cached
    std::uint64_t repeated_prefill_tokens = 0;   ///< prefilled tokens that some engine had cached before
    std::map<std::string, std::uint64_t> cached; ///< cached tokens by program
    std::list<std::string> lru_order;            ///< programs, least recently used first
    std::uint64_t total_cached_tokens = 0;       ///< sum over `cached`
};

/// @return the number of tokens cached for a program.
inline std::uint64_t cached_tokens(const engine_model& engine, const std::string& program)
{
    const auto entry = engine.cached.find(program);
    return entry == engine.cached.end() ? 0 : entry->second;
}

/// Evicts a program's prefix. @return whether it was cached.
inline bool evict_program(engine_model& engine, const std::string& program)
{
    const auto entry = engine.cached.find(program);
    if (entry == engine.cached.end()) {
        return false;
    }
    engine.total_cached_tokens -= entry->second;
    engine.cached.erase(entry);
    engine.lru_order.remove(program);
    return true;
}

/// Replaces a program's cached prefix, evicting the least recently used ones to make room. A prefix larger
/// than the cache is not stored.
inline void store_prefix(engine_model& engine, const std::string& program, std::uint64_t tokens)
{
    evict_program(engine, program);
    while (!engine.lru_order.empty() && engine.total_cached_tokens + tokens > engine.options.cache_tokens) {
        const std::string least_recent = engine.lru_order.front();
        evict_program(engine, least_recent);
    }
    if (engine.total_cached_tokens + tokens > engine.options.cache_tokens) {
        return;
    }
    engine.cached[program] = tokens;
    engine.lru_order.push_back(program);
    engine.total_cached_tokens += tokens;
}

/// Adds a call to the batch. @return seconds until its first token; the uncached part of the prompt is
/// prefilled.
inline double start_call(engine_model& engine, const std::string& program, std::uint64_t prompt_tokens)
{
    ++engine.running;
    const std::uint64_t cached = std::min(prompt_tokens, cached_tokens(engine, program));
    engine.prefilled_tokens += prompt_tokens - cached;
    const bool is_cold = engine.answered_calls < engine.options.cold_answers;
    const double slowdown = 1.0 + engine.options.batch_slowdown * (engine.running - 1);
    return static_cast<double>(prompt_tokens - cached) / engine.options.prefill_tokens_per_second * slowdown +
           (is_cold ? engine.options.cold_seconds : 0.0) + engine.options.seconds_per_token * slowdown;
}

/// @return seconds per generated token at the present batch size. More calls than slots slow all of them
/// further, by the square of calls over slots.
inline double token_seconds(const engine_model& engine)
{
    const double batch_size = std::min<double>(engine.running, engine.options.slots);
    const double oversubscription = std::max(1.0, static_cast<double>(engine.running) / engine.options.slots);
    return engine.options.seconds_per_token *
           (1.0 + engine.options.batch_slowdown * std::max(0.0, batch_size - 1.0)) * oversubscription *
           oversubscription;
}

/// Removes a call from the batch and caches the program's prefix. @param tokens length of the new prefix.
inline void end_call(engine_model& engine, const std::string& program, std::uint64_t tokens)
{
    engine.running -= std::min(engine.running, 1U);
    ++engine.answered_calls;
    store_prefix(engine, program, tokens);
}

} // namespace guavawick::fakes
