// Turns of the largest size that the config allows take every store over its memory, one after the
// other.
#include "../standin/standin.hpp"

#include <algorithm>
#include <csignal>
#include <memory>
#include <set>

using namespace standin;

namespace {

constexpr int large_turns = 24;
constexpr int bystanders = 10;                        // callers of small turns at the same time
constexpr std::uint64_t memory_limit = 260ULL << 20U; // memory_mb of a storage machine, counted as MiB
constexpr std::size_t large_body = 4194304 - 4096;    // under max_body_bytes
constexpr std::size_t small_body = 5100;              // the mean of the site
constexpr int prefill_ms = 647;                       // 20,000 prompt tokens at 30.9 a ms

const char* const config = R"({"version":1,"routes":[{"name":"r1","hostname":"desk.example",
"path_prefix":"/chat/","type":"streaming","timeout_ms":6000,"target_latency_ms":200,"priority":0,
"service":"models","max_attempts":2,"retain_context":true,"retention_s":60.0,"allow_anonymous":false,
"session_affinity":true,"resumable":false,"gap_target_ms":500}],
"services":[{"name":"models","health_path":"/health","max_connections":380,"protocol":"h1","tls":false,
"cold_start_s":0.0,"cold_per_s":0.0,"engine":{"slots":64,"kv_capacity":217590,"kv_token_bytes":163840,
"link_mbps":550000.0,"moves":true,"backups":true,"stream_stride":3,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,
"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["k1k1k1k1k1"],"priority":1,"rate_per_s":0,"burst":0}]})";

std::mutex run_mutex;
std::set<std::string> run_ids;

bool stream(worker& self, const message& request, channel& to)
{
    {
        const std::lock_guard lock(run_mutex);
        run_ids.insert(request.header("X-Guavawick-Request-Id"));
    }
    if (!to.send("HTTP/1.1 200 OK\r\n" + self.common_headers(request) +
                 "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
        return false;
    }
    sleep_ms(prefill_ms);
    for (int i = 1; i <= 6; ++i) {
        sleep_ms(100);
        const std::string event = "id: " + std::to_string(i) + "\ndata: word" + std::to_string(i) + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!to.send(size + event + "\r\n")) {
            return false;
        }
    }
    return to.send("0\r\n\r\n");
}

std::string make_turn(const std::string& id, std::size_t body_bytes)
{
    return make_request("POST", "/chat/4b", "desk.example",
                        {{"X-Guavawick-Request-Id", id},
                         {"X-Guavawick-Deadline-Ms", "6000"},
                         {"X-Guavawick-Program-Id", "p" + id},
                         {"X-Guavawick-Session-Id", "s" + id},
                         {"X-Guavawick-Finish-Ms", "20000"},
                         {"X-Guavawick-Token-Budget", "1080"},
                         {"X-Guavawick-Token-Usage", "20000,135"},
                         {"X-Guavawick-Model", "m"},
                         {"Api-Key", "k1k1k1k1k1"}},
                        std::string(body_bytes, 'x'));
}

} // namespace

int main()
{
    fleet system(4, 4);
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 0; i < 12; ++i) {
        workers.push_back(std::make_unique<worker>(system, "i-" + std::to_string(i), "models", system.zone(i),
                                                   i, 64, stream));
    }
    if (give_order(system, 1, "/guavawick/Config.Replace", config, 15) != 200) {
        give_up("the config was not acknowledged");
    }
    system.wait_ready();
    sleep_ms(4000);

    // The platform: "A process that uses more than `memory_mb` is killed", and "is restarted after a short
    // delay".
    std::atomic<bool> stop{false};
    std::atomic<int> kills{0};
    std::uint64_t peak[4] = {0, 0, 0, 0};
    std::thread platform([&] {
        while (!stop) {
            for (int i = 0; i < 4; ++i) {
                const std::uint64_t bytes = system.resident("store", i);
                peak[i] = std::max(peak[i], bytes);
                if (bytes > memory_limit) {
                    record("store %d uses %.1f MiB: the platform kills it", i + 1,
                           static_cast<double>(bytes) / (1U << 20U));
                    ++kills;
                    system.restart("store", i, 500);
                }
            }
            sleep_ms(2);
        }
    });

    std::atomic<int> lost{0};
    std::atomic<int> answered{0};
    std::atomic<int> large_answered{0};
    std::vector<std::thread> threads;
    const double burst_at = now_s() + 3;
    for (int i = 0; i < bystanders; ++i) {
        threads.emplace_back([&, i] {
            channel kept;
            message answer;
            sleep_ms(i * 75);
            for (int n = 0; now_s() < burst_at + 14; ++n) {
                const std::string id = "b" + std::to_string(i) + "-" + std::to_string(n);
                if (!kept.is_open() && !kept.connect(system.gateway(i % 4), 1000)) {
                    sleep_ms(100);
                    continue;
                }
                const bool complete = kept.send(make_turn(id, small_body)) &&
                                      kept.read(answer, true, 7000) == read_result::complete;
                if (complete) {
                    answered += answer.status == 200 ? 1 : 0;
                    record("%s: answered %d", id.c_str(), answer.status);
                }
                else {
                    kept.shut();
                    const std::lock_guard lock(run_mutex);
                    if (run_ids.contains(id)) {
                        ++lost;
                        record("%s: run by a worker, its kept channel ended without a whole answer",
                               id.c_str());
                    }
                }
                sleep_ms(150);
            }
        });
    }
    for (int i = 0; i < large_turns; ++i) {
        threads.emplace_back([&, i] {
            const std::string id = "l" + std::to_string(i);
            const std::string request = make_turn(id, with_trouble() ? large_body : small_body);
            channel kept;
            message answer;
            if (!kept.connect(system.gateway(i % 4), 1000) ||
                !kept.send(make_turn("first-" + id, small_body)) ||
                kept.read(answer, true, 7000) != read_result::complete || answer.status != 200) {
                record("%s: the caller's first turn was not answered", id.c_str());
                return;
            }
            sleep_until(burst_at);
            const bool complete =
                kept.send(request) && kept.read(answer, true, 7000) == read_result::complete;
            const std::lock_guard lock(run_mutex);
            const bool run = run_ids.contains(id);
            large_answered += complete && answer.status == 200 ? 1 : 0;
            lost += run && !complete ? 1 : 0;
            record("%s: %zu bytes sent on a kept channel, %s, %s %d", id.c_str(), request.size(),
                   run ? "run by a worker" : "not run",
                   complete ? "answered" : "channel ended without a whole answer",
                   complete ? answer.status : 0);
        });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    stop = true;
    platform.join();
    for (int i = 0; i < 4; ++i) {
        record("store %d used %.1f MiB at most, its limit is %.1f MiB", i + 1,
               static_cast<double>(peak[i]) / (1U << 20U), static_cast<double>(memory_limit) / (1U << 20U));
    }
    record("kills for memory %d; of %d large turns %d were answered; small turns answered %d; run and cut, "
           "of both, %d",
           kills.load(), large_turns, large_answered.load(), answered.load(), lost.load());
    if (answered < 20) {
        give_up("the system didn't serve");
    }
    const bool broken = kills > 0 && lost > 3;
    record(broken ? "LOST is broken" : "LOST holds");
    return broken ? rule_broken : rule_held;
}
