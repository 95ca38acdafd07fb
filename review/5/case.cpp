// A request that crashes each worker in the middle of its stream is never recognised and keeps crashing
// workers.
#include "../standin/standin.hpp"

#include <csignal>
#include <cstdlib>
#include <memory>

using namespace standin;

namespace {

constexpr int worker_count = 12; // ember-models of the site
constexpr int down_ms = 2500;    // a crashed worker is back after some seconds
constexpr int poison_pause_ms = 1000;
constexpr int poison_count = 20;
constexpr double contact_s = 3.0; // contact_ms
constexpr int bystanders = 12;

const char* const config = R"({"version":1,"routes":[{"name":"r1","hostname":"desk.example",
"path_prefix":"/draft/","type":"streaming","timeout_ms":6000,"target_latency_ms":200,"priority":0,
"service":"models","max_attempts":2,"retain_context":false,"retention_s":60.0,"allow_anonymous":false,
"session_affinity":true,"resumable":false,"gap_target_ms":500}],
"services":[{"name":"models","health_path":"/health","max_connections":380,"protocol":"h1","tls":false,
"cold_start_s":0.0,"cold_per_s":0.0,"engine":{"slots":64,"kv_capacity":217590,"kv_token_bytes":163840,
"link_mbps":550000.0,"moves":true,"backups":true,"stream_stride":3,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,
"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["k1k1k1k1k1"],"priority":1,"rate_per_s":0,"burst":0}]})";

std::mutex crash_mutex;
std::vector<double> crashes; // when the request began to run

std::string chunk(const std::string& bytes)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

std::string event(int number)
{
    return "id: " + std::to_string(number) + "\ndata: word" + std::to_string(number) + "\n\n";
}

bool draft(worker& self, const message& request, channel& to)
{
    const bool is_poison = request.body == "poison" && with_trouble();
    const bool before_head = is_poison && std::getenv("BEFORE_HEAD") != nullptr;
    if (!before_head && !to.send("HTTP/1.1 200 OK\r\n" + self.common_headers(request) +
                                 "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
        return false;
    }
    for (int i = 1; i <= 6; ++i) {
        if (is_poison && (before_head || i == 3)) {
            {
                const std::lock_guard lock(crash_mutex);
                crashes.push_back(now_s());
            }
            record("worker %s crashes while it runs %s", self.id().c_str(),
                   request.header("X-Guavawick-Request-Id").c_str());
            self.crash(down_ms);
            return false;
        }
        sleep_ms(50);
        if (!to.send(chunk(event(i)))) {
            return false;
        }
    }
    return to.send("0\r\n\r\n");
}

int send_draft(const fleet& system, int gateway, const std::string& id, const std::string& body)
{
    message answer;
    return exchange(system.gateway(gateway),
                    make_request("POST", "/draft/2f", "desk.example",
                                 {{"X-Guavawick-Request-Id", id},
                                  {"X-Guavawick-Deadline-Ms", "6000"},
                                  {"X-Guavawick-Token-Usage", "1460,80"},
                                  {"X-Guavawick-Model", "m"},
                                  {"Api-Key", "k1k1k1k1k1"}},
                                 body),
                    7000, &answer);
}

} // namespace

int main()
{
    fleet system(4, 4);
    std::vector<std::unique_ptr<worker>> workers;
    for (int i = 0; i < worker_count; ++i) {
        workers.push_back(std::make_unique<worker>(system, "i-" + std::to_string(i), "models", system.zone(i),
                                                   i, 64, draft));
    }
    if (give_order(system, 1, "/guavawick/Config.Replace", config, 15) != 200) {
        give_up("the config was not acknowledged");
    }
    system.wait_ready();
    sleep_ms(4000);
    std::atomic<bool> stop{false};
    std::atomic<int> answered{0};
    std::atomic<int> cut{0};
    std::vector<std::thread> threads;
    for (int i = 0; i < bystanders; ++i) {
        threads.emplace_back([&, i] {
            sleep_ms(i * 40);
            for (int n = 0; !stop; ++n) {
                const std::string id = "b" + std::to_string(i) + "-" + std::to_string(n);
                const int status = send_draft(system, i % 4, id, "a draft " + id);
                ++(status == 200 ? answered : cut);
                if (status != 200) {
                    record("caller: %s ended with %d", id.c_str(), status);
                }
                sleep_ms(100);
            }
        });
    }
    sleep_ms(1000);
    for (int n = 0; n < poison_count; ++n) {
        const int status = send_draft(system, n % 4, "p" + std::to_string(n), "poison");
        record("caller: the request comes as p%d at gateway %d: %d", n, n % 4 + 1, status);
        sleep_ms(poison_pause_ms);
    }
    stop = true;
    for (std::thread& thread : threads) {
        thread.join();
    }
    int late = 0;
    for (std::size_t i = 3; i < crashes.size(); ++i) {
        late += crashes[i] > crashes[2] + contact_s ? 1 : 0;
    }
    record("the request crashed workers %zu times, %d of these later than %.0f s after the third",
           crashes.size(), late, contact_s);
    record("other drafts answered %d, cut %d", answered.load(), cut.load());
    if (answered < 20) {
        give_up("the system didn't serve");
    }
    record(late > 3 ? "BUDGET is broken" : "BUDGET holds");
    return late > 3 ? rule_broken : rule_held;
}
