// Requests of the largest size that the config allows, from as many callers as a small site has, at one
// gateway.
#include "../standin/standin.hpp"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <set>

using namespace standin;

namespace {

int callers = 31;                                  // the clients of the site file's three zones
constexpr std::uint64_t memory_limit = 110U << 20; // memory_mb of the machine, counted as MiB
constexpr int bystanders = 10;                     // callers of small requests at the same gateway
constexpr std::size_t small_body = 600;
constexpr std::size_t large_body = 4194304 - 4096; // under max_body_bytes

const char* const config = R"({"version":1,"routes":[{"name":"r1","hostname":"desk.example",
"path_prefix":"/file/","type":"non_idempotent","timeout_ms":6000,"target_latency_ms":800,"priority":2,
"service":"posting","max_attempts":1,"allow_anonymous":true,"session_affinity":false}],
"services":[{"name":"posting","health_path":"/health","max_connections":120,"protocol":"h1","tls":false,
"cold_start_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["k1k1k1k1k1"],"priority":1,"rate_per_s":0,"burst":0}]})";

std::mutex run_mutex;
std::set<std::string> run_ids;

bool file_notice(worker& self, const message& request, channel& to)
{
    {
        const std::lock_guard lock(run_mutex);
        run_ids.insert(request.header("X-Guavawick-Request-Id"));
    }
    sleep_ms(208); // the work of a batch-filing
    return self.reply(to, request, 200, std::string(800, 'f'));
}

std::string make_filing(const std::string& id, std::size_t body_bytes)
{
    return make_request(
        "POST", "/file/2f", "desk.example",
        {{"X-Guavawick-Request-Id", id}, {"X-Guavawick-Deadline-Ms", "6000"}, {"Api-Key", "k1k1k1k1k1"}},
        std::string(body_bytes, 'x'));
}

} // namespace

int main()
{
    if (const char* text = std::getenv("CALLERS")) {
        callers = std::atoi(text);
    }
    fleet system(3, 3);
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 0; i < 7; ++i) {
        workers.push_back(std::make_unique<worker>(system, "i-" + std::to_string(i), "posting",
                                                   system.zone(i), i, 6, file_notice));
    }
    if (give_order(system, 1, "/guavawick/Config.Replace", config, 15) != 200) {
        give_up("the config was not acknowledged");
    }
    system.wait_ready();
    sleep_ms(4000);

    // The platform: "A process that uses more than `memory_mb` is killed."
    std::atomic<bool> stop{false};
    std::atomic<std::uint64_t> peak{0};
    std::atomic<bool> killed{false};
    std::thread platform([&] {
        while (!stop) {
            const std::uint64_t bytes = system.resident("gateway", 0);
            peak = std::max(peak.load(), bytes);
            if (bytes > memory_limit && !killed) {
                killed = true;
                record("gateway 1 uses %.1f MiB: the platform kills it",
                       static_cast<double>(bytes) / (1U << 20U));
                system.signal("gateway", 0, SIGKILL);
            }
            sleep_ms(2);
        }
    });

    // Callers that keep a channel and send small filings all the while.
    std::atomic<int> lost{0};
    std::atomic<int> answered{0};
    std::vector<std::thread> threads;
    const double burst_at = now_s() + 3;
    for (int i = 0; i < bystanders; ++i) {
        threads.emplace_back([&, i] {
            channel kept;
            message answer;
            for (int n = 0; now_s() < burst_at + 4; ++n) {
                const std::string id = "s" + std::to_string(i) + "-" + std::to_string(n);
                if (!kept.is_open() && !kept.connect(system.gateway(0), 1000)) {
                    return;
                }
                const bool sent = kept.send(make_filing(id, small_body));
                const bool complete = sent && kept.read(answer, true, 6000) == read_result::complete;
                if (complete) {
                    answered += answer.status == 200 ? 1 : 0;
                    record("%s: answered %d", id.c_str(), answer.status);
                    sleep_ms(100);
                    continue;
                }
                kept.shut();
                const std::lock_guard lock(run_mutex);
                if (run_ids.contains(id)) {
                    ++lost;
                    record("%s: run by a worker, its kept channel ended without an answer", id.c_str());
                }
                return;
            }
        });
    }
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] {
            const std::string id = "l" + std::to_string(i);
            const std::string request = make_filing(id, with_trouble() ? large_body : small_body);
            sleep_until(burst_at);
            const int status = exchange(system.gateway(0), request, 6000);
            const std::lock_guard lock(run_mutex);
            record("%s: %zu bytes sent, answered %d, %s", id.c_str(), request.size(), status,
                   run_ids.contains(id) ? "run" : "not run");
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    stop = true;
    platform.join();
    record("gateway 1 used %.1f MiB at most, its limit is %.1f MiB", static_cast<double>(peak) / (1U << 20U),
           static_cast<double>(memory_limit) / (1U << 20U));
    record("small filings answered %d, run and never answered %d", answered.load(), lost.load());
    if (answered < 20) {
        give_up("the system didn't serve");
    }
    const bool broken = killed && lost > 3;
    record(broken ? "LOST is broken" : "LOST holds");
    return broken ? rule_broken : rule_held;
}
