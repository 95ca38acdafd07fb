// Live bench: sends requests at a fixed rate, whether or not earlier ones have finished, to entries or to an
// upstream directly. Prints latencies, status counts and the longest time without a successful response.
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

ABSL_FLAG(std::string, entries, "http://127.0.0.1:8080", "addresses of the entries, separated by commas");
ABSL_FLAG(double, rate, 200,
          "requests per second, sent on schedule whether or not answers to earlier ones have arrived");
ABSL_FLAG(double, seconds, 10, "length of the run, in seconds");
ABSL_FLAG(std::string, key, "demo-key", "API key of the caller");
ABSL_FLAG(int32_t, programs, 400, "number of programs that the requests are spread over");
ABSL_FLAG(int32_t, tokens, 5, "tokens to generate for each answer");

namespace guavawick::bench {
namespace {

namespace asio = boost::asio;

struct request_sample {
    double scheduled_at = 0; ///< seconds since the start of the run
    double latency = 0;      ///< seconds since `scheduled_at`
    int status = 0;          ///< HTTP status; 0: the connection failed or timed out
};

struct run_state {
    std::mutex mutex; ///< guards `samples`
    std::vector<request_sample> samples;
    std::atomic<int> in_flight{0};
};

asio::awaitable<void> send_request(run_state& run, std::string address, int program, time_point start,
                                   double scheduled_at)
{
    http::request request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.headers["Authorization"] = "Bearer " + absl::GetFlag(FLAGS_key);
    request.headers["Guavawick-Program"] = "load-" + std::to_string(program);
    request.body = R"({"model":"m","messages":[{"role":"user","content":"[slow:)" +
                   std::to_string(absl::GetFlag(FLAGS_tokens)) + R"(]"}]})";
    int status = 0;
    try {
        const http::response response =
            co_await http::fetch_response(std::move(address), std::move(request), std::chrono::seconds(60));
        status = response.status;
    }
    catch (const http::client_error&) {
        status = 0;
    }
    // Measured from the scheduled time, so that the delay of a late start counts.
    const double latency = to_seconds(runtime_clock::now() - start) - scheduled_at;
    const std::lock_guard lock(run.mutex);
    run.samples.push_back({scheduled_at, latency, status});
    run.in_flight.fetch_sub(1);
}

double quantile(std::vector<double>& sorted, double fraction)
{
    return sorted.empty()
               ? 0
               : sorted[static_cast<std::size_t>(fraction * static_cast<double>(sorted.size() - 1))];
}

void report(run_state& run)
{
    std::vector<double> latencies;
    std::vector<double> completion_times;
    std::map<int, int> status_counts;
    for (const request_sample& sample : run.samples) {
        ++status_counts[sample.status];
        if (sample.status == 200) {
            latencies.push_back(sample.latency);
            completion_times.push_back(sample.scheduled_at + sample.latency);
        }
    }
    std::sort(latencies.begin(), latencies.end());
    std::sort(completion_times.begin(), completion_times.end());
    double max_gap = 0;
    for (std::size_t i = 1; i < completion_times.size(); ++i) {
        max_gap = std::max(max_gap, completion_times[i] - completion_times[i - 1]);
    }
    std::printf("answered %zu of %zu; p50 %.1f ms, p95 %.1f ms, p99 %.1f ms, longest %.1f ms; longest gap "
                "between answers %.0f ms; statuses:",
                latencies.size(), run.samples.size(), 1000 * quantile(latencies, 0.5),
                1000 * quantile(latencies, 0.95), 1000 * quantile(latencies, 0.99),
                latencies.empty() ? 0 : 1000 * latencies.back(), 1000 * max_gap);
    for (const auto& [status, count] : status_counts) {
        std::printf(" %d:%d", status, count);
    }
    std::printf("\n");
}

int run_bench()
{
    configure_logging("", severity::error);
    runtime::worker_pool pool(2);
    run_state run;
    std::vector<std::string> entries;
    const std::string address_list = absl::GetFlag(FLAGS_entries) + ",";
    for (std::size_t position = 0, comma = address_list.find(','); comma != std::string::npos;
         position = comma + 1, comma = address_list.find(',', position)) {
        entries.push_back(address_list.substr(position, comma - position));
    }
    const int count = static_cast<int>(absl::GetFlag(FLAGS_rate) * absl::GetFlag(FLAGS_seconds));
    const time_point start = runtime_clock::now();
    for (int i = 0; i < count; ++i) {
        const double scheduled_at = i / absl::GetFlag(FLAGS_rate);
        std::this_thread::sleep_until(
            std::chrono::steady_clock::now() +
            std::max<duration>(duration{}, from_seconds(scheduled_at) - (runtime_clock::now() - start)));
        run.in_flight.fetch_add(1);
        pool.spawn(send_request(run, entries[static_cast<std::size_t>(i) % entries.size()],
                                i % absl::GetFlag(FLAGS_programs), start, scheduled_at));
    }
    while (run.in_flight.load() != 0) {
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
    return guavawick::bench::run_bench();
}
