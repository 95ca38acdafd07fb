// The processes of a scenario.
#include "processes.hpp"

#include "base/hash_func.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json.hpp>

#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace guavawick::scenarios {

namespace fs = std::filesystem;
using tcp = boost::asio::ip::tcp;

namespace {

// Below the range of outgoing connections (32768 and up), which may take any port there meanwhile.
constexpr unsigned short first_port = 10000;
constexpr unsigned short ports_per_run = 100;
constexpr unsigned runs = 220;
constexpr unsigned short fixed_first_port = 7100;
constexpr std::size_t torn_bytes = 5;

bool is_free(unsigned short port)
{
    boost::asio::io_context context;
    tcp::acceptor probe(context);
    boost::system::error_code failed;
    probe.open(tcp::v4(), failed);
    probe.set_option(boost::asio::socket_base::reuse_address(true), failed);
    probe.bind({boost::asio::ip::address_v4::loopback(), port}, failed);
    return !failed;
}

std::string at(unsigned short port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string extra(const std::map<std::string, std::string>& settings)
{
    std::string text;
    for (const auto& [name, value] : settings) {
        const bool number = value.find_first_not_of("0123456789") == std::string::npos;
        text += name + " = " + (number ? value : "\"" + value + "\"") + "\n";
    }
    return text;
}

void write_file(const std::string& path, const std::string& text)
{
    std::ofstream(path) << text;
}

std::vector<std::string> split_centres(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string one; std::getline(stream, one, ',');) {
        parts.push_back(one);
    }
    return parts;
}

} // namespace

process_set::process_set(std::string programs, std::string folder, bool fixed,
                         boost::asio::any_io_executor pool)
    : programs_(fs::absolute(programs).string()), folder_(std::move(folder)), fixed_(fixed),
      pool_(std::move(pool))
{
    fs::remove_all(folder_);
    fs::create_directories(folder_);
    port_ = fixed_ ? fixed_first_port
                   : static_cast<unsigned short>(first_port +
                                                 (static_cast<unsigned>(getpid()) % runs) * ports_per_run);
}

process_set::~process_set()
{
    for (auto& [name, one] : processes_) {
        if (one.pid > 0 && !one.ended) {
            ::kill(one.pid, SIGKILL);
            ::waitpid(one.pid, nullptr, 0);
        }
    }
}

unsigned short process_set::next_port()
{
    while (!is_free(port_)) {
        ++port_;
    }
    return port_++;
}

std::string process_set::link_endpoint(const std::string& owner, unsigned short& listens_at)
{
    listens_at = next_port();
    if (!relayed_) {
        return "tcp://" + at(listens_at);
    }
    const unsigned short shown = next_port();
    const auto local = [](unsigned short port) {
        return tcp::endpoint(boost::asio::ip::address_v4::loopback(), port);
    };
    relays_[owner] = std::make_unique<relay>(
        pool_, owner, local(shown), local(listens_at),
        [this](unsigned short local, unsigned short remote) { return owner_of(local, remote); });
    return "tcp://" + at(shown);
}

void process_set::add(const std::string& name, std::vector<std::string> command)
{
    process made;
    made.name = name;
    made.command = std::move(command);
    processes_[name] = made;
    order_.push_back(name);
}

void process_set::lay_out(const system_plan& plan, const std::vector<upstream_plan>& upstreams)
{
    relayed_ = plan.relays;
    const std::vector<std::string> centres = split_centres(plan.centres);
    const std::string operator_hash = sha256_hex("operator-key");
    const std::string second_hash = sha256_hex("second-key");
    std::string replicas;
    std::vector<std::string> replica_links;
    std::vector<unsigned short> replica_ports(static_cast<std::size_t>(plan.replicas));
    for (int i = 0; i < plan.replicas; ++i) {
        const std::string name = "replica-" + std::to_string(i + 1);
        replica_links.push_back(link_endpoint(name, replica_ports[static_cast<std::size_t>(i)]));
        replicas += "[[replicas]]\nname = \"" + name + "\"\nendpoint = \"" + replica_links.back() + "\"\n";
    }
    std::vector<std::string> entry_links;
    std::vector<unsigned short> entry_ports(static_cast<std::size_t>(plan.entries));
    for (int i = 0; i < plan.entries; ++i) {
        entry_links.push_back(
            link_endpoint("entry-" + std::to_string(i + 1), entry_ports[static_cast<std::size_t>(i)]));
    }
    const auto head = [&](const std::string& name, const std::string& centre) {
        return "data_centre = \"" + centre + "\"\nlog_file = \"" + folder_ + "/" + name +
               ".log\"\nlog_level = \"debug\"\nledger_shards = " + std::to_string(plan.shards) + "\n";
    };
    for (const upstream_plan& one : upstreams) {
        const unsigned short port = next_port();
        const std::string run_log = folder_ + "/" + one.name + ".runs";
        run_logs_.push_back(run_log);
        std::vector<std::string> command{programs_ + "/tests/fake_upstream", "--listen=" + at(port),
                                         "--kind=" + one.kind, "--run_log=" + run_log};
        for (const auto& [flag, value] : one.engine) {
            command.push_back("--" + flag + "=" + value);
        }
        add(one.name, command);
        const std::string name = "sidecar-" + one.name;
        unsigned short link_port = 0;
        const std::string shown = link_endpoint(name, link_port);
        std::string entries;
        for (const std::string& link : entry_links) {
            entries += (entries.empty() ? "\"" : ", \"") + link + "\"";
        }
        const std::string listen = relayed_ ? "listen_link = \"tcp://" + at(link_port) + "\"\n" : "";
        write_file(folder_ + "/" + name + ".toml",
                   head(name, one.centre) + "[[sidecars]]\nname = \"" + one.name + "\"\nlink = \"" + shown +
                       "\"\n" + listen + "entries = [" + entries + "]\nkind = \"" + one.kind +
                       "\"\nserves = \"" + one.serves + "\"\nupstream = \"http://" + at(port) + "\"\n" +
                       extra(plan.sidecar_settings));
        add(name, {programs_ + "/guavawick", "sidecar", "--settings=" + folder_ + "/" + name + ".toml"});
    }
    for (int i = 0; i < plan.replicas; ++i) {
        const std::string name = "replica-" + std::to_string(i + 1);
        const unsigned short admin = fixed_ ? static_cast<unsigned short>(8090 + i) : next_port();
        operator_addresses_[name] = "http://" + at(admin);
        const std::string& shown = replica_links[static_cast<std::size_t>(i)];
        const std::string listen =
            relayed_ ? "listen_link = \"tcp://" + at(replica_ports[static_cast<std::size_t>(i)]) + "\"\n"
                     : "";
        write_file(folder_ + "/" + name + ".toml",
                   head(name, centres[static_cast<std::size_t>(i) % centres.size()]) + replicas +
                       "[replica]\nname = \"" + name + "\"\nlink = \"" + shown + "\"\n" + listen +
                       "operator_listen = \"" + at(admin) + "\"\ndata_folder = \"" + folder_ + "/" + name +
                       ".data\"\noperator_keys = [\"ops:" + operator_hash + "\", \"second:" + second_hash +
                       "\"]\n" + extra(plan.replica_settings));
        add(name, {programs_ + "/guavawick", "replica", "--settings=" + folder_ + "/" + name + ".toml"});
    }
    for (int i = 0; i < plan.entries; ++i) {
        const std::string name = "entry-" + std::to_string(i + 1);
        const unsigned short port = fixed_ ? static_cast<unsigned short>(8080 + i) : next_port();
        entry_addresses_[name] = "http://" + at(port);
        const std::string link = "tcp://" + at(entry_ports[static_cast<std::size_t>(i)]);
        write_file(folder_ + "/" + name + ".toml",
                   head(name, centres[static_cast<std::size_t>(i) % centres.size()]) + replicas +
                       "[entry]\nlisten = \"" + at(port) + "\"\nlink = \"" + link + "\"\n" +
                       extra(plan.entry_settings));
        add(name, {programs_ + "/guavawick", "entry", "--settings=" + folder_ + "/" + name + ".toml"});
    }
}

void process_set::start(const std::string& name)
{
    process& one = processes_.at(name);
    std::vector<char*> arguments;
    for (std::string& word : one.command) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const std::string output = folder_ + "/" + name + ".out";
    const pid_t pid = ::fork();
    if (pid == 0) {
        const int fd = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(fd, STDOUT_FILENO);
        ::dup2(fd, STDERR_FILENO);
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // nothing outlives a runner that is killed
        ::setpgid(0, 0);                    // Ctrl-C reaches the runner, which stops the others in order
        sigset_t none;
        sigemptyset(&none);
        ::sigprocmask(SIG_SETMASK, &none, nullptr);
        ::closefrom(STDERR_FILENO + 1);
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }
    one.pid = pid;
    one.ended = false;
    one.frozen = false;
    one.exit_code = -1;
}

void process_set::signal(const std::string& name, int number)
{
    process& one = processes_.at(name);
    if (one.pid <= 0 || one.ended) {
        return;
    }
    ::kill(one.pid, number);
    one.frozen = number == SIGSTOP || (one.frozen && number != SIGCONT);
    if (number == SIGKILL) {
        ::waitpid(one.pid, nullptr, 0);
        one.ended = true;
        one.exit_code = 128 + SIGKILL;
    }
}

void process_set::reap()
{
    for (auto& [name, one] : processes_) {
        int status = 0;
        if (one.pid > 0 && !one.ended && ::waitpid(one.pid, &status, WNOHANG) == one.pid) {
            one.ended = true;
            one.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        }
    }
}

void process_set::wipe(const std::string& name)
{
    fs::remove_all(folder_ + "/" + name + ".data");
}

void process_set::tear(const std::string& name)
{
    for (const auto& group : fs::directory_iterator(folder_ + "/" + name + ".data")) {
        const fs::path log = group.path() / "log";
        if (fs::exists(log)) {
            // A torn write leaves a record whose end is missing.
            std::ofstream(log, std::ios::app | std::ios::binary) << std::string(torn_bytes, '\x7f');
        }
    }
}

void process_set::cut(const std::string& from, const std::string& to, bool both)
{
    for (auto& [owner, one] : relays_) {
        if (owner == to || to == "*") {
            one->cut(from);
        }
        if (both && (owner == from || from == "*")) {
            one->cut(to);
        }
    }
}

void process_set::heal(const std::string& from, const std::string& to)
{
    for (auto& [owner, one] : relays_) {
        if (owner == to || to == "*") {
            one->heal(from);
        }
        if (owner == from || from == "*") {
            one->heal(to);
        }
    }
}

void process_set::mute(const std::string& from, const std::string& to)
{
    for (auto& [owner, one] : relays_) {
        if (owner == to || to == "*") {
            one->mute(from);
        }
        if (owner == from || from == "*") {
            one->mute(to);
        }
    }
}

std::vector<std::string> process_set::operator_addresses() const
{
    std::vector<std::string> addresses;
    for (const auto& [name, address] : operator_addresses_) {
        const process& one = processes_.at(name);
        if (one.pid > 0 && !one.ended && !one.frozen) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

std::vector<boost::json::object> process_set::run_log() const
{
    std::vector<boost::json::object> lines;
    for (const std::string& path : run_logs_) {
        std::ifstream file(path);
        for (std::string line; std::getline(file, line);) {
            boost::system::error_code wrong;
            boost::json::value parsed = boost::json::parse(line, wrong);
            if (!wrong && parsed.is_object()) {
                lines.push_back(std::move(parsed.as_object()));
            }
        }
    }
    return lines;
}

std::string process_set::all_logs() const
{
    std::string text;
    for (const auto& item : fs::directory_iterator(folder_)) {
        if (item.path().extension() == ".log" || item.path().extension() == ".out") {
            std::ifstream file(item.path());
            std::ostringstream whole;
            whole << file.rdbuf();
            text += whole.str();
        }
    }
    return text;
}

std::string process_set::owner_of(unsigned short local_port, unsigned short remote_port) const
{
    std::ifstream table("/proc/net/tcp");
    std::ostringstream local;
    std::ostringstream remote;
    local << std::uppercase << std::hex << local_port;
    remote << std::uppercase << std::hex << remote_port;
    std::string inode;
    for (std::string line; std::getline(table, line);) {
        std::istringstream words(line);
        std::vector<std::string> fields((std::istream_iterator<std::string>(words)),
                                        std::istream_iterator<std::string>());
        constexpr std::size_t inode_field = 9;
        if (fields.size() <= inode_field) {
            continue;
        }
        const auto port_of = [](const std::string& address) {
            return std::stoul(address.substr(address.find(':') + 1), nullptr, 16);
        };
        if (fields[1].find(':') != std::string::npos && fields[0] != "sl" &&
            port_of(fields[1]) == local_port && port_of(fields[2]) == remote_port) {
            inode = "socket:[" + fields[inode_field] + "]";
        }
    }
    for (const auto& [name, one] : processes_) {
        if (inode.empty() || one.pid <= 0 || one.ended) {
            continue;
        }
        std::error_code ignored;
        for (const auto& fd : fs::directory_iterator("/proc/" + std::to_string(one.pid) + "/fd", ignored)) {
            if (fs::read_symlink(fd.path(), ignored).string() == inode) {
                return name;
            }
        }
    }
    return "?";
}

} // namespace guavawick::scenarios
