// A turn that was answered whole can't be continued, since its predecessor expired while it ran.
#include "../standin/standin.hpp"

#include <csignal>

using namespace standin;

namespace {

constexpr double retention_s = 60.0; // of the route
constexpr double pause_s = 59.9;     // between the answer of the first turn and the sending of the second
constexpr int events = 13;
constexpr int quick_pause_ms = 120; // between events of a worker as usual
constexpr int slow_factor = 4;      // srv_slow works at most this many times as long

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

std::atomic<int> event_pause_ms{quick_pause_ms};

bool stream(worker& self, const message& request, channel& to)
{
    record("worker runs %s with %zu bytes", request.header("X-Guavawick-Request-Id").c_str(),
           request.body.size());
    if (!to.send("HTTP/1.1 200 OK\r\n" + self.common_headers(request) +
                 "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")) {
        return false;
    }
    for (int i = 1; i <= events; ++i) {
        if (i > 1) {
            sleep_ms(event_pause_ms);
        }
        const std::string event = "id: " + std::to_string(i) + "\ndata: word" + std::to_string(i) + "\n\n";
        char size[16];
        std::snprintf(size, sizeof size, "%zx\r\n", event.size());
        if (!to.send(size + event + "\r\n")) {
            record("worker's channel is closed");
            return false;
        }
    }
    return to.send("0\r\n\r\n");
}

/// Sends a turn. @return its status, 0 if the answer was not whole.
int send_turn(const fleet& system, const std::string& id, const std::string& previous,
              const std::string& program = "3fa81c")
{
    std::vector<std::pair<std::string, std::string>> headers{
        {"X-Guavawick-Request-Id", id},
        {"X-Guavawick-Deadline-Ms", "6000"},
        {"X-Guavawick-Program-Id", program},
        {"X-Guavawick-Session-Id", "77d20b"},
        {"X-Guavawick-Finish-Ms", "90000"},
        {"X-Guavawick-Token-Budget", "1080"},
        {"X-Guavawick-Token-Usage", "1840,135"},
        {"X-Guavawick-Model", "m"},
        {"Api-Key", "k1k1k1k1k1"},
    };
    if (!previous.empty()) {
        headers.emplace_back("X-Guavawick-Previous-Turn", previous);
    }
    const double sent_at = now_s();
    message answer;
    const int status = exchange(
        system.gateway(0), make_request("POST", "/chat/4b", "desk.example", headers, "input"), 7000, &answer);
    record("caller sent turn %s (previous \"%s\") at %.3f: %d, %zu bytes", id.c_str(), previous.c_str(),
           sent_at, status, answer.body.size());
    return status;
}

} // namespace

int main()
{
    fleet system(4, 4);
    worker first(system, "i-a", "models", "trent", 0, 64, stream);
    worker second(system, "i-b", "models", "tame", 1, 64, stream);
    if (give_order(system, 1, "/guavawick/Config.Replace", config, 15) != 200) {
        give_up("the config was not acknowledged");
    }
    system.wait_ready();
    if (send_turn(system, "t1", "") != 200) {
        give_up("the first turn was not answered");
    }
    const double answered_at = now_s();
    // Other programs of the site: the time of a ledger group advances with its commands.
    std::atomic<bool> stop{false};
    std::thread others([&] {
        for (int n = 0; !stop; ++n) {
            send_turn(system, "o" + std::to_string(n), "", "other-" + std::to_string(n));
        }
    });
    sleep_until(answered_at + pause_s);
    if (with_trouble()) {
        event_pause_ms = quick_pause_ms * slow_factor;
        record("the workers turn slow");
    }
    const bool second_answered = send_turn(system, "t2", "t1") == 200;
    const double second_answered_at = now_s();
    event_pause_ms = quick_pause_ms;
    const int status = second_answered ? send_turn(system, "t3", "t2") : 0;
    stop = true;
    others.join();
    if (!second_answered) {
        give_up("the second turn was not answered");
    }
    record("t3 names t2, which was answered whole %.3f s ago; it is kept for %.0f s",
           now_s() - second_answered_at, retention_s);
    const bool broken = status == 404 || status == 410;
    if (!broken && status != 200) {
        give_up("the third turn got " + std::to_string(status));
    }
    record(broken ? "LOST is broken" : "LOST holds");
    return broken ? rule_broken : rule_held;
}
