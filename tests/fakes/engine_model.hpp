// Stand-in for a model engine: batch slots, prefill and decode speed, a prefix cache. No I/O, no clock.
#pragma once

#include "base/clock_type.hpp"

#include <algorithm>
#include <cstdint>
#include <list>
#include <map>
#include <string>

namespace guavawick::fakes {

/// Speed and size of a stand-in engine.
struct engine_options {
    std::uint32_t slots = 8; ///< calls in one batch
    double prefill_tokens_per_second = 4000;
    double seconds_per_token = 0.02;     ///< of one call alone
    double batch_slow_down = 0.05;       ///< share by which each further call slows the others
    std::uint64_t cache_tokens = 200000; ///< room for prefixes
    double cold_seconds = 0;             ///< extra delay of the first answers
    std::uint32_t cold_answers = 0;      ///< how many answers are slow after a start
};

/// A stand-in engine's state.
struct engine_model {
    engine_options options;
    std::uint32_t running = 0;
    std::uint64_t answered = 0;
    std::uint64_t prefilled_tokens = 0;          ///< work done
    std::uint64_t repeated_tokens = 0;           ///< work done again on what was cached somewhere before
    std::map<std::string, std::uint64_t> cached; ///< program to cached tokens
    std::list<std::string> age;                  ///< least recently used first
    std::uint64_t held = 0;                      ///< sum of cached tokens
};

/// @return the tokens of a program that are cached.
inline std::uint64_t cached_tokens(const engine_model& engine, const std::string& program)
{
    const auto found = engine.cached.find(program);
    return found == engine.cached.end() ? 0 : found->second;
}

/// Drops a program's prefix. @return whether it was held.
inline bool free_program(engine_model& engine, const std::string& program)
{
    const auto found = engine.cached.find(program);
    if (found == engine.cached.end()) {
        return false;
    }
    engine.held -= found->second;
    engine.cached.erase(found);
    engine.age.remove(program);
    return true;
}

/// Caches a program's prefix, dropping the least recently used.
inline void keep_prefix(engine_model& engine, const std::string& program, std::uint64_t tokens)
{
    free_program(engine, program);
    while (!engine.age.empty() && engine.held + tokens > engine.options.cache_tokens) {
        const std::string oldest = engine.age.front();
        free_program(engine, oldest);
    }
    if (engine.held + tokens > engine.options.cache_tokens) {
        return;
    }
    engine.cached[program] = tokens;
    engine.age.push_back(program);
    engine.held += tokens;
}

/// Starts a call. @return seconds until its first token.
inline double start_call(engine_model& engine, const std::string& program, std::uint64_t prompt_tokens)
{
    ++engine.running;
    const std::uint64_t cached = std::min(prompt_tokens, cached_tokens(engine, program));
    engine.prefilled_tokens += prompt_tokens - cached;
    const bool cold = engine.answered < engine.options.cold_answers;
    const double load = 1.0 + engine.options.batch_slow_down * (engine.running - 1);
    return static_cast<double>(prompt_tokens - cached) / engine.options.prefill_tokens_per_second * load +
           (cold ? engine.options.cold_seconds : 0.0) + engine.options.seconds_per_token * load;
}

/// @return seconds that one token takes now; beyond its slots an engine shares its time.
inline double token_seconds(const engine_model& engine)
{
    const double in_batch = std::min<double>(engine.running, engine.options.slots);
    const double shared = std::max(1.0, static_cast<double>(engine.running) / engine.options.slots);
    return engine.options.seconds_per_token *
           (1.0 + engine.options.batch_slow_down * std::max(0.0, in_batch - 1.0)) * shared * shared;
}

/// Ends a call and keeps its prefix.
inline void end_call(engine_model& engine, const std::string& program, std::uint64_t tokens)
{
    engine.running -= std::min(engine.running, 1U);
    ++engine.answered;
    keep_prefix(engine, program, tokens);
}

} // namespace guavawick::fakes
