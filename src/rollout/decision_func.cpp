// Decision of the control leader on a rollout.
#include "rollout/decision_func.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace guavawick::rollout {
namespace {

constexpr duration report_timeout = 2s; ///< ten reports; a gateway that is silent for longer may have ended

// Scores are sums of log likelihood ratios. With 6.9 and 9, 2 to 5 of 100 simulated rollouts of a good
// version were rolled back.
constexpr double max_failure_score = 8;
constexpr double max_slow_score = 14; ///< higher, as durations of concurrent calls depend on each other

constexpr double prior_responses = 50; ///< weight of all routes in one route's share of failures
constexpr double min_good_failures =
    0.02;                                 ///< share that a good version may fail where the old ones fail none
constexpr double min_bad_failures = 0.2;  ///< share of failures that the test is tuned to find
constexpr double bad_failures_factor = 3; ///< of the share that a good version may fail
constexpr double noise_factor = 1.5;      ///< of the old versions' share of failures or slow responses
constexpr double min_good_slow = 0.05;
constexpr double max_good_slow = 0.4;
constexpr double min_bad_slow = 0.6;      ///< share of slow responses that the test is tuned to find
constexpr double min_slow_distance = 0.3; ///< between the shares of slow responses of good and bad versions
constexpr std::uint64_t min_old_responses = 8; ///< of a route, for a median of their duration
constexpr std::size_t slow_buckets = 3;        ///< above the old median: at least twice as long
constexpr std::size_t slow_buckets_alone =
    5; ///< without old versions beside it, the load may have grown: at least four times as long

// Shares of calls by step. The mean stays below the tenth that a bad version may get, which leaves calls for
// a short time near full load.
constexpr double first_share = 0.03;
constexpr double second_share = 0.06;
constexpr double load_share = 0.5;
constexpr double slack_part = 0.3;    ///< of the further calls, which the second step may use
constexpr double load_forecast = 0.5; ///< callers may halve their calls after the step
constexpr std::uint64_t second_step_responses = 10;
constexpr std::uint64_t min_responses = 20;      ///< for the step near full load, if traffic permits
constexpr std::uint64_t min_route_responses = 3; ///< of each route with traffic, as above
constexpr std::uint64_t busy_route_calls = 50;   ///< old responses of a route with traffic

// Times as parts of the rollout's duration.
constexpr double slack_at = 0.1;
constexpr double load_step_at = 0.5;
constexpr double load_step_at_latest = 0.58;
constexpr double min_load_step = 0.12;
constexpr double switch_at = 0.7;
constexpr double switch_at_latest = 0.76;
constexpr double clean_score = 0.5; ///< below it, the evidence permits the next step; relative as below
constexpr double doubtful_score =
    0.75; ///< at the end of the probing; relative to the score at which a version counts as bad
constexpr double min_full_load = 0.08;      ///< with all calls at the target, for a fault to show
constexpr double complete_at_latest = 0.94; ///< whatever still runs at old upstreams

constexpr duration max_lease_delay = lease_time + 200ms; ///< after which no gateway exposes calls any more

std::uint64_t sum(const std::array<std::uint64_t, duration_buckets>& counts, std::size_t first = 0)
{
    return first >= counts.size() ? 0
                                  : std::accumulate(counts.begin() + static_cast<std::ptrdiff_t>(first),
                                                    counts.end(), std::uint64_t{0});
}

std::uint64_t sum(const std::array<std::uint32_t, duration_buckets>& counts, std::size_t first)
{
    return first >= counts.size() ? 0
                                  : std::accumulate(counts.begin() + static_cast<std::ptrdiff_t>(first),
                                                    counts.end(), std::uint64_t{0});
}

std::size_t median_bucket(const std::array<std::uint64_t, duration_buckets>& counts)
{
    const std::uint64_t half = (sum(counts) + 1) / 2;
    std::uint64_t seen = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        seen += counts[i];
        if (seen >= half) {
            return i;
        }
    }
    return counts.size() - 1;
}

void add(outcome_counters& into, const outcome_counters& from, bool with_running)
{
    into.failures += from.failures;
    for (std::size_t i = 0; i < duration_buckets; ++i) {
        into.durations[i] += from.durations[i];
        into.running[i] += with_running ? from.running[i] : 0;
    }
}

/// Adds observations to a score. @param good,bad probability of an event in good and bad versions.
double add_score(double score, std::uint64_t events, std::uint64_t others, double good, double bad)
{
    const double change = static_cast<double>(events) * std::log(bad / good) +
                          static_cast<double>(others) * std::log((1 - bad) / (1 - good));
    return std::max(0.0, score + change);
}

/// @return the old versions' share of failures on a route. The few responses of a quiet route are
/// supplemented by those of all routes.
double estimate_old_failures(const outcome_counters& old, const outcome_counters& all_old)
{
    const double all = (static_cast<double>(all_old.failures) + 1) /
                       (static_cast<double>(sum(all_old.durations)) + prior_responses);
    return (static_cast<double>(old.failures) + prior_responses * all) /
           (static_cast<double>(sum(old.durations)) + prior_responses);
}

double update_failure_score(double score, std::uint64_t failures, std::uint64_t ended, double old_share)
{
    const double good = std::clamp(noise_factor * old_share, min_good_failures, 0.5);
    const double bad = std::min(0.95, std::max(min_bad_failures, bad_failures_factor * good));
    return add_score(score, failures, ended - failures, good, bad);
}

/// Updates a route's test for slow responses.
/// @return the score with the attempts in progress that are slow already; they count again once they end.
double update_slow_score(route_test& test, const std::array<std::uint64_t, duration_buckets>& ended,
                         const outcome_counters& target, const outcome_counters& old, bool beside_old)
{
    if (sum(old.durations) < min_old_responses) {
        return 0;
    }
    const std::size_t slow_from =
        median_bucket(old.durations) + (beside_old ? slow_buckets : slow_buckets_alone);
    const double old_running_slow = static_cast<double>(sum(old.running, slow_from));
    const double old_share = (static_cast<double>(sum(old.durations, slow_from)) + old_running_slow) /
                             (static_cast<double>(sum(old.durations)) + old_running_slow);
    const double good = std::clamp(noise_factor * old_share, min_good_slow, max_good_slow);
    const double bad = std::max(min_bad_slow, good + min_slow_distance);
    const std::uint64_t slow = sum(ended, slow_from);
    test.slow += slow;
    test.slow_score = add_score(test.slow_score, slow, sum(ended) - slow, good, bad);
    return add_score(test.slow_score, sum(target.running, slow_from), 0, good, bad);
}

const outcome_counters& counters_of(const evidence_totals& totals, const std::string& route, bool target)
{
    static const outcome_counters none;
    const auto found = totals.outcomes.find({route, target});
    return found == totals.outcomes.end() ? none : found->second;
}

/// Updates all tests. @return the reason for which the version is bad, or nullptr.
const char* update_tests(judgement& judged, const decision_input& input)
{
    const bool beside_old = input.rollout.current == stage::probing;
    outcome_counters all_old;
    std::uint64_t new_ended = 0;
    std::uint64_t new_failures = 0;
    const char* reason = nullptr;
    judged.worst_score = 0;
    for (const auto& [key, counters] : input.totals.outcomes) {
        if (!key.second) {
            add(all_old, counters, true);
        }
    }
    for (const auto& [key, counters] : input.totals.outcomes) {
        const auto& [route, of_target] = key;
        if (!of_target) {
            continue;
        }
        route_test& test = judged.tests[route];
        std::array<std::uint64_t, duration_buckets> ended{};
        for (std::size_t i = 0; i < duration_buckets; ++i) {
            ended[i] = counters.durations[i] - std::min(counters.durations[i], test.counted[i]);
            test.counted[i] = std::max(counters.durations[i], test.counted[i]);
        }
        const std::uint64_t ended_count = sum(ended);
        const std::uint64_t failures =
            std::min(ended_count, counters.failures - std::min(counters.failures, test.failures));
        test.ended += ended_count;
        test.failures += failures;
        new_ended += ended_count;
        new_failures += failures;
        const outcome_counters& old = counters_of(input.totals, route, false);
        test.failure_score = update_failure_score(test.failure_score, failures, ended_count,
                                                  estimate_old_failures(old, all_old));
        const double slow_score = update_slow_score(test, ended, counters, old, beside_old);
        if (test.failure_score >= max_failure_score) {
            reason = "a route fails";
        }
        if (slow_score >= max_slow_score) {
            reason = "a route is slow";
        }
        judged.worst_score = std::max(
            {judged.worst_score, test.failure_score / max_failure_score, slow_score / max_slow_score});
    }
    judged.target_ended += new_ended;
    judged.target_failures += new_failures;
    judged.all_routes_score = update_failure_score(judged.all_routes_score, new_failures, new_ended,
                                                   estimate_old_failures(all_old, all_old));
    judged.worst_score = std::max(judged.worst_score, judged.all_routes_score / max_failure_score);
    return judged.all_routes_score >= max_failure_score ? "calls fail" : reason;
}

bool has_evidence_of_all_routes(const judgement& judged, const evidence_totals& totals)
{
    return judged.target_ended >= min_responses &&
           std::all_of(totals.outcomes.begin(), totals.outcomes.end(), [&totals](const auto& entry) {
               const auto& [key, counters] = entry;
               return key.second || sum(counters.durations) < busy_route_calls ||
                      sum(counters_of(totals, key.first, true).durations) >= min_route_responses;
           });
}

void enter_step(judgement& judged, std::uint32_t step, duration age)
{
    judged.step = step;
    judged.step_since = age;
}

/// Takes the next step of exposure if the evidence suffices for it.
void update_step(judgement& judged, const decision_input& input, double progress)
{
    const bool clean = judged.worst_score < clean_score;
    if (judged.step == 0 && clean && judged.target_ended >= second_step_responses) {
        enter_step(judged, 1, input.age);
    }
    const bool suffices = progress >= load_step_at && has_evidence_of_all_routes(judged, input.totals);
    if (judged.step < 2 && clean && (suffices || progress >= load_step_at_latest)) {
        enter_step(judged, 2, input.age);
    }
}

decision decide_probing(judgement& judged, const decision_input& input, double exposed_calls)
{
    const double progress = to_seconds(input.age) / to_seconds(input.rollout.length);
    update_step(judged, input, progress);
    decision result;
    result.step = judged.step;
    const double rate = static_cast<double>(input.totals.calls) / std::max(0.5, to_seconds(input.age));
    const double expected_calls = std::max(1.0, rate * to_seconds(input.rollout.length));
    result.share = judged.step == 0 ? first_share : second_share;
    if (progress >= slack_at) { // before it, the rate of the calls is unknown
        result.share += slack_part * exposed_calls / expected_calls;
    }
    if (judged.step == 2) {
        result.share = std::max(result.share, load_share);
        result.forecast = load_forecast;
    }
    result.share = std::min(result.share, load_share);
    const double step_length = to_seconds(input.age - judged.step_since) / to_seconds(input.rollout.length);
    const bool load_seen = judged.step == 2 && step_length >= min_load_step;
    if (progress < switch_at || (!load_seen && progress < switch_at_latest)) {
        return result;
    }
    if (!input.target_serving) {
        // A replica that has just started learns of the upstreams by their next heartbeats.
        if (progress >= switch_at_latest) {
            result.next = stage::rolling_back;
            result.reason = "no upstream of the target serves";
        }
    }
    else if (judged.target_ended == 0 && input.totals.calls >= busy_route_calls) {
        result.next = stage::rolling_back;
        result.reason = "no evidence";
    }
    else if (judged.worst_score < clean_score ||
             (progress >= switch_at_latest && judged.worst_score < doubtful_score)) {
        result.next = stage::switching;
        result.reason = "the evidence is good";
    }
    else if (progress >= switch_at_latest) {
        result.next = stage::rolling_back;
        result.reason = "the evidence is doubtful";
    }
    return result;
}

} // namespace

bool merge_report(evidence_table& table, std::uint64_t incarnation, const gateway_report& report)
{
    const auto [known, added] = table.try_emplace(incarnation, report);
    if (added) {
        return true;
    }
    if (report.sequence <= known->second.sequence) {
        return false;
    }
    known->second = report;
    return true;
}

evidence_totals sum_evidence(const evidence_table& table, const std::string& service, std::uint64_t number,
                             time_point now)
{
    evidence_totals totals;
    for (const auto& [incarnation, report] : table) {
        const auto found = report.services.find(service);
        if (found == report.services.end() || found->second.number != number) {
            continue;
        }
        const service_evidence& evidence = found->second;
        const duration report_age = now - report.received_at;
        totals.age = std::max(totals.age, evidence.age + report_age);
        totals.calls += evidence.calls;
        totals.exposed += evidence.exposed;
        for (const auto& [key, counters] : evidence.outcomes) {
            add(totals.outcomes[key], counters, report_age < report_timeout);
        }
    }
    return totals;
}

std::size_t bucket_of(duration value)
{
    const double ms = to_seconds(value) * 1000;
    if (ms <= 1) {
        return 0;
    }
    return std::min(duration_buckets - 1, static_cast<std::size_t>(2 * std::log2(ms)));
}

decision decide(judgement& judged, const decision_input& input, double exposed_calls)
{
    if (judged.number != input.rollout.number) {
        judged = {};
        judged.number = input.rollout.number;
    }
    decision result;
    const bool may_roll_back =
        input.rollout.current == stage::probing || input.rollout.current == stage::switching;
    const char* fault = may_roll_back ? update_tests(judged, input) : nullptr;
    if (fault != nullptr) {
        result.next = stage::rolling_back;
        result.reason = fault;
        return result;
    }
    switch (input.rollout.current) {
    case stage::probing:
        return decide_probing(judged, input, exposed_calls);
    case stage::switching:
        result.share = 1;
        result.step = judged.step;
        if (!input.target_serving) {
            // The old upstreams stop once a rollout is completed, so nothing would serve.
            if (input.age >= input.rollout.length * complete_at_latest) {
                result.next = stage::rolling_back;
                result.reason = "no upstream of the target serves";
            }
            return result;
        }
        if ((input.gateways_confirm && input.stage_age >= input.rollout.length * min_full_load) ||
            input.age >= input.rollout.length * complete_at_latest) {
            result.next = stage::completed;
            result.reason = input.gateways_confirm ? "no calls run at old upstreams" : "the time is up";
        }
        return result;
    case stage::rolling_back:
        if (input.gateways_confirm || input.stage_age >= max_lease_delay) {
            result.next = stage::rolled_back;
            result.reason = input.gateways_confirm ? "all gateways confirm" : "all leases have ended";
        }
        return result;
    case stage::completed:
    case stage::rolled_back:
        return result;
    }
    return result;
}

} // namespace guavawick::rollout
