// Expected time to the end of a call, with preference for the program's cache.
#include "routing/routing_func.hpp"

#include "base/hash_func.hpp"

#include <algorithm>

namespace guavawick::routing {
namespace {

constexpr double other_data_centre_seconds = 0.05; ///< what a longer way and a shared fault count for
constexpr double cold_seconds = 0.5;  ///< expected delay at an upstream that answered nothing yet
constexpr double home_seconds = 0.02; ///< preference for a program's home where nothing else decides

std::optional<std::size_t> choose_in_turn(const std::vector<candidate>& candidates,
                                          const routing_request& wish)
{
    return candidates.empty() ? std::nullopt
                              : std::optional<std::size_t>(wish.call_number % candidates.size());
}

std::size_t find_home(const std::vector<candidate>& candidates, std::uint64_t key)
{
    std::size_t home = 0;
    std::uint64_t best = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::uint64_t score = rendezvous_score(candidates[i].name.value, key);
        if (i == 0 || score > best) {
            best = score;
            home = i;
        }
    }
    return home;
}

} // namespace

std::uint64_t rendezvous_score(const std::string& upstream, std::uint64_t key)
{
    return hash_bytes(upstream, key);
}

double expected_wait_seconds(const candidate& there)
{
    const double ahead =
        static_cast<double>(there.load.running) + there.load.queued + there.sent_since_report;
    const double window = std::max<double>(1, there.load.window);
    const double excess = std::max(0.0, ahead + 1 - window);
    return excess * there.load.mean_call_seconds / window;
}

double expected_completion_seconds(const candidate& there, const routing_request& wish)
{
    const std::uint64_t cached =
        wish.policy == routing_policy::no_affinity ? 0 : std::min(there.cached_tokens, wish.prompt_tokens);
    const double prefill = static_cast<double>(wish.prompt_tokens - cached) /
                           std::max(1.0, there.load.prefill_tokens_per_second);
    const double decode = static_cast<double>(wish.expected_tokens) * there.load.seconds_per_token;
    const double way = there.own_data_centre ? 0.0 : other_data_centre_seconds;
    return expected_wait_seconds(there) + (there.load.cold ? cold_seconds : 0.0) + prefill + decode + way;
}

std::optional<std::size_t> choose_upstream(const std::vector<candidate>& candidates,
                                           const routing_request& wish)
{
    if (wish.policy == routing_policy::round_robin) {
        return choose_in_turn(candidates, wish);
    }
    const bool has_home = wish.affinity_hash != 0 && wish.policy == routing_policy::expected_time;
    const std::size_t home = has_home ? find_home(candidates, wish.affinity_hash) : candidates.size();
    std::optional<std::size_t> best;
    double least = 0;
    // Starting at a place that differs from call to call spreads calls among equals.
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::size_t place = (i + wish.call_number) % candidates.size();
        const candidate& there = candidates[place];
        if (wish.suspect && there.load.suspects != 0) {
            continue;
        }
        const double seconds =
            expected_completion_seconds(there, wish) - (place == home ? home_seconds : 0.0);
        if (!best || seconds < least) {
            best = place;
            least = seconds;
        }
    }
    return best;
}

std::vector<std::size_t> pick_subset(const std::vector<std::string>& names,
                                     const std::vector<bool>& own_centre, std::uint64_t entry_key,
                                     std::size_t size)
{
    std::vector<std::size_t> places(names.size());
    for (std::size_t i = 0; i < places.size(); ++i) {
        places[i] = i;
    }
    std::vector<std::uint64_t> scores(names.size());
    for (std::size_t i = 0; i < names.size(); ++i) {
        scores[i] = rendezvous_score(names[i], entry_key);
    }
    const std::size_t kept = std::min(size, places.size());
    std::partial_sort(places.begin(), places.begin() + static_cast<std::ptrdiff_t>(kept), places.end(),
                      [&](std::size_t a, std::size_t b) {
                          if (own_centre[a] != own_centre[b]) {
                              return static_cast<bool>(own_centre[a]);
                          }
                          return scores[a] != scores[b] ? scores[a] > scores[b] : names[a] < names[b];
                      });
    places.resize(kept);
    return places;
}

} // namespace guavawick::routing
