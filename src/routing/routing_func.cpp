// Upstream selection by expected completion time, taking the program's prompt cache into account.
#include "routing/routing_func.hpp"

#include "base/hash_func.hpp"

#include <algorithm>

namespace guavawick::routing {
namespace {

constexpr double other_data_centre_penalty_seconds = 0.05; ///< longer round trip, and exposure to the
                                                           ///< faults of a second data centre
constexpr double cold_penalty_seconds =
    0.5; ///< expected delay at an upstream that has not answered a call yet
constexpr double home_preference_seconds = 0.02; ///< bonus of a program's home, which decides among equals

std::optional<std::size_t> choose_round_robin(const std::vector<candidate>& candidates,
                                              const routing_request& request)
{
    return candidates.empty() ? std::nullopt
                              : std::optional<std::size_t>(request.call_number % candidates.size());
}

std::size_t find_home(const std::vector<candidate>& candidates, std::uint64_t key)
{
    std::size_t home_index = 0;
    std::uint64_t best_score = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::uint64_t score = rendezvous_score(candidates[i].name.value, key);
        if (i == 0 || score > best_score) {
            best_score = score;
            home_index = i;
        }
    }
    return home_index;
}

} // namespace

std::uint64_t rendezvous_score(const std::string& upstream, std::uint64_t key)
{
    return hash_bytes(upstream, key);
}

double expected_wait_seconds(const candidate& upstream)
{
    const double ahead =
        static_cast<double>(upstream.load.running) + upstream.load.queued + upstream.sent_since_report;
    const double window = std::max<double>(1, upstream.load.window);
    const double excess = std::max(0.0, ahead + 1 - window);
    return excess * upstream.load.mean_call_seconds / window;
}

double expected_completion_seconds(const candidate& upstream, const routing_request& request)
{
    const std::uint64_t cached = request.policy == routing_policy::no_affinity
                                     ? 0
                                     : std::min(upstream.cached_tokens, request.prompt_tokens);
    const double prefill_seconds = static_cast<double>(request.prompt_tokens - cached) /
                                   std::max(1.0, upstream.load.prefill_tokens_per_second);
    const double decode_seconds =
        static_cast<double>(request.expected_tokens) * upstream.load.seconds_per_token;
    const double transfer_seconds = upstream.own_data_centre ? 0.0 : other_data_centre_penalty_seconds;
    return expected_wait_seconds(upstream) + (upstream.load.cold ? cold_penalty_seconds : 0.0) +
           prefill_seconds + decode_seconds + transfer_seconds;
}

std::optional<std::size_t> choose_upstream(const std::vector<candidate>& candidates,
                                           const routing_request& request)
{
    if (request.policy == routing_policy::round_robin) {
        return choose_round_robin(candidates, request);
    }
    const bool has_home = request.affinity_hash != 0 && request.policy == routing_policy::expected_time;
    const std::size_t home_index =
        has_home ? find_home(candidates, request.affinity_hash) : candidates.size();
    std::optional<std::size_t> best_index;
    double min_seconds = 0;
    // The start index differs from call to call, which spreads calls over equally good upstreams.
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::size_t index = (i + request.call_number) % candidates.size();
        const candidate& upstream = candidates[index];
        if (request.suspect && upstream.load.suspects != 0) {
            continue;
        }
        const double seconds = expected_completion_seconds(upstream, request) -
                               (index == home_index ? home_preference_seconds : 0.0);
        if (!best_index || seconds < min_seconds) {
            best_index = index;
            min_seconds = seconds;
        }
    }
    return best_index;
}

std::vector<std::size_t> pick_subset(const std::vector<std::string>& names,
                                     const std::vector<bool>& in_own_data_centre, std::uint64_t entry_key,
                                     std::size_t size)
{
    std::vector<std::size_t> indices(names.size());
    for (std::size_t i = 0; i < indices.size(); ++i) {
        indices[i] = i;
    }
    std::vector<std::uint64_t> scores(names.size());
    for (std::size_t i = 0; i < names.size(); ++i) {
        scores[i] = rendezvous_score(names[i], entry_key);
    }
    const std::size_t subset_size = std::min(size, indices.size());
    std::partial_sort(indices.begin(), indices.begin() + static_cast<std::ptrdiff_t>(subset_size),
                      indices.end(), [&](std::size_t a, std::size_t b) {
                          if (in_own_data_centre[a] != in_own_data_centre[b]) {
                              return static_cast<bool>(in_own_data_centre[a]);
                          }
                          return scores[a] != scores[b] ? scores[a] > scores[b] : names[a] < names[b];
                      });
    indices.resize(subset_size);
    return indices;
}

} // namespace guavawick::routing
