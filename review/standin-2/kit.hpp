// A small deployment on loopback addresses for the cases of the second review: the system's own processes,
// and stand-ins for upstream instances, callers and the operator. Needs only the C++ library and POSIX.
#pragma once

#include <atomic>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

/// @return milliseconds since the first call.
std::int64_t now_ms();
void sleep_ms(std::int64_t duration_ms);
/// @return whether the case runs with its disruption; TROUBLE=0 turns it off.
bool has_trouble();

/// Writes what was sent, answered and run to record.txt. Thread-safe.
class recorder {
public:
    explicit recorder(const std::string& path);
    void line(const std::string& text);

private:
    std::mutex mutex_;
    std::ofstream file_;
};

/// Header fields by lower-case name.
using fields = std::map<std::string, std::string>;

/// A message as it was read from a connection.
struct message {
    std::string start_line;
    fields headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string& lower_case_name) const;
};

/// One connection with buffered reading. Not thread-safe.
class connection {
public:
    explicit connection(int descriptor);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Reads a head up to its empty line. @return false if the connection ended or the time passed first.
    bool read_head(message& into, std::int64_t timeout_ms);
    /// Reads exactly that many bytes.
    bool read_bytes(std::size_t count, std::string& into, std::int64_t timeout_ms);
    /// Reads up to a line feed, without it.
    bool read_line(std::string& into, std::int64_t timeout_ms);
    /// Reads what is there next. @return false at the end of the connection.
    bool read_some(std::string& into, std::int64_t timeout_ms);
    bool write(std::string_view bytes) const;
    /// Closes with a reset instead of an orderly end.
    void reset();
    [[nodiscard]] int descriptor() const { return descriptor_; }

private:
    bool fill(std::int64_t deadline_ms);

    int descriptor_;
    std::string buffer_;
};

/// What a caller got.
struct answer {
    int status = 0; ///< 0: no answer
    fields headers;
    std::string body;
    bool complete = false;
    std::int64_t sent_ms = 0;
    std::int64_t ended_ms = 0;

    [[nodiscard]] std::string header(const std::string& lower_case_name) const;
};

/// A caller's request.
struct call {
    std::string address; ///< IP:PORT
    std::string method = "POST";
    std::string target = "/";
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::int64_t timeout_ms = 5000;
    std::string source_ip; ///< empty for any
};

/// Sends a request on a new connection and reads its answer. @param on_data called with each part of the
/// body.
answer send_call(const call& request, const std::function<void(std::string_view)>& on_data = {});

/// A process of the system.
struct process {
    std::string name;
    std::string role;
    std::string ip;
    std::string zone;
    bool has_disk = false;
    pid_t pid = -1;
};

/// Starts the processes of a deployment of three zones: in each a gateway, a control replica and a store.
/// Ends them when it is destroyed.
class fleet {
public:
    /// @param gateways at least three; those after the third have no disk.
    fleet(recorder& record, int gateways);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    void start_all();
    void start(process& started, bool bootstrap);
    void signal(process& target, int number) const;
    void kill(process& target);
    /// Kills all processes at the same moment.
    void kill_all();
    /// Starts all processes after kill_all().
    void start_again();
    process& find(const std::string& name);
    /// @return whether a process that was not ended here has ended. Writes it to the record.
    bool has_lost_process();
    /// Waits until all gateways are ready.
    bool await_ready(std::int64_t timeout_ms);
    static bool is_ready(const process& gateway);

    [[nodiscard]] std::string address(int last_byte) const;
    [[nodiscard]] std::vector<std::string> control_addresses() const;
    [[nodiscard]] std::vector<std::string> front_addresses() const;
    static std::string front_of(const process& gateway);

    /// Sends a request to the control replicas in turn until one answers with 2xx.
    bool order(const std::string& method, const std::string& target, const std::string& body,
               std::int64_t timeout_ms);

private:
    void write_settings(const process& started, bool bootstrap) const;

    recorder& record_;
    std::string folder_;
    std::string prefix_;
    std::string binary_;
    std::vector<process> processes_;
};

/// What an upstream announces of itself.
struct upstream_info {
    std::string id;
    std::string service;
    std::string zone;
    std::string version = "v1";
    int slots = 64;
    std::int64_t cold_ms = 0;
};

/// Stand-in for an upstream instance, with a thread for each connection.
class upstream {
public:
    /// Answers a request that this instance is to run. @return whether the connection is kept.
    using handler = std::function<bool(upstream&, const message&, connection&)>;

    /// @param heartbeat_delay_ms until the first check-in is sent.
    upstream(recorder& record, fleet& deployment, upstream_info info, const std::string& ip, handler run,
             std::int64_t heartbeat_delay_ms = 0);
    ~upstream();
    upstream(const upstream&) = delete;
    upstream& operator=(const upstream&) = delete;

    /// Ends as a process that is killed: all connections are reset.
    void crash();
    /// Announces that it leaves. @return whether that was acknowledged.
    bool drain();
    [[nodiscard]] bool ended() const { return ended_.load(); }
    [[nodiscard]] const upstream_info& info() const { return info_; }
    [[nodiscard]] std::string address() const { return ip_ + ":8080"; }
    /// @return a new signature, unique over all instances.
    static std::string make_stamp();

private:
    void accept_loop();
    void serve(int descriptor);
    void heartbeat_loop(std::int64_t delay_ms);
    bool send_heartbeat();

    recorder& record_;
    fleet& fleet_;
    upstream_info info_;
    std::string ip_;
    handler run_;
    std::int64_t born_;
    std::int64_t started_ms_;
    std::atomic<int> sequence_{0};
    std::atomic<bool> draining_{false};
    std::atomic<bool> ended_{false};
    int listener_ = -1;
    std::mutex mutex_;
    std::vector<int> open_;
    std::atomic<int> running_threads_{0};
    std::thread accepting_;
    std::thread beating_;
};

/// @return the bytes of a complete answer of an upstream.
std::string make_answer(int status, const message& request,
                        const std::vector<std::pair<std::string, std::string>>& headers,
                        const std::string& body);

/// A route of the configuration.
struct route {
    std::string name;
    std::string prefix;
    std::string type;
    std::string service;
    int timeout_ms = 5000;
    int target_ms = 200;
    int attempts = 2;
    bool resumable = false;
    bool keeps = false;
};

/// A service of the configuration.
struct service {
    std::string name;
    bool engine = false;
    double cold_s = 0;
    double cold_per_s = 0;
};

constexpr const char* host = "desk.example";
constexpr const char* key = "3fexd9dnn2ctnfzs989a";

std::string make_configuration(int version, const std::vector<route>& routes,
                               const std::vector<service>& services);

/// @return a random id as callers use them.
std::string make_id();

} // namespace review
