// Stand-ins for the platform, the operator, callers and workers, and the start of the project's processes.
// Everything runs on loopback addresses and the real clock.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace standin {

/// Exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int not_run = 2;

/// Seconds since the start of the case.
double now_s();
/// Waits until now_s() has reached a time.
void sleep_until(double when_s);
void sleep_ms(int ms);
/// Whether the case runs with its disruption: true unless the environment has TROUBLE=0.
bool with_trouble();
/// Appends a line with the time to record.txt. Thread safety: any thread.
void record(const char* format, ...) __attribute__((format(printf, 1, 2)));
/// Writes the reason to the record and ends the case with the code `not_run`.
[[noreturn]] void give_up(const std::string& reason);

/// A request or a response.
struct message {
    std::string method;
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// Value of a header, empty if it is absent. The name is compared without case.
    [[nodiscard]] std::string header(const std::string& name) const;
};

/// How a read ended.
enum class read_result { complete, closed, timeout };

/// One TCP connection. Thread safety: one thread at a time; shut() from any thread.
class channel {
public:
    channel() = default;
    explicit channel(int socket) : fd_(socket) {}
    channel(const channel&) = delete;
    channel& operator=(const channel&) = delete;
    ~channel() { shut(); }
    bool connect(const std::string& address, int timeout_ms);
    bool send(const std::string& bytes);
    /// Reads one message. @param is_response of a response, whose body may end with the connection.
    read_result read(message& into, bool is_response, int timeout_ms);
    /// Whether there are bytes to read, or the peer has closed the connection.
    [[nodiscard]] bool wait(int timeout_ms) const;
    /// Closes the connection.
    void shut();
    [[nodiscard]] bool is_open() const { return fd_ >= 0; }
    /// Whether the peer has closed the connection.
    [[nodiscard]] bool peer_closed() const;

private:
    read_result fill(double deadline_s);

    int fd_ = -1;
    std::string buffer_;
};

std::string make_request(const std::string& method, const std::string& target, const std::string& host,
                         const std::vector<std::pair<std::string, std::string>>& headers,
                         const std::string& body);

/// One exchange on a connection of its own. @return the status; 0 if there was no complete answer.
int exchange(const std::string& address, const std::string& request, int timeout_ms,
             message* answer = nullptr);

/// The project's processes, each on a loopback address of its own, and the platform's part for them.
class fleet {
public:
    /// Starts control replicas with gateways (one each a zone) and stores.
    fleet(int machines, int stores);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;
    [[nodiscard]] std::string control(int machine) const { return front_ip(machine) + ":8367"; }
    [[nodiscard]] std::string gateway(int machine) const { return front_ip(machine) + ":8368"; }
    [[nodiscard]] std::string ready(int machine) const { return front_ip(machine) + ":8369"; }
    [[nodiscard]] std::string zone(int machine) const;
    /// A loopback address for a worker.
    [[nodiscard]] std::string worker_address(int number) const;
    [[nodiscard]] int machines() const { return machines_; }
    /// Sends a signal to the process of a role ("control", "gateway", "store").
    void signal(const std::string& role, int machine, int signal_number);
    /// Process id, 0 if it has ended.
    pid_t pid(const std::string& role, int machine);
    /// Ends a process with SIGKILL and starts it again with the disk as it is.
    void restart(const std::string& role, int machine, int down_ms);
    /// Waits until every gateway is ready. Ends the case if that takes longer than 30 s.
    void wait_ready();
    /// Names of processes that have ended by themselves.
    std::vector<std::string> ended();
    /// Memory in use by a process, in bytes.
    std::uint64_t resident(const std::string& role, int machine);

private:
    struct process {
        std::string role;
        int machine = 0;
        pid_t pid = 0;
        bool stopped_by_case = false;
    };
    [[nodiscard]] std::string front_ip(int machine) const;
    [[nodiscard]] std::string store_ip(int machine) const;
    void write_settings(const process& target, bool bootstrap);
    void start(process& target, bool bootstrap);
    process& find(const std::string& role, int machine);

    int machines_;
    int stores_;
    std::string prefix_;
    std::string folder_;
    std::string binary_;
    std::vector<process> processes_;
};

/// The operator: sends an order to one machine after the other until it is acknowledged or refused.
/// @param first the machine that is asked first. @return the status of the clear answer, 0 if there was none.
int give_order(const fleet& target, int first, const std::string& path, const std::string& body,
               double give_up_after_s = 20);

/// A worker: announces itself to the control replicas and answers requests, each connection in a thread.
class worker {
public:
    /// Answers a request. @return false to close the connection.
    using handler = std::function<bool(worker&, const message&, channel&)>;
    worker(const fleet& target, std::string id, std::string service, std::string zone, int number, int slots,
           handler answer);
    ~worker();
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;
    [[nodiscard]] std::string id() const;
    /// Head lines that every answer of this worker has.
    [[nodiscard]] std::string common_headers(const message& request) const;
    /// Sends a complete answer.
    bool reply(channel& to, const message& request, int status, const std::string& body) const;
    /// Reports `draining` from now on. @return when a control replica acknowledged it.
    double drain();
    /// Crashes: resets all channels and refuses new ones. Comes back after a while as a new lifetime with a
    /// new id.
    void crash(int down_ms);
    /// Requests that the worker began to run.
    std::atomic<int> running{0};

private:
    void accept_loop();
    void beat_loop();
    bool beat();
    void serve(int socket);
    bool listen();

    const fleet& fleet_;
    mutable std::mutex mutex_;
    std::string id_; // guarded by mutex_, like the four that follow
    std::string base_id_;
    int lifetime_ = 1;
    std::set<int> sockets_;
    std::int64_t born_ = 0;
    std::string service_;
    std::string zone_;
    std::string address_;
    int slots_;
    handler answer_;
    std::atomic<int> listener_{-1};
    std::atomic<bool> stop_{false};
    std::atomic<bool> draining_{false};
    std::mutex beat_mutex_;
    std::uint64_t sequence_ = 0;
    std::atomic<int> connections_{0};
    std::atomic<bool> crashed_{false};
    std::thread accepting_;
    std::thread beating_;
};

} // namespace standin
