// Stand-ins for the platform, the operator, callers and workers.
#include "standin.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdarg>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace standin {

namespace fs = std::filesystem;

namespace {

const auto started_at = std::chrono::steady_clock::now();
std::mutex record_mutex;
fleet* running_fleet = nullptr;

sockaddr_in parse_address(const std::string& address)
{
    sockaddr_in result{};
    const std::size_t colon = address.rfind(':');
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

bool is_free(const std::string& address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in where = parse_address(address);
    const bool bound = ::bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) == 0;
    ::close(fd);
    return bound;
}

} // namespace

double now_s()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - started_at).count();
}

void sleep_ms(int ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void sleep_until(double when_s)
{
    const double left = when_s - now_s();
    if (left > 0) {
        std::this_thread::sleep_for(std::chrono::duration<double>(left));
    }
}

bool with_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

void record(const char* format, ...)
{
    static std::FILE* file = std::fopen("record.txt", "w");
    const std::lock_guard lock(record_mutex);
    if (file == nullptr) {
        return;
    }
    std::fprintf(file, "%8.3f ", now_s());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(file, format, arguments);
    va_end(arguments);
    std::fputc('\n', file);
    std::fflush(file);
}

void give_up(const std::string& reason)
{
    record("not run: %s", reason.c_str());
    std::fprintf(stderr, "not run: %s\n", reason.c_str());
    if (running_fleet != nullptr) {
        running_fleet->~fleet();
    }
    std::_Exit(not_run);
}

std::string message::header(const std::string& name) const
{
    for (const auto& [key, value] : headers) {
        if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
            return value;
        }
    }
    return {};
}

bool channel::connect(const std::string& address, int timeout_ms)
{
    shut();
    buffer_.clear();
    fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in where = parse_address(address);
    if (::connect(fd_, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0) {
        pollfd waiting{fd_, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || ::poll(&waiting, 1, timeout_ms) != 1 ||
            ::getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            shut();
            return false;
        }
    }
    ::fcntl(fd_, F_SETFL, ::fcntl(fd_, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return true;
}

bool channel::send(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

void channel::shut()
{
    if (fd_ >= 0) {
        ::close(fd_);
        fd_ = -1;
    }
}

bool channel::wait(int timeout_ms) const
{
    pollfd waiting{fd_, POLLIN, 0};
    return !buffer_.empty() || ::poll(&waiting, 1, timeout_ms) == 1;
}

bool channel::peer_closed() const
{
    char byte = 0;
    const ssize_t count = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

read_result channel::fill(double deadline_s)
{
    const double left = deadline_s - now_s();
    pollfd waiting{fd_, POLLIN, 0};
    if (left <= 0 || ::poll(&waiting, 1, static_cast<int>(left * 1000) + 1) != 1) {
        return read_result::timeout;
    }
    char bytes[65536];
    const ssize_t count = ::recv(fd_, bytes, sizeof bytes, 0);
    if (count <= 0) {
        return read_result::closed;
    }
    buffer_.append(bytes, static_cast<std::size_t>(count));
    return read_result::complete;
}

read_result channel::read(message& into, bool is_response, int timeout_ms)
{
    into = {};
    const double deadline = now_s() + timeout_ms / 1000.0;
    std::size_t end = 0;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
        const read_result result = fill(deadline);
        if (result != read_result::complete) {
            return result;
        }
    }
    std::string head = buffer_.substr(0, end + 2);
    buffer_.erase(0, end + 4);
    std::size_t line_end = head.find("\r\n");
    const std::string first = head.substr(0, line_end);
    const std::size_t space = first.find(' ');
    if (is_response) {
        into.status = std::atoi(first.c_str() + space);
    }
    else {
        into.method = first.substr(0, space);
        into.target = first.substr(space + 1, first.rfind(' ') - space - 1);
    }
    head.erase(0, line_end + 2);
    while (!head.empty()) {
        line_end = head.find("\r\n");
        const std::string line = head.substr(0, line_end);
        head.erase(0, line_end + 2);
        const std::size_t colon = line.find(':');
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        into.headers.emplace_back(line.substr(0, colon), value);
    }
    const std::string length = into.header("Content-Length");
    if (::strcasecmp(into.header("Transfer-Encoding").c_str(), "chunked") == 0) {
        while (true) {
            while ((line_end = buffer_.find("\r\n")) == std::string::npos) {
                const read_result result = fill(deadline);
                if (result != read_result::complete) {
                    return result;
                }
            }
            const std::size_t size = std::strtoul(buffer_.c_str(), nullptr, 16);
            while (buffer_.size() < line_end + 2 + size + 2) {
                const read_result result = fill(deadline);
                if (result != read_result::complete) {
                    return result;
                }
            }
            into.body += buffer_.substr(line_end + 2, size);
            buffer_.erase(0, line_end + 2 + size + 2);
            if (size == 0) {
                return read_result::complete;
            }
        }
    }
    if (length.empty() && is_response && into.status != 204) {
        while (true) {
            const read_result result = fill(deadline);
            if (result != read_result::complete) {
                into.body.swap(buffer_);
                return result == read_result::closed ? read_result::complete : result;
            }
        }
    }
    const std::size_t size = length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
    while (buffer_.size() < size) {
        const read_result result = fill(deadline);
        if (result != read_result::complete) {
            return result;
        }
    }
    into.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return read_result::complete;
}

std::string make_request(const std::string& method, const std::string& target, const std::string& host,
                         const std::vector<std::pair<std::string, std::string>>& headers,
                         const std::string& body)
{
    std::string bytes = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const auto& [name, value] : headers) {
        bytes += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "POST") {
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return bytes + "\r\n" + body;
}

int exchange(const std::string& address, const std::string& request, int timeout_ms, message* answer)
{
    channel connection;
    message received;
    if (!connection.connect(address, std::min(timeout_ms, 1000)) || !connection.send(request) ||
        connection.read(received, true, timeout_ms) != read_result::complete) {
        return 0;
    }
    if (answer != nullptr) {
        *answer = received;
    }
    return received.status;
}

fleet::fleet(int machines, int stores) : machines_(machines), stores_(stores)
{
    running_fleet = this;
    std::signal(SIGPIPE, SIG_IGN);
    const char* root = std::getenv("GUAVAWICK_ROOT");
    binary_ = std::string(root == nullptr ? "../.." : root) + "/target/guavawick";
    if (!fs::exists(binary_)) {
        give_up(binary_ + " is missing: run the build of the deploy file first");
    }
    binary_ = fs::absolute(binary_).string();
    std::string pattern = (fs::temp_directory_path() / "guavawick-review-XXXXXX").string();
    if (::mkdtemp(pattern.data()) == nullptr) {
        give_up("no temporary folder");
    }
    folder_ = pattern;
    for (int i = 0; i < 200 && prefix_.empty(); ++i) {
        const int number = (static_cast<int>(::getpid()) + i * 37) % 20000;
        prefix_ = "127." + std::to_string(20 + number / 200) + "." + std::to_string(1 + number % 200) + ".";
        for (int machine = 0; machine < machines_; ++machine) {
            for (const int port : {8367, 8368, 8369, 7780, 7781, 7788, 7789}) {
                if (!prefix_.empty() && !is_free(front_ip(machine) + ":" + std::to_string(port))) {
                    prefix_.clear();
                }
            }
        }
    }
    for (int i = 0; i < machines_; ++i) {
        processes_.push_back({"control", i});
        processes_.push_back({"gateway", i});
    }
    for (int i = 0; i < stores_; ++i) {
        processes_.push_back({"store", i});
    }
    for (process& each : processes_) {
        start(each, true);
    }
    record("started %d control replicas, %d gateways, %d stores on %s0/24", machines_, machines_, stores_,
           prefix_.c_str());
}

fleet::~fleet()
{
    running_fleet = nullptr;
    for (process& each : processes_) {
        if (each.pid > 0) {
            ::kill(each.pid, SIGKILL);
            ::waitpid(each.pid, nullptr, 0);
            each.pid = 0;
        }
    }
    const char* keep = std::getenv("KEEP_LOGS");
    if (keep == nullptr) {
        std::error_code ignored;
        fs::remove_all(folder_, ignored);
    }
    else {
        std::fprintf(stderr, "logs: %s\n", folder_.c_str());
    }
}

std::string fleet::front_ip(int machine) const
{
    return prefix_ + std::to_string(11 + machine);
}

std::string fleet::store_ip(int machine) const
{
    return prefix_ + std::to_string(41 + machine);
}

std::string fleet::worker_address(int number) const
{
    return prefix_ + std::to_string(101 + number) + ":8080";
}

std::string fleet::zone(int machine) const
{
    static const char* const names[] = {"trent", "tame", "soar", "dove"};
    return names[machine % 4];
}

void fleet::write_settings(const process& target, bool bootstrap)
{
    const bool is_store = target.role == "store";
    const std::string ip = is_store ? store_ip(target.machine) : front_ip(target.machine);
    const std::string name = (is_store ? "storage-" : "front-") + std::to_string(target.machine + 1);
    std::ofstream file(folder_ + "/" + target.role + std::to_string(target.machine) + ".toml");
    file << "node_name = \"" << name << "\"\nrole = \"" << target.role << "\"\nmachine_class = \""
         << (is_store ? "storage" : "front") << "\"\nip = \"" << ip << "\"\nzone = \"" << zone(target.machine)
         << "\"\nregion = \"midlands\"\ninternal_ports = [7780,7795]\nseeds = [";
    for (int i = 0; i < std::min(machines_, 3); ++i) {
        file << (i == 0 ? "\"" : ",\"") << control(i) << "\"";
    }
    file << "]\nbootstrap = " << (bootstrap ? "true" : "false")
         << "\ncounts_as_loss = true\nheartbeat_ms = 1200\n";
    if (target.role != "gateway") {
        file << "data_dir = \"" << folder_ << "/" << target.role << target.machine << ".data\"\n";
    }
    file << "[zones]\ntrent = \"midlands\"\ntame = \"midlands\"\nsoar = \"midlands\"\ndove = "
            "\"midlands\"\n[listen]\n";
    if (!is_store) {
        file << "front = \"" << ip << ":8368\"\nready = \"" << ip << ":8369\"\ncontrol = \"" << ip
             << ":8367\"\n";
    }
    file
        << "[limits]\nmemory_mb = " << 260 << "\nmax_fds = 4100\ndisk_mb = " << (is_store ? 300 : 64)
        << "\n[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n"
           "[bounds]\nseed_lag_s = 3\nreuse_after_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4.7\n"
           "drain_ms = 2000\ngrace_s = 8\nloss_slack_ms = 200\nconfig_apply_ms = 2000\n"
           "rollback_slack_ms = 250\nouter_bound_ms = 5000\nquota_window_s = 5\nquota_overage = 0.1\n"
           "quota_slack = 20\ncold_overage = 1.5\ncold_slack = 5\nevacuate_ms = 5000\nrecover_s = 12\n";
}

void fleet::start(process& target, bool bootstrap)
{
    write_settings(target, bootstrap);
    const std::string base = folder_ + "/" + target.role + std::to_string(target.machine);
    if (target.role != "gateway") {
        fs::create_directories(base + ".data");
    }
    const std::string settings = base + ".toml";
    const std::string output = base + ".out";
    target.stopped_by_case = false;
    const pid_t child = ::fork();
    if (child == 0) {
        const int fd = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(fd, STDOUT_FILENO);
        ::dup2(fd, STDERR_FILENO);
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        ::setenv("GUAVAWICK_BOOT", settings.c_str(), 1);
        ::signal(SIGPIPE, SIG_DFL);
        ::execl(binary_.c_str(), binary_.c_str(), target.role.c_str(), nullptr);
        ::_exit(127);
    }
    target.pid = child;
}

fleet::process& fleet::find(const std::string& role, int machine)
{
    for (process& each : processes_) {
        if (each.role == role && each.machine == machine) {
            return each;
        }
    }
    give_up("no process " + role);
}

void fleet::signal(const std::string& role, int machine, int signal_number)
{
    process& target = find(role, machine);
    record("signal %d to %s %d", signal_number, role.c_str(), machine + 1);
    target.stopped_by_case = target.stopped_by_case || signal_number == SIGTERM || signal_number == SIGKILL;
    if (target.pid > 0) {
        ::kill(target.pid, signal_number);
    }
}

pid_t fleet::pid(const std::string& role, int machine)
{
    process& target = find(role, machine);
    if (target.pid > 0 && ::waitpid(target.pid, nullptr, WNOHANG) == target.pid) {
        target.pid = 0;
    }
    return target.pid;
}

void fleet::restart(const std::string& role, int machine, int down_ms)
{
    process& target = find(role, machine);
    if (target.pid > 0) {
        ::kill(target.pid, SIGKILL);
        ::waitpid(target.pid, nullptr, 0);
    }
    record("killed %s %d", role.c_str(), machine + 1);
    sleep_ms(down_ms);
    start(target, false);
    record("started %s %d again", role.c_str(), machine + 1);
}

void fleet::wait_ready()
{
    const double deadline = now_s() + 30;
    for (int machine = 0; machine < machines_; ++machine) {
        while (exchange(ready(machine), make_request("GET", "/guavawick/ready", "x", {}, ""), 500) != 200) {
            if (now_s() > deadline) {
                give_up("gateway " + std::to_string(machine + 1) + " is not ready after 30 s");
            }
            sleep_ms(100);
        }
    }
    record("all gateways are ready");
}

std::vector<std::string> fleet::ended()
{
    std::vector<std::string> names;
    for (process& each : processes_) {
        int status = 0;
        if (each.pid > 0 && ::waitpid(each.pid, &status, WNOHANG) == each.pid) {
            each.pid = 0;
            if (!each.stopped_by_case) {
                names.push_back(each.role + " " + std::to_string(each.machine + 1));
                record("%s ended by itself, wait status %d", names.back().c_str(), status);
            }
        }
    }
    return names;
}

std::uint64_t fleet::resident(const std::string& role, int machine)
{
    std::ifstream file("/proc/" + std::to_string(pid(role, machine)) + "/statm");
    std::uint64_t total = 0;
    std::uint64_t pages = 0;
    file >> total >> pages;
    return pages * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

int give_order(const fleet& target, int first, const std::string& path, const std::string& body,
               double give_up_after_s)
{
    const std::string request =
        make_request("POST", path, "control", {{"Content-Type", "application/json"}}, body);
    const double deadline = now_s() + give_up_after_s;
    int pause_ms = 50;
    for (int turn = 0; now_s() < deadline; ++turn) {
        const int machine = (first + turn) % target.machines();
        record("operator sends %s to control %d", path.c_str(), machine + 1);
        const int status = exchange(target.control(machine), request, 1000);
        record("operator got %d for %s from control %d", status, path.c_str(), machine + 1);
        if (status != 0 && status < 500 && status != 408 && status != 429) {
            return status;
        }
        sleep_ms(pause_ms);
        pause_ms = std::min(pause_ms * 2, 1000);
    }
    return 0;
}

worker::worker(const fleet& target, std::string id, std::string service, std::string zone, int number,
               int slots, handler answer)
    : fleet_(target), id_(id), base_id_(std::move(id)), service_(std::move(service)), zone_(std::move(zone)),
      address_(target.worker_address(number)), slots_(slots), answer_(std::move(answer))
{
    if (!listen()) {
        give_up("a worker can't listen on " + address_);
    }
    accepting_ = std::thread([this] { accept_loop(); });
    beating_ = std::thread([this] { beat_loop(); });
}

bool worker::listen()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in where = parse_address(address_);
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0 || ::listen(fd, 1024) != 0) {
        ::close(fd);
        return false;
    }
    const std::lock_guard lock(mutex_);
    born_ = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count();
    listener_ = fd;
    return true;
}

std::string worker::id() const
{
    const std::lock_guard lock(mutex_);
    return id_;
}

void worker::crash(int down_ms)
{
    if (crashed_.exchange(true)) {
        return;
    }
    ::shutdown(listener_, SHUT_RDWR);
    ::close(listener_.exchange(-1));
    const std::lock_guard lock(mutex_);
    const linger reset{1, 0};
    for (const int fd : sockets_) {
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        ::shutdown(fd, SHUT_RDWR);
    }
    std::thread([this, down_ms] {
        sleep_ms(down_ms);
        {
            const std::lock_guard id_lock(mutex_);
            id_ = base_id_ + "-" + std::to_string(++lifetime_);
        }
        while (!stop_ && !listen()) {
            sleep_ms(50);
        }
        crashed_ = false;
    }).detach();
}

worker::~worker()
{
    stop_ = true;
    if (listener_ >= 0) {
        ::shutdown(listener_, SHUT_RDWR);
    }
    accepting_.join();
    beating_.join();
    if (listener_ >= 0) {
        ::close(listener_);
    }
    const double deadline = now_s() + 10;
    while (connections_ > 0 && now_s() < deadline) {
        sleep_ms(10);
    }
}

void worker::accept_loop()
{
    while (!stop_) {
        const int listener = listener_;
        const int fd = listener < 0 ? -1 : ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0) {
            sleep_ms(5);
            continue;
        }
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        ++connections_;
        std::thread([this, fd] { serve(fd); }).detach();
    }
}

bool worker::beat()
{
    const std::lock_guard lock(beat_mutex_);
    ++sequence_;
    std::int64_t born = 0;
    std::string id;
    {
        const std::lock_guard id_lock(mutex_);
        born = born_;
        id = id_;
    }
    const std::string body = "{\"service\":\"" + service_ + "\",\"address\":\"" + address_ +
                             "\",\"zone\":\"" + zone_ +
                             "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots_) + ",\"phase\":\"" +
                             (draining_ ? "draining" : "ready") +
                             "\",\"cold_remaining_ms\":0,\"sequence\":" + std::to_string(sequence_) +
                             ",\"born\":" + std::to_string(born) + "}";
    const std::string request = make_request("POST", "/guavawick/Instances.Heartbeat/" + id, "control",
                                             {{"Content-Type", "application/json"}}, body);
    for (int i = 0; i < fleet_.machines() && !stop_; ++i) {
        const int machine = static_cast<int>((sequence_ + static_cast<std::uint64_t>(i)) %
                                             static_cast<std::uint64_t>(fleet_.machines()));
        const int status = exchange(fleet_.control(machine), request, 1000);
        if (status >= 200 && status < 300) {
            return true;
        }
    }
    return false;
}

void worker::beat_loop()
{
    double next = now_s();
    while (!stop_) {
        if (!crashed_) {
            beat();
        }
        next = std::max(next + 1.2, now_s());
        while (!stop_ && now_s() < next) {
            sleep_ms(20);
        }
    }
}

double worker::drain()
{
    draining_ = true;
    while (!beat()) {
        sleep_ms(100);
    }
    return now_s();
}

std::string worker::common_headers(const message& request) const
{
    return "X-Guavawick-Request-Id: " + request.header("X-Guavawick-Request-Id") +
           "\r\nX-Guavawick-Server-Stamp: " + id() + "." + request.header("X-Guavawick-Request-Id") +
           "\r\nX-Guavawick-Server-Load: " + std::to_string(running.load()) + ",0," + std::to_string(slots_) +
           "\r\nKeep-Alive: timeout=10\r\n";
}

bool worker::reply(channel& to, const message& request, int status, const std::string& body) const
{
    return to.send("HTTP/1.1 " + std::to_string(status) + " X\r\n" + common_headers(request) +
                   "Content-Type: text/plain\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                   body);
}

void worker::serve(int socket)
{
    {
        {
            const std::lock_guard lock(mutex_);
            sockets_.insert(socket);
        }
        channel connection(socket);
        message request;
        bool keep = true;
        while (keep && !stop_) {
            if (!connection.wait(200)) {
                continue;
            }
            if (connection.read(request, false, 10000) != read_result::complete) {
                break;
            }
            const std::string expected = request.header("X-Guavawick-Expect-Instance");
            if (!expected.empty() && expected != id()) {
                connection.send(
                    "HTTP/1.1 421 X\r\nX-Guavawick-Request-Id: " + request.header("X-Guavawick-Request-Id") +
                    "\r\nX-Guavawick-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            ++running;
            keep = answer_(*this, request, connection);
            --running;
        }
        const std::lock_guard lock(mutex_);
        sockets_.erase(socket);
    }
    --connections_;
}

} // namespace standin
