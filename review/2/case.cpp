// An order that was withdrawn by a later one is executed late, by a control replica that was frozen.
#include "../standin/standin.hpp"

#include <csignal>

using namespace standin;

namespace {

constexpr double evacuate_s = 5.0; // evacuate_ms
constexpr double contact_s = 3.0;  // contact_ms
constexpr int frozen_machine = 0;  // its control replica and its gateway stand still together
constexpr double freeze_s = 6.0;

const char* const config = R"({"version":1,"routes":[{"name":"r1","hostname":"desk.example",
"path_prefix":"/look/","type":"idempotent","timeout_ms":1500,"target_latency_ms":250,"priority":2,
"service":"posting","max_attempts":2,"allow_anonymous":true,"session_affinity":false}],
"services":[{"name":"posting","health_path":"/health","max_connections":120,"protocol":"h1","tls":false,
"cold_start_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["k1k1k1k1k1"],"priority":1,"rate_per_s":0,"burst":0}]})";

} // namespace

int main()
{
    fleet system(4, 4);
    std::atomic<double> acknowledged_at{1e9};
    std::atomic<double> thawed_at{1e9};
    std::atomic<int> broken{0};
    std::atomic<int> served{0};
    const auto answer = [&](worker& self, const message& request, channel& to) {
        const double now = now_s();
        if (self.id() == "i-b") {
            record("worker i-b in tame runs %s", request.header("X-Guavawick-Request-Id").c_str());
            if (now > acknowledged_at + evacuate_s && now > thawed_at + contact_s) {
                ++broken;
            }
        }
        sleep_ms(10);
        ++served;
        return self.reply(to, request, 200, "ok");
    };
    worker a(system, "i-a", "posting", "trent", 0, 6, answer);
    worker b(system, "i-b", "posting", "tame", 1, 6, answer);
    worker c(system, "i-c", "posting", "soar", 2, 6, answer);
    if (give_order(system, 1, "/guavawick/Config.Replace", config, 15) != 200) {
        give_up("the config was not acknowledged");
    }
    system.wait_ready();
    sleep_ms(4000);

    if (give_order(system, 1, "/guavawick/Evacuations.Start/tame", "") != 200) {
        give_up("the first evacuation was not acknowledged");
    }
    sleep_ms(2000);
    const double frozen_at = now_s();
    if (with_trouble()) {
        system.signal("control", frozen_machine, SIGSTOP);
        system.signal("gateway", frozen_machine, SIGSTOP);
    }
    sleep_ms(100);
    if (give_order(system, frozen_machine, "/guavawick/Evacuations.Finish/tame", "") != 200) {
        give_up("the end of the first evacuation was not acknowledged");
    }
    sleep_ms(2000);
    if (give_order(system, 1, "/guavawick/Evacuations.Start/tame", "") != 200) {
        give_up("the second evacuation was not acknowledged");
    }
    acknowledged_at = now_s();
    record("the second evacuation of tame is acknowledged and isn't taken back");
    sleep_until(frozen_at + freeze_s);
    if (with_trouble()) {
        system.signal("control", frozen_machine, SIGCONT);
        system.signal("gateway", frozen_machine, SIGCONT);
    }
    thawed_at = now_s();

    // Callers of the gateways that were never disturbed.
    int sent = 0;
    for (const double until = thawed_at + contact_s + 7; now_s() < until; ++sent) {
        const int gateway = 1 + sent % 3;
        const int status = exchange(system.gateway(gateway),
                                    make_request("GET", "/look/2f", "desk.example",
                                                 {{"X-Guavawick-Request-Id", "q" + std::to_string(sent)},
                                                  {"X-Guavawick-Deadline-Ms", "1500"},
                                                  {"Api-Key", "k1k1k1k1k1"}},
                                                 ""),
                                    1500);
        record("caller: q%d sent to gateway %d, answered %d", sent, gateway + 1, status);
        sleep_ms(25);
    }
    record("callers sent %d, workers answered %d", sent, served.load());
    record("requests at the worker of the evacuated zone later than the bounds: %d", broken.load());
    if (served.load() < sent / 2) {
        give_up("the system didn't serve");
    }
    record(broken > 0 ? "EVAC is broken" : "EVAC holds");
    return broken > 0 ? rule_broken : rule_held;
}
