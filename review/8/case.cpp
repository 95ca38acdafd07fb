// The instances of a service are replaced one after the other while another writer checks in under ids that
// are not text.
#include "kit.hpp"

using namespace review;

namespace {

constexpr std::int64_t drain_ms = 2000;        ///< bound of the deployment
constexpr std::int64_t served_on_ms = 4000;    ///< that an instance serves after the acknowledgement
constexpr std::int64_t check_in_ms = 1200;     ///< heartbeat_ms of the deployment
constexpr std::int64_t foreign_lead_ms = 3000; ///< that the other writer is there before the release
constexpr std::int64_t step_ms = 1500;         ///< between two replacements
constexpr int foreign_instances = 24;
constexpr int replaced_instances = 5;
constexpr int callers = 12;

/// Checks in for one instance of a writer whose ids are in Latin-1, as that instance would.
void check_in(fleet& deployment, recorder& record, int number, const std::atomic<bool>& ended)
{
    const std::vector<std::string> controls = deployment.control_addresses();
    const std::string id = "caf\xe9-" + std::to_string(number);
    sleep_ms(check_in_ms * number / foreign_instances);
    for (int sequence = 1; !ended.load(); ++sequence) {
        call request;
        request.address = controls[static_cast<std::size_t>(number + sequence) % controls.size()];
        request.target = "/guavawick/Instances.Heartbeat/" + id;
        request.headers = {{"Content-Type", "application/json"}};
        request.timeout_ms = 1000;
        request.body = "{\"service\":\"cafe-svc\",\"address\":\"" + deployment.address(200 + number) +
                       ":8080\",\"zone\":\"alm-a\",\"version\":\"v1\",\"slots\":6,\"phase\":\"ready\","
                       "\"cold_remaining_ms\":0,\"sequence\":" +
                       std::to_string(sequence) + ",\"born\":1796600000000}";
        const int status = send_call(request).status;
        if (sequence == 1) {
            record.line("check-in of another writer's instance " + std::to_string(number) + " got " +
                        std::to_string(status));
        }
        sleep_ms(check_in_ms);
    }
}

/// An instance of the service and when its drain was acknowledged.
struct worker {
    std::unique_ptr<upstream> instance;
    std::atomic<std::int64_t> acknowledged_ms{-1};
};

} // namespace

int main(int, char** arguments)
{
    recorder record(arguments[1]);
    fleet deployment(record, 3);
    deployment.start_all();
    std::atomic<int> late{0};
    std::vector<std::unique_ptr<worker>> workers;
    const auto add_worker = [&](const std::string& id) {
        const auto number = static_cast<int>(workers.size());
        workers.push_back(std::make_unique<worker>());
        worker& added = *workers.back();
        const auto run = [&](upstream& self, const message& request, connection& channel) {
            const std::int64_t acknowledged_ms = added.acknowledged_ms.load();
            const std::int64_t since_ms = acknowledged_ms < 0 ? -1 : now_ms() - acknowledged_ms;
            record.line("run " + request.header("x-guavawick-request-id") + " at " + self.info().id +
                        (since_ms < 0
                             ? ""
                             : ", " + std::to_string(since_ms) + " ms after its drain was acknowledged"));
            late += since_ms > drain_ms ? 1 : 0;
            sleep_ms(20);
            return channel.write(
                make_answer(200, request, {{"X-Guavawick-Server-Stamp", upstream::make_stamp()}}, "filed"));
        };
        added.instance = std::make_unique<upstream>(
            record, deployment,
            upstream_info{id, "posting-svc", "alm-" + std::string(1, static_cast<char>('a' + number % 3)),
                          "v1", 6},
            deployment.address(101 + number), run);
    };
    for (int i = 1; i <= replaced_instances; ++i) {
        add_worker("old-" + std::to_string(i));
    }
    const std::string configuration = make_configuration(
        1, {{"urgent-filing", "/filing/", "non_idempotent", "posting-svc", 3000, 600, 2}}, {{"posting-svc"}});
    if (!deployment.order("POST", "/guavawick/Config.Replace", configuration, 20000) ||
        !deployment.await_ready(20000)) {
        record.line("the deployment did not get ready");
        return 2;
    }
    std::atomic<bool> ended{false};
    std::vector<std::thread> threads;
    const std::vector<std::string> fronts = deployment.front_addresses();
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] {
            while (!ended.load()) {
                call request;
                request.address = fronts[static_cast<std::size_t>(i) % fronts.size()];
                request.target = "/filing/new";
                const std::string id = make_id();
                request.headers = {
                    {"X-Guavawick-Request-Id", id}, {"X-Guavawick-Deadline-Ms", "3000"}, {"Api-Key", key}};
                request.body = "summons";
                request.timeout_ms = 3500;
                const answer got = send_call(request);
                record.line("answer to " + id + " from " + request.address + ": " +
                            std::to_string(got.status) + (got.complete ? "" : ", not complete"));
                sleep_ms(100);
            }
        });
    }
    for (int i = 0; has_trouble() && i < foreign_instances; ++i) {
        threads.emplace_back([&, i] { check_in(deployment, record, i, ended); });
    }
    sleep_ms(foreign_lead_ms);
    bool drained = true;
    for (int i = 0; i < replaced_instances; ++i) {
        add_worker("new-" + std::to_string(i + 1));
        sleep_ms(step_ms);
        worker& replaced = *workers[static_cast<std::size_t>(i)];
        threads.emplace_back([&] {
            drained = replaced.instance->drain() && drained;
            replaced.acknowledged_ms.store(now_ms());
            sleep_ms(served_on_ms);
            replaced.instance->crash();
            record.line(replaced.instance->info().id + " has ended");
        });
    }
    sleep_ms(served_on_ms + step_ms);
    ended.store(true);
    for (std::thread& thread : threads) {
        thread.join();
    }
    const bool lost_process = deployment.has_lost_process();
    record.line("requests that reached an instance later than " + std::to_string(drain_ms) +
                " ms after its drain was acknowledged: " + std::to_string(late.load()));
    if (!drained || lost_process) {
        return 2;
    }
    return late.load() > 0 ? 1 : 0;
}
