#include "kit.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int front_port = 8368;
constexpr int ready_port = 8369;
constexpr int control_port = 8367;
constexpr int first_internal_port = 7780;
constexpr int upstream_port = 8080;
constexpr std::int64_t heartbeat_interval_ms = 1200;
constexpr std::int64_t order_timeout_ms = 1000; ///< operators and upstreams move on after it

std::mt19937_64& random_source()
{
    thread_local std::mt19937_64 source{std::random_device{}()};
    return source;
}

sockaddr_in make_address(const std::string& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

int listen_on(const std::string& ip, int port)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in address = make_address(ip, port);
    const bool bound = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    if (!bound || ::listen(descriptor, 512) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

int connect_to(const call& request)
{
    const std::size_t colon = request.address.rfind(':');
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!request.source_ip.empty()) {
        const sockaddr_in source = make_address(request.source_ip, 0);
        ::bind(descriptor, reinterpret_cast<const sockaddr*>(&source), sizeof source);
    }
    const sockaddr_in address =
        make_address(request.address.substr(0, colon), std::atoi(request.address.c_str() + colon + 1));
    ::fcntl(descriptor, F_SETFL, O_NONBLOCK);
    ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    pollfd waiting{descriptor, POLLOUT, 0};
    const bool writable = ::poll(&waiting, 1, 1000) == 1;
    int error = 0;
    socklen_t size = sizeof error;
    ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size);
    if (!writable || error != 0) {
        ::close(descriptor);
        return -1;
    }
    ::fcntl(descriptor, F_SETFL, 0);
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return descriptor;
}

std::string to_lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
    return text;
}

std::string find_field(const fields& headers, const std::string& name)
{
    const auto found = headers.find(name);
    return found == headers.end() ? "" : found->second;
}

/// Reads the body that the headers announce. @return whether it is complete.
bool read_body(connection& from, const fields& headers, bool ends_with_connection, std::int64_t deadline_ms,
               std::string& body, const std::function<void(std::string_view)>& on_data)
{
    const auto take = [&](const std::string& part) {
        body += part;
        if (on_data) {
            on_data(part);
        }
    };
    if (to_lower(find_field(headers, "transfer-encoding")) == "chunked") {
        std::string line;
        while (from.read_line(line, deadline_ms - now_ms())) {
            const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
            std::string part;
            if (size == 0) {
                return from.read_line(line, deadline_ms - now_ms());
            }
            if (!from.read_bytes(size, part, deadline_ms - now_ms()) ||
                !from.read_line(line, deadline_ms - now_ms())) {
                return false;
            }
            take(part);
        }
        return false;
    }
    const std::string length = find_field(headers, "content-length");
    if (!length.empty()) {
        std::string part;
        const bool complete =
            from.read_bytes(std::strtoul(length.c_str(), nullptr, 10), part, deadline_ms - now_ms());
        take(part);
        return complete;
    }
    std::string part;
    while (ends_with_connection && from.read_some(part, deadline_ms - now_ms())) {
        take(part);
    }
    return !ends_with_connection;
}

} // namespace

std::int64_t now_ms()
{
    static const auto start = std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start)
        .count();
}

void sleep_ms(std::int64_t duration_ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(std::max<std::int64_t>(duration_ms, 0)));
}

bool has_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

recorder::recorder(const std::string& path) : file_(path, std::ios::trunc)
{
    now_ms();
}

void recorder::line(const std::string& text)
{
    const std::lock_guard lock(mutex_);
    file_ << now_ms() << " ms  " << text << "\n" << std::flush;
}

std::string message::header(const std::string& lower_case_name) const
{
    return find_field(headers, lower_case_name);
}

std::string answer::header(const std::string& lower_case_name) const
{
    return find_field(headers, lower_case_name);
}

connection::connection(int descriptor) : descriptor_(descriptor) {}

connection::~connection()
{
    if (descriptor_ >= 0) {
        ::close(descriptor_);
    }
}

bool connection::fill(std::int64_t deadline_ms)
{
    pollfd waiting{descriptor_, POLLIN, 0};
    const std::int64_t left_ms = deadline_ms - now_ms();
    if (left_ms <= 0 || ::poll(&waiting, 1, static_cast<int>(left_ms)) != 1) {
        return false;
    }
    std::string part(65536, '\0');
    const ssize_t received = ::recv(descriptor_, part.data(), part.size(), 0);
    if (received <= 0) {
        return false;
    }
    buffer_.append(part, 0, static_cast<std::size_t>(received));
    return true;
}

bool connection::read_line(std::string& into, std::int64_t timeout_ms)
{
    const std::int64_t deadline_ms = now_ms() + timeout_ms;
    std::size_t end = 0;
    while ((end = buffer_.find('\n')) == std::string::npos) {
        if (!fill(deadline_ms)) {
            return false;
        }
    }
    into = buffer_.substr(0, end);
    buffer_.erase(0, end + 1);
    if (!into.empty() && into.back() == '\r') {
        into.pop_back();
    }
    return true;
}

bool connection::read_head(message& into, std::int64_t timeout_ms)
{
    const std::int64_t deadline_ms = now_ms() + timeout_ms;
    into = {};
    if (!read_line(into.start_line, timeout_ms)) {
        return false;
    }
    std::string line;
    while (read_line(line, deadline_ms - now_ms())) {
        if (line.empty()) {
            return true;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos) {
            return false;
        }
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        into.headers[to_lower(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
    }
    return false;
}

bool connection::read_bytes(std::size_t count, std::string& into, std::int64_t timeout_ms)
{
    const std::int64_t deadline_ms = now_ms() + timeout_ms;
    while (buffer_.size() < count) {
        if (!fill(deadline_ms)) {
            into = buffer_;
            buffer_.clear();
            return false;
        }
    }
    into = buffer_.substr(0, count);
    buffer_.erase(0, count);
    return true;
}

bool connection::read_some(std::string& into, std::int64_t timeout_ms)
{
    if (buffer_.empty() && !fill(now_ms() + timeout_ms)) {
        return false;
    }
    into = std::move(buffer_);
    buffer_.clear();
    return true;
}

bool connection::write(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const ssize_t sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

void connection::reset()
{
    const linger immediate{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
    ::close(descriptor_);
    descriptor_ = -1;
}

answer send_call(const call& request, const std::function<void(std::string_view)>& on_data)
{
    answer result;
    result.sent_ms = now_ms();
    const std::int64_t deadline_ms = result.sent_ms + request.timeout_ms;
    const int descriptor = connect_to(request);
    if (descriptor >= 0) {
        connection channel(descriptor);
        std::string bytes = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + host + "\r\n";
        for (const auto& [name, value] : request.headers) {
            bytes += name + ": " + value + "\r\n";
        }
        if (!request.body.empty() || request.method == "POST") {
            bytes += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
        }
        bytes += "\r\n" + request.body;
        message head;
        if (channel.write(bytes) && channel.read_head(head, deadline_ms - now_ms())) {
            result.status =
                std::atoi(head.start_line.substr(std::min<std::size_t>(9, head.start_line.size())).c_str());
            result.headers = head.headers;
            result.complete = read_body(channel, head.headers, true, deadline_ms, result.body, on_data);
        }
    }
    result.ended_ms = now_ms();
    return result;
}

fleet::fleet(recorder& record, int gateways) : record_(record)
{
    std::signal(SIGPIPE, SIG_IGN);
    folder_ = (std::filesystem::temp_directory_path() / ("review-" + std::to_string(::getpid()))).string();
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    const char* binary = std::getenv("GUAVAWICK");
    binary_ = std::filesystem::absolute(binary != nullptr ? binary : "target/guavawick").string();
    for (int attempt = 0; attempt < 100; ++attempt) {
        const int number = (static_cast<int>(::getpid()) + attempt * 37) % 20000;
        prefix_ = "127." + std::to_string(100 + number / 250) + "." + std::to_string(1 + number % 250) + ".";
        const int probe = listen_on(prefix_ + "1", control_port);
        if (probe >= 0) {
            ::close(probe);
            break;
        }
    }
    for (int i = 0; i < 3; ++i) {
        const std::string number = std::to_string(i + 1);
        const std::string zone = "alm-" + std::string(1, static_cast<char>('a' + i));
        processes_.push_back({"control-" + number, "control", address(i + 1), zone, true, -1});
        processes_.push_back({"store-" + number, "store", address(i + 11), zone, true, -1});
    }
    for (int i = 0; i < gateways; ++i) {
        const std::string zone = "alm-" + std::string(1, static_cast<char>('a' + i % 3));
        processes_.push_back({"gateway-" + std::to_string(i + 1), "gateway", address(i < 3 ? i + 1 : i + 18),
                              zone, i < 3, -1});
    }
}

fleet::~fleet()
{
    for (process& each : processes_) {
        kill(each);
    }
    if (std::getenv("KEEP") == nullptr) {
        std::filesystem::remove_all(folder_);
    }
}

std::string fleet::address(int last_byte) const
{
    return prefix_ + std::to_string(last_byte);
}

std::vector<std::string> fleet::control_addresses() const
{
    std::vector<std::string> addresses;
    for (const process& each : processes_) {
        if (each.role == "control") {
            addresses.push_back(each.ip + ":" + std::to_string(control_port));
        }
    }
    return addresses;
}

std::vector<std::string> fleet::front_addresses() const
{
    std::vector<std::string> addresses;
    for (const process& each : processes_) {
        if (each.role == "gateway") {
            addresses.push_back(front_of(each));
        }
    }
    return addresses;
}

std::string fleet::front_of(const process& gateway)
{
    return gateway.ip + ":" + std::to_string(front_port);
}

process& fleet::find(const std::string& name)
{
    return *std::find_if(processes_.begin(), processes_.end(),
                         [&name](const process& each) { return each.name == name; });
}

void fleet::write_settings(const process& started, bool bootstrap) const
{
    std::ofstream file(folder_ + "/" + started.name + ".toml");
    file << "node_name = \"" << started.name << "\"\nrole = \"" << started.role << "\"\nmachine_class = \""
         << (started.role == "store" ? "storage" : "front") << "\"\nip = \"" << started.ip << "\"\nzone = \""
         << started.zone << "\"\nregion = \"kz-almaty\"\ninternal_ports = [" << first_internal_port << ","
         << first_internal_port + 15 << "]\nseeds = [";
    for (int i = 1; i <= 3; ++i) {
        file << (i > 1 ? "," : "") << "\"" << address(i) << ":" << control_port << "\"";
    }
    file << "]\nbootstrap = " << (bootstrap ? "true" : "false") << "\n";
    if (started.has_disk) {
        file << "data_dir = \"" << folder_ << "/" << started.name << ".data\"\n";
    }
    file << "discovery = \"registry\"\nentry = \"vip\"\nheartbeat_ms = 1200\n"
            "contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"agent\",\"stream\",\"engine\","
            "\"tenants\",\"quota\",\"places\"]\nconfig_mode = \"highest\"\n[zones]\n";
    for (const char* zone : {"alm-a", "alm-b", "alm-c"}) {
        file << zone << " = \"kz-almaty\"\n";
    }
    file << "[listen]\nfront = \"" << started.ip << ":" << front_port << "\"\nready = \"" << started.ip << ":"
         << ready_port << "\"\ncontrol = \"" << started.ip << ":" << control_port
         << "\"\n[limits]\ncpu_share = 0.45\ncpu_cores = 1\nmemory_mb = "
         << (started.role == "store" ? 120 : 110) << "\nmax_fds = " << (started.role == "store" ? 8200 : 4100)
         << "\nlink_mbps = 1000.0\ndisk_mb = " << (started.role == "store" ? 300 : 64)
         << "\n[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
            "[bounds]\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4.1\ndrain_ms = 2000\ngrace_s = 8\n"
            "config_apply_ms = 2000\nrollback_slack_ms = 250\nquota_window_s = 5\nquota_overage = 0.1\n"
            "quota_slack = 20\ncold_overage = 1.5\ncold_slack = 5\nevacuate_ms = 5000\nrecover_s = 12\n"
            "pass_ms = 120\nfinish_s = 10\nsettle_ms = 1000\n";
}

void fleet::start(process& started, bool bootstrap)
{
    write_settings(started, bootstrap);
    const std::string settings = "GUAVAWICK_BOOT=" + folder_ + "/" + started.name + ".toml";
    const std::string output = folder_ + "/" + started.name + ".out";
    const pid_t pid = ::fork();
    if (pid == 0) {
        const int log = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::signal(SIGPIPE, SIG_DFL);
        const std::string path = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
        const char* environment[] = {settings.c_str(), path.c_str(), nullptr};
        ::execle(binary_.c_str(), binary_.c_str(), started.role.c_str(), static_cast<char*>(nullptr),
                 environment);
        ::_exit(127);
    }
    started.pid = pid;
    record_.line("started " + started.name);
}

void fleet::start_all()
{
    for (process& each : processes_) {
        start(each, true);
    }
}

void fleet::signal(process& target, int number) const
{
    if (target.pid > 0) {
        ::kill(target.pid, number);
        record_.line("signal " + std::to_string(number) + " to " + target.name);
    }
}

void fleet::kill(process& target)
{
    if (target.pid > 0) {
        ::kill(target.pid, SIGKILL);
        ::waitpid(target.pid, nullptr, 0);
        target.pid = -1;
        record_.line("killed " + target.name);
    }
}

void fleet::kill_all()
{
    for (const process& each : processes_) {
        if (each.pid > 0) {
            ::kill(each.pid, SIGKILL);
        }
    }
    for (process& each : processes_) {
        kill(each);
    }
}

void fleet::start_again()
{
    for (process& each : processes_) {
        start(each, false);
    }
}

bool fleet::has_lost_process()
{
    bool lost = false;
    for (process& each : processes_) {
        int status = 0;
        if (each.pid > 0 && ::waitpid(each.pid, &status, WNOHANG) == each.pid) {
            each.pid = -1;
            lost = true;
            record_.line(each.name + (WIFSIGNALED(status)
                                          ? " ended by signal " + std::to_string(WTERMSIG(status))
                                          : " exited with " + std::to_string(WEXITSTATUS(status))));
        }
    }
    return lost;
}

bool fleet::is_ready(const process& gateway)
{
    call question;
    question.address = gateway.ip + ":" + std::to_string(ready_port);
    question.method = "GET";
    question.target = "/guavawick/ready";
    question.timeout_ms = 1000;
    return send_call(question).status == 200;
}

bool fleet::await_ready(std::int64_t timeout_ms)
{
    const std::int64_t deadline_ms = now_ms() + timeout_ms;
    while (now_ms() < deadline_ms) {
        const bool ready = std::all_of(processes_.begin(), processes_.end(), [](const process& each) {
            return each.role != "gateway" || is_ready(each);
        });
        if (ready) {
            return true;
        }
        sleep_ms(100);
    }
    return false;
}

bool fleet::order(const std::string& method, const std::string& target, const std::string& body,
                  std::int64_t timeout_ms)
{
    const std::int64_t deadline_ms = now_ms() + timeout_ms;
    const std::vector<std::string> addresses = control_addresses();
    for (std::size_t i = 0; now_ms() < deadline_ms; ++i) {
        call request;
        request.address = addresses[i % addresses.size()];
        request.method = method;
        request.target = target;
        request.headers = {{"Content-Type", "application/json"}};
        request.body = body;
        request.timeout_ms = order_timeout_ms;
        const answer reply = send_call(request);
        if (reply.status >= 200 && reply.status < 300) {
            record_.line("order " + target + " acknowledged by " + request.address);
            return true;
        }
        record_.line("order " + target + " got " + std::to_string(reply.status) + " from " + request.address);
        sleep_ms(200);
    }
    return false;
}

upstream::upstream(recorder& record, fleet& deployment, upstream_info info, const std::string& ip,
                   handler run, std::int64_t heartbeat_delay_ms)
    : record_(record), fleet_(deployment), info_(std::move(info)), ip_(ip), run_(std::move(run)),
      born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()),
      started_ms_(now_ms()), listener_(listen_on(ip, upstream_port))
{
    if (listener_ < 0) {
        record_.line("upstream " + info_.id + " can't listen");
    }
    accepting_ = std::thread([this] { accept_loop(); });
    beating_ = std::thread([this, heartbeat_delay_ms] { heartbeat_loop(heartbeat_delay_ms); });
}

upstream::~upstream()
{
    crash();
}

void upstream::crash()
{
    if (ended_.exchange(true)) {
        return;
    }
    ::shutdown(listener_, SHUT_RDWR);
    ::close(listener_);
    {
        const std::lock_guard lock(mutex_);
        for (const int descriptor : open_) {
            const linger immediate{1, 0};
            ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
            ::shutdown(descriptor, SHUT_RD);
        }
    }
    accepting_.join();
    beating_.join();
    while (running_threads_.load() > 0) {
        sleep_ms(2);
    }
}

void upstream::accept_loop()
{
    while (!ended_.load()) {
        const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor < 0) {
            if (ended_.load()) {
                return;
            }
            sleep_ms(5);
            continue;
        }
        const int on = 1;
        ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        running_threads_.fetch_add(1);
        std::thread([this, descriptor] {
            serve(descriptor);
            running_threads_.fetch_sub(1);
        }).detach();
    }
}

void upstream::serve(int descriptor)
{
    {
        const std::lock_guard lock(mutex_);
        open_.push_back(descriptor);
    }
    connection channel(descriptor);
    message request;
    bool kept = true;
    while (kept && !ended_.load() && channel.read_head(request, 30000)) {
        const std::string length = request.header("content-length");
        if (!length.empty() &&
            !channel.read_bytes(std::strtoul(length.c_str(), nullptr, 10), request.body, 30000)) {
            break;
        }
        if (request.start_line.starts_with("GET /health")) {
            kept = channel.write(make_answer(draining_.load() ? 503 : 200, request,
                                             {{"X-Guavawick-Instance-Id", info_.id}}, ""));
            continue;
        }
        const std::string expected = request.header("x-guavawick-expect-instance");
        if (!expected.empty() && expected != info_.id) {
            kept = channel.write(make_answer(421, request, {{"X-Guavawick-Not-Executed", "1"}}, ""));
            continue;
        }
        kept = run_(*this, request, channel);
    }
    const std::lock_guard lock(mutex_);
    std::erase(open_, descriptor);
    if (ended_.load() && channel.descriptor() >= 0) {
        channel.reset();
    }
}

bool upstream::send_heartbeat()
{
    const std::vector<std::string> addresses = fleet_.control_addresses();
    const int number = ++sequence_;
    call request;
    request.address =
        addresses[std::hash<std::string>{}(info_.id + std::to_string(number)) % addresses.size()];
    request.target = "/guavawick/Instances.Heartbeat/" + info_.id;
    request.headers = {{"Content-Type", "application/json"}};
    request.timeout_ms = order_timeout_ms;
    std::ostringstream body;
    body << "{\"service\":\"" << info_.service << "\",\"address\":\"" << address() << "\",\"zone\":\""
         << info_.zone << "\",\"version\":\"" << info_.version << "\",\"slots\":" << info_.slots
         << ",\"phase\":\"" << (draining_.load() ? "draining" : "ready")
         << "\",\"cold_remaining_ms\":" << std::max<std::int64_t>(info_.cold_ms - (now_ms() - started_ms_), 0)
         << ",\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":"
         << number << ",\"born\":" << born_ << "}";
    request.body = body.str();
    return send_call(request).status / 100 == 2;
}

void upstream::heartbeat_loop(std::int64_t delay_ms)
{
    std::int64_t due_ms = now_ms() + delay_ms;
    while (!ended_.load()) {
        if (now_ms() >= due_ms) {
            due_ms = now_ms() + (send_heartbeat() ? heartbeat_interval_ms : 100);
        }
        sleep_ms(10);
    }
}

bool upstream::drain()
{
    draining_.store(true);
    for (int attempt = 0; attempt < 10; ++attempt) {
        if (send_heartbeat()) {
            record_.line("upstream " + info_.id + " drains, acknowledged");
            return true;
        }
    }
    return false;
}

std::string upstream::make_stamp()
{
    static std::atomic<int> number{0};
    return "3e1b." + std::to_string(++number);
}

std::string make_answer(int status, const message& request,
                        const std::vector<std::pair<std::string, std::string>>& headers,
                        const std::string& body)
{
    std::string bytes = "HTTP/1.1 " + std::to_string(status) +
                        " Status\r\nX-Guavawick-Request-Id: " + request.header("x-guavawick-request-id") +
                        "\r\nKeep-Alive: timeout=5\r\n";
    for (const auto& [name, value] : headers) {
        bytes += name + ": " + value + "\r\n";
    }
    bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    return bytes + body;
}

std::string make_configuration(int version, const std::vector<route>& routes,
                               const std::vector<service>& services)
{
    std::ostringstream text;
    text << std::boolalpha << "{\"version\":" << version << ",\"routes\":[";
    for (std::size_t i = 0; i < routes.size(); ++i) {
        const route& each = routes[i];
        text << (i > 0 ? "," : "") << "{\"name\":\"" << each.name << "\",\"hostname\":\"" << host
             << "\",\"path_prefix\":\"" << each.prefix << "\",\"type\":\"" << each.type
             << "\",\"timeout_ms\":" << each.timeout_ms << ",\"target_latency_ms\":" << each.target_ms
             << ",\"priority\":0,\"service\":\"" << each.service << "\",\"max_attempts\":" << each.attempts
             << ",\"retain_context\":" << each.keeps << ",\"retention_s\":60.0,\"allow_anonymous\":false"
             << ",\"session_affinity\":true,\"resumable\":" << each.resumable << ",\"gap_target_ms\":500}";
    }
    text << "],\"services\":[";
    for (std::size_t i = 0; i < services.size(); ++i) {
        const service& each = services[i];
        text << (i > 0 ? "," : "") << "{\"name\":\"" << each.name
             << "\",\"health_path\":\"/health\",\"max_connections\":380,\"protocol\":\"h1\",\"tls\":false,"
             << "\"cold_start_s\":" << each.cold_s << ",\"cold_per_s\":" << each.cold_per_s;
        if (each.engine) {
            text << ",\"engine\":{\"slots\":64,\"kv_capacity\":171099,\"kv_token_bytes\":163840,"
                    "\"link_mbps\":550000.0,\"moves\":true,\"backups\":true,\"stream_stride\":3,\"most\":12,"
                    "\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{\"name\":\"m\"}]}";
        }
        text << "}";
    }
    text << "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
            "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\""
         << key << "\"],\"priority\":1,\"rate_per_s\":0,\"burst\":0}]}";
    return text.str();
}

std::string make_id()
{
    std::ostringstream text;
    text << std::hex << random_source()();
    return text.str();
}

} // namespace review
