// Measures the shipped policy beside its baseline and checks the stated bounds: one line a bound.
#include "policy_world.hpp"

#include <cstdio>
#include <cstring>

namespace guavawick::bench {
namespace {

const policy_choice shipped{};
const policy_choice baseline{routing::routing_policy::round_robin, scheduling::queue_policy::fifo, true};

workload jarshy()
{
    workload made;
    made.name = "jarshy";
    made.data_centres = 3;
    made.engines = 10;
    made.seconds_between = 0.0005;
    made.shares = {0.35, 0.25, 0.15, 0.05, 0.05, 0.05, 0.05, 0.05};
    return made;
}

workload cinderbrook()
{
    workload made = jarshy();
    made.name = "cinderbrook";
    made.data_centres = 4;
    made.engines = 12;
    made.seconds_between = 0.001;
    return made;
}

int failures = 0;

void line(const std::string& name, double figure, double bound, bool held)
{
    std::printf("%-62s figure %9.4f  bound %9.4f  %s\n", name.c_str(), figure, bound,
                held ? "held" : "NOT HELD");
    failures += held ? 0 : 1;
}

void at_most(const std::string& name, double figure, double bound)
{
    line(name, figure, bound, figure <= bound);
}

double worst_over_median(const run_result& result, int loud)
{
    std::vector<double> means;
    for (std::size_t i = 0; i < result.slowdowns.size(); ++i) {
        if (static_cast<int>(i) != loud && !result.slowdowns[i].empty()) {
            means.push_back(mean(result.slowdowns[i]));
        }
    }
    const double worst = *std::max_element(means.begin(), means.end());
    return worst / percentile(means, 0.5);
}

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

void compare(const workload& work)
{
    const run_result ours = run_world(work, shipped);
    const run_result theirs = run_world(work, baseline);
    const std::string name =
        work.name + " load " + std::to_string(work.load).substr(0, 3) + " seed " + std::to_string(work.seed);
    std::printf("# %s: %zu and %zu programs; mean %.2f s and %.2f s; p95 %.2f s and %.2f s\n", name.c_str(),
                ours.latencies.size(), theirs.latencies.size(), mean(ours.latencies), mean(theirs.latencies),
                percentile(ours.latencies, 0.95), percentile(theirs.latencies, 0.95));
    std::printf("# mean slowdown by organisation:");
    for (const auto& one : ours.slowdowns) {
        std::printf(" %.2f", mean(one));
    }
    std::printf("\n");
    const bool bound = work.load > 0.7 && work.load < 1.1;
    if (!bound) {
        return;
    }
    at_most(name + ": p95 of program latency over baseline",
            percentile(ours.latencies, 0.95) / percentile(theirs.latencies, 0.95), 0.6);
    at_most(name + ": mean of program latency over baseline", mean(ours.latencies) / mean(theirs.latencies),
            0.75);
    at_most(name + ": repeated prefill over baseline",
            share(ours.repeated_tokens, ours.prompt_tokens) /
                share(theirs.repeated_tokens, theirs.prompt_tokens),
            0.25);
    at_most(name + ": worst organisation's slowdown over median", worst_over_median(ours, -1), 1.25);
    at_most(name + ": refused within the rate, share", share(ours.refused_within, ours.asked_within), 0.0001);
    at_most(name + ": calls over an engine's window", static_cast<double>(ours.over_window), 0);
}

void loud_organisation(workload work, int loud)
{
    work.loud = loud;
    const run_result ours = run_world(work, shipped);
    const std::string name =
        work.name + " load " + std::to_string(work.load).substr(0, 3) + ", one sends five times its rate";
    at_most(name + ": worst other's slowdown over median", worst_over_median(ours, loud), 1.25);
    at_most(name + ": refused within the rate, share", share(ours.refused_within, ours.asked_within), 0.0001);
}

void leaving_centre(workload work)
{
    work.load = 0.4; // the rest has room: 6 of 10 or 9 of 12 engines stay
    work.out_centre = 0;
    work.out_from = 200;
    work.out_until = 350;
    const run_result ours = run_world(work, shipped);
    at_most(work.name + ", a data centre leaves and returns: refused within the rate",
            static_cast<double>(ours.refused_within), 0);
}

void fresh_engine(workload work)
{
    work.dying_engine = 1;
    work.load = 1.0;
    work.dies_at = 200;
    work.back_at = 230;
    const run_result ours = run_world(work, shipped);
    at_most(work.name + ", an engine dies and returns: calls over its window",
            static_cast<double>(ours.over_window), 0);
    at_most(work.name + ", an engine dies and returns: seconds to full use",
            ours.full_use_seconds == 0 ? 1e9 : ours.full_use_seconds, 30);
}

int run(std::uint64_t seed)
{
    for (workload work : {jarshy(), cinderbrook()}) {
        work.seed = seed;
        for (const double load : {0.5, 0.8, 1.0, 1.3}) {
            work.load = load;
            compare(work);
        }
        work.load = 0.8;
        loud_organisation(work, 0);
        loud_organisation(work, 4);
        leaving_centre(work);
        fresh_engine(work);
    }
    std::printf("%d bounds not held\n", failures);
    return failures == 0 ? 0 : 1;
}

} // namespace
} // namespace guavawick::bench

int main(int argc, char** argv)
{
    const std::uint64_t seed =
        argc > 2 && std::strcmp(argv[1], "--seed") == 0 ? std::strtoull(argv[2], nullptr, 10) : 1;
    return guavawick::bench::run(seed);
}
