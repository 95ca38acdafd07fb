// Types for the placement of calls by shared prompt prefix: which engines are believed to have which prefixes
// in their prompt cache.
#pragma once

#include "base/clock_type.hpp"

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace guavawick::placing {

using namespace std::chrono_literals;

/// A prefix of a prompt, which consists of whole prompt parts.
struct prompt_prefix {
    std::uint64_t key = 0;    ///< hash of the service and the ids of the parts
    std::uint64_t tokens = 0; ///< length of the prefix
};

/// Parameters of the placement by shared prefix.
struct prefix_settings {
    /// Mean number of prefixes whose set an engine belongs to. Larger sets need fewer calls outside of them;
    /// smaller ones leave more of the engines' memory to histories. In the simulation of 41 engines and 16
    /// prefixes, 6 gave lower delays than 2, 3 and 4, for 1.5 % more tokens read than 4.
    double prefixes_per_engine = 6;
    double popularity_half_life_s = 20; ///< several bursts; the sets should not follow each of them
    double prior_calls = 50;            ///< added to all calls, so that the first calls make no large sets
    std::size_t max_prefixes = 4096;    ///< remembered in one generation; about 100 bytes each
    duration default_retention = 4s;    ///< in an engine whose memory is not known
    duration min_retention = 1s;
    duration max_retention = 30s;
};

/// Number of calls, decayed to a point in time.
struct decayed_count {
    double calls = 0;
    time_point at{};
};

/// How often the shared prefixes of one service were seen.
struct prefix_popularity {
    decayed_count all;
    std::unordered_map<std::uint64_t, decayed_count> by_prefix;
};

/// An engine that received a prefix.
struct prefix_holder {
    std::uint64_t instance = 0; ///< hash of its id
    time_point sent_at{};       ///< when this gateway last sent it a prompt with the prefix
};

/// What a gateway remembers of the prefixes in the prompts that it placed. Thread safety: none.
struct prefix_memory {
    std::unordered_map<std::uint64_t, prefix_popularity> popularity; ///< by hash of the service
    /// Holders by prefix in two generations. When the current one is old or full, it becomes the previous
    /// one, and the previous one is dropped.
    std::unordered_map<std::uint64_t, std::vector<prefix_holder>> current;
    std::unordered_map<std::uint64_t, std::vector<prefix_holder>> previous;
    time_point rotated_at{};
};

} // namespace guavawick::placing
