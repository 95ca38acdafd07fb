// Open-loop load against one entry: latency added over the stand-in, refusals, and the longest gap in
// service.
#include "base/clock_type.hpp"
#include "base/event_type.hpp"
#include "http/http_error_type.hpp"
#include "runtime/worker_pool.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <mutex>
#include <thread>

ABSL_FLAG(std::string, entries, "http://127.0.0.1:8080", "entries, separated by commas");
ABSL_FLAG(double, rate, 200, "requests a second, sent on schedule whatever the answers do");
ABSL_FLAG(double, seconds, 10, "length of the run");
ABSL_FLAG(std::string, key, "demo-key", "the caller's key");
ABSL_FLAG(int32_t, programs, 400, "programs that the requests are spread over");
ABSL_FLAG(int32_t, tokens, 5, "tokens of each answer");

namespace guavawick::bench {
namespace {

namespace asio = boost::asio;

struct sample {
    double due = 0;
    double seconds = 0;
    int status = 0;
};

struct load_run {
    std::mutex mutex;
    std::vector<sample> samples;
    std::atomic<int> running{0};
};

asio::awaitable<void> send_one(load_run& run, std::string address, int program, time_point start, double due)
{
    http::request wanted;
    wanted.method = "POST";
    wanted.target = "/v1/chat/completions";
    wanted.headers["Authorization"] = "Bearer " + absl::GetFlag(FLAGS_key);
    wanted.headers["Guavawick-Program"] = "load-" + std::to_string(program);
    wanted.body = R"({"model":"m","messages":[{"role":"user","content":"[slow:)" +
                  std::to_string(absl::GetFlag(FLAGS_tokens)) + R"(]"}]})";
    int status = 0;
    try {
        const http::response answer =
            co_await http::fetch_response(std::move(address), std::move(wanted), std::chrono::seconds(60));
        status = answer.status;
    }
    catch (const http::client_error&) {
        status = 0;
    }
    const double took = to_seconds(runtime_clock::now() - start) - due; // waiting for the schedule counts
    const std::lock_guard lock(run.mutex);
    run.samples.push_back({due, took, status});
    run.running.fetch_sub(1);
}

double quantile(std::vector<double>& sorted, double share)
{
    return sorted.empty() ? 0
                          : sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

void report(load_run& run)
{
    std::vector<double> good;
    std::vector<double> ends;
    std::map<int, int> statuses;
    for (const sample& one : run.samples) {
        ++statuses[one.status];
        if (one.status == 200) {
            good.push_back(one.seconds);
            ends.push_back(one.due + one.seconds);
        }
    }
    std::sort(good.begin(), good.end());
    std::sort(ends.begin(), ends.end());
    double gap = 0;
    for (std::size_t i = 1; i < ends.size(); ++i) {
        gap = std::max(gap, ends[i] - ends[i - 1]);
    }
    std::printf("answered %zu of %zu; p50 %.1f ms, p95 %.1f ms, p99 %.1f ms, longest %.1f ms; longest gap "
                "between answers %.0f ms; statuses:",
                good.size(), run.samples.size(), 1000 * quantile(good, 0.5), 1000 * quantile(good, 0.95),
                1000 * quantile(good, 0.99), good.empty() ? 0 : 1000 * good.back(), 1000 * gap);
    for (const auto& [status, count] : statuses) {
        std::printf(" %d:%d", status, count);
    }
    std::printf("\n");
}

int main_of_bench()
{
    configure_logging("", severity::error);
    runtime::worker_pool pool(2);
    load_run run;
    std::vector<std::string> entries;
    const std::string list = absl::GetFlag(FLAGS_entries) + ",";
    for (std::size_t at = 0, comma = list.find(','); comma != std::string::npos;
         at = comma + 1, comma = list.find(',', at)) {
        entries.push_back(list.substr(at, comma - at));
    }
    const int count = static_cast<int>(absl::GetFlag(FLAGS_rate) * absl::GetFlag(FLAGS_seconds));
    const time_point start = runtime_clock::now();
    for (int i = 0; i < count; ++i) {
        const double due = i / absl::GetFlag(FLAGS_rate);
        std::this_thread::sleep_until(
            std::chrono::steady_clock::now() +
            std::max<duration>(duration{}, from_seconds(due) - (runtime_clock::now() - start)));
        run.running.fetch_add(1);
        pool.spawn(send_one(run, entries[static_cast<std::size_t>(i) % entries.size()],
                            i % absl::GetFlag(FLAGS_programs), start, due));
    }
    while (run.running.load() != 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    report(run);
    pool.stop();
    return 0;
}

} // namespace
} // namespace guavawick::bench

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    return guavawick::bench::main_of_bench();
}
