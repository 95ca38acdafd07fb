// Policy bench: simulates the shipped policy and a baseline and checks the stated bounds. Prints one line per
// bound.
#include "policy_world.hpp"

#include <cstdio>
#include <cstring>

namespace guavawick::bench {
namespace {

const policy_options shipped_policy{};
const policy_options baseline_policy{routing::routing_policy::round_robin, scheduling::queue_policy::fifo,
                                     true};

workload_options make_jarshy_workload()
{
    workload_options workload;
    workload.name = "jarshy";
    workload.data_centre_count = 3;
    workload.engine_count = 10;
    workload.data_centre_delay_seconds = 0.0005;
    workload.organisation_shares = {0.35, 0.25, 0.15, 0.05, 0.05, 0.05, 0.05, 0.05};
    return workload;
}

workload_options make_cinderbrook_workload()
{
    workload_options workload = make_jarshy_workload();
    workload.name = "cinderbrook";
    workload.data_centre_count = 4;
    workload.engine_count = 12;
    workload.data_centre_delay_seconds = 0.001;
    return workload;
}

int failed_bounds = 0;

void report_bound(const std::string& name, double value, double bound, bool passed)
{
    std::printf("%-62s figure %9.4f  bound %9.4f  %s\n", name.c_str(), value, bound,
                passed ? "held" : "NOT HELD");
    failed_bounds += passed ? 0 : 1;
}

void check_upper_bound(const std::string& name, double value, double bound)
{
    report_bound(name, value, bound, value <= bound);
}

/// @return the worst mean slowdown of an organisation over the median of them. @param noisy_organisation
/// index of an organisation to leave out, or -1.
double worst_to_median_slowdown(const simulation_result& result, int noisy_organisation)
{
    std::vector<double> means;
    for (std::size_t i = 0; i < result.slowdowns.size(); ++i) {
        if (static_cast<int>(i) != noisy_organisation && !result.slowdowns[i].empty()) {
            means.push_back(mean(result.slowdowns[i]));
        }
    }
    const double worst = *std::max_element(means.begin(), means.end());
    return worst / percentile(means, 0.5);
}

double ratio(std::uint64_t numerator, std::uint64_t denominator)
{
    return denominator == 0 ? 0 : static_cast<double>(numerator) / static_cast<double>(denominator);
}

void compare_with_baseline(const workload_options& workload)
{
    const simulation_result result = run_simulation(workload, shipped_policy);
    const simulation_result baseline = run_simulation(workload, baseline_policy);
    const std::string name = workload.name + " load " + std::to_string(workload.load).substr(0, 3) +
                             " seed " + std::to_string(workload.seed);
    std::printf("# %s: %zu and %zu programs; mean %.2f s and %.2f s; p95 %.2f s and %.2f s\n", name.c_str(),
                result.program_latencies.size(), baseline.program_latencies.size(),
                mean(result.program_latencies), mean(baseline.program_latencies),
                percentile(result.program_latencies, 0.95), percentile(baseline.program_latencies, 0.95));
    std::printf("# mean slowdown by organisation:");
    for (const auto& slowdowns : result.slowdowns) {
        std::printf(" %.2f", mean(slowdowns));
    }
    std::printf("\n");
    const bool has_bounds = workload.load > 0.7 && workload.load < 1.1;
    if (!has_bounds) {
        return;
    }
    check_upper_bound(
        name + ": p95 of program latency over baseline",
        percentile(result.program_latencies, 0.95) / percentile(baseline.program_latencies, 0.95), 0.6);
    check_upper_bound(name + ": mean of program latency over baseline",
                      mean(result.program_latencies) / mean(baseline.program_latencies), 0.75);
    check_upper_bound(name + ": repeated prefill over baseline",
                      ratio(result.repeated_prefill_tokens, result.prompt_tokens) /
                          ratio(baseline.repeated_prefill_tokens, baseline.prompt_tokens),
                      0.25);
    check_upper_bound(name + ": worst organisation's slowdown over median",
                      worst_to_median_slowdown(result, -1), 1.25);
    check_upper_bound(name + ": refused within the rate, share",
                      ratio(result.refused_within_rate, result.requests_within_rate), 0.0001);
    check_upper_bound(name + ": calls over an engine's window", static_cast<double>(result.window_violations),
                      0);
}

void check_noisy_organisation(workload_options workload, int noisy_organisation)
{
    workload.noisy_organisation = noisy_organisation;
    const simulation_result result = run_simulation(workload, shipped_policy);
    const std::string name = workload.name + " load " + std::to_string(workload.load).substr(0, 3) +
                             ", one sends five times its rate";
    check_upper_bound(name + ": worst other's slowdown over median",
                      worst_to_median_slowdown(result, noisy_organisation), 1.25);
    check_upper_bound(name + ": refused within the rate, share",
                      ratio(result.refused_within_rate, result.requests_within_rate), 0.0001);
}

void check_evacuation(workload_options workload)
{
    workload.load = 0.4; // the other centres have the capacity: 6 of 10 or 9 of 12 engines stay
    workload.evacuated_data_centre = 0;
    workload.evacuation_start = 200;
    workload.evacuation_end = 350;
    const simulation_result result = run_simulation(workload, shipped_policy);
    check_upper_bound(workload.name + ", a data centre leaves and returns: refused within the rate",
                      static_cast<double>(result.refused_within_rate), 0);
}

void check_engine_restart(workload_options workload)
{
    workload.failing_engine = 1;
    workload.load = 1.0;
    workload.engine_failure_time = 200;
    workload.engine_restart_time = 230;
    const simulation_result result = run_simulation(workload, shipped_policy);
    check_upper_bound(workload.name + ", an engine dies and returns: calls over its window",
                      static_cast<double>(result.window_violations), 0);
    check_upper_bound(workload.name + ", an engine dies and returns: seconds to full use",
                      result.ramp_up_seconds == 0 ? 1e9 : result.ramp_up_seconds, 30);
}

int run(std::uint64_t seed)
{
    for (workload_options workload : {make_jarshy_workload(), make_cinderbrook_workload()}) {
        workload.seed = seed;
        for (const double load : {0.5, 0.8, 1.0, 1.3}) {
            workload.load = load;
            compare_with_baseline(workload);
        }
        workload.load = 0.8;
        check_noisy_organisation(workload, 0);
        check_noisy_organisation(workload, 4);
        check_evacuation(workload);
        check_engine_restart(workload);
    }
    std::printf("%d bounds not held\n", failed_bounds);
    return failed_bounds == 0 ? 0 : 1;
}

} // namespace
} // namespace guavawick::bench

int main(int argc, char** argv)
{
    const std::uint64_t seed =
        argc > 2 && std::strcmp(argv[1], "--seed") == 0 ? std::strtoull(argv[2], nullptr, 10) : 1;
    return guavawick::bench::run(seed);
}
