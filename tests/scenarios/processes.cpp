// Starts, stops and monitors the processes of a scenario.
#include "processes.hpp"

#include "connection_owner.hpp"

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

// Ports below the range of outgoing connections (32768 and up), which could take any of its ports at any
// time.
constexpr unsigned short first_port = 10000;
constexpr unsigned short ports_per_run = 100;
constexpr unsigned port_range_count = 140; ///< up to 24000, where the ports of the unit tests begin
constexpr unsigned short fixed_first_port = 7100;
constexpr std::size_t torn_record_bytes = 5;

bool is_free(unsigned short port)
{
    boost::asio::io_context context;
    tcp::acceptor probe(context);
    boost::system::error_code error;
    probe.open(tcp::v4(), error);
    probe.set_option(boost::asio::socket_base::reuse_address(true), error);
    probe.bind({boost::asio::ip::address_v4::loopback(), port}, error);
    return !error;
}

std::string loopback_address(unsigned short port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string format_settings(const std::map<std::string, std::string>& settings)
{
    std::string text;
    for (const auto& [name, value] : settings) {
        const bool is_number = value.find_first_not_of("0123456789") == std::string::npos;
        text += name + " = " + (is_number ? value : "\"" + value + "\"") + "\n";
    }
    return text;
}

void write_file(const std::string& path, const std::string& text)
{
    std::ofstream(path) << text;
}

std::vector<std::string> split_list(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');) {
        parts.push_back(part);
    }
    return parts;
}

} // namespace

process_set::process_set(std::string program_folder, std::string folder, bool uses_fixed_ports,
                         boost::asio::any_io_executor executor)
    : program_folder_(fs::absolute(program_folder).string()), folder_(std::move(folder)),
      uses_fixed_ports_(uses_fixed_ports), executor_(std::move(executor))
{
    fs::remove_all(folder_);
    fs::create_directories(folder_);
    port_ = uses_fixed_ports_
                ? fixed_first_port
                : static_cast<unsigned short>(
                      first_port + (static_cast<unsigned>(getpid()) % port_range_count) * ports_per_run);
}

process_set::~process_set()
{
    for (auto& [name, process] : processes_) {
        if (process.pid > 0 && !process.ended) {
            ::kill(process.pid, SIGKILL);
            ::waitpid(process.pid, nullptr, 0);
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

std::string process_set::link_endpoint(const std::string& owner, unsigned short& listen_port)
{
    listen_port = next_port();
    if (!uses_relays_) {
        return "tcp://" + loopback_address(listen_port);
    }
    const unsigned short advertised_port = next_port();
    const auto local_endpoint = [](unsigned short port) {
        return tcp::endpoint(boost::asio::ip::address_v4::loopback(), port);
    };
    relays_[owner] = std::make_unique<relay>(
        executor_, owner, local_endpoint(advertised_port), local_endpoint(listen_port),
        [this](const connection_ends& ends) { return find_connection_owner(ends); });
    return "tcp://" + loopback_address(advertised_port);
}

void process_set::add_process(const std::string& name, std::vector<std::string> command)
{
    scenario_process process;
    process.name = name;
    process.command = std::move(command);
    processes_[name] = process;
    start_order_.push_back(name);
}

void process_set::prepare(const system_definition& system, const std::vector<upstream_definition>& upstreams)
{
    uses_relays_ = system.relays;
    const std::vector<std::string> data_centres = split_list(system.data_centres);
    const std::string operator_hash = sha256_hex("operator-key");
    const std::string second_operator_hash = sha256_hex("second-key");
    std::string replicas;
    std::vector<std::string> replica_links;
    std::vector<unsigned short> replica_ports(static_cast<std::size_t>(system.replicas));
    for (int i = 0; i < system.replicas; ++i) {
        const std::string name = "replica-" + std::to_string(i + 1);
        replica_links.push_back(link_endpoint(name, replica_ports[static_cast<std::size_t>(i)]));
        replicas += "[[replicas]]\nname = \"" + name + "\"\nendpoint = \"" + replica_links.back() + "\"\n";
    }
    std::vector<std::string> entry_links;
    std::vector<unsigned short> entry_ports(static_cast<std::size_t>(system.entries));
    for (int i = 0; i < system.entries; ++i) {
        entry_links.push_back(
            link_endpoint("entry-" + std::to_string(i + 1), entry_ports[static_cast<std::size_t>(i)]));
    }
    const auto common_settings = [&](const std::string& name, const std::string& data_centre) {
        return "data_centre = \"" + data_centre + "\"\nlog_file = \"" + folder_ + "/" + name +
               ".log\"\nlog_level = \"debug\"\nledger_shards = " + std::to_string(system.shards) + "\n";
    };
    for (const upstream_definition& upstream : upstreams) {
        const unsigned short port = next_port();
        const std::string run_log = folder_ + "/" + upstream.name + ".runs";
        run_logs_.push_back(run_log);
        std::vector<std::string> command{program_folder_ + "/tests/fake_upstream",
                                         "--listen=" + loopback_address(port), "--kind=" + upstream.kind,
                                         "--run_log=" + run_log};
        for (const auto& [flag, value] : upstream.flags) {
            command.push_back("--" + flag + "=" + value);
        }
        add_process(upstream.name, command);
        const std::string name = "sidecar-" + upstream.name;
        unsigned short link_port = 0;
        const std::string advertised_endpoint = link_endpoint(name, link_port);
        std::string entries;
        for (const std::string& link : entry_links) {
            entries += (entries.empty() ? "\"" : ", \"") + link + "\"";
        }
        const std::string listen_setting =
            uses_relays_ ? "listen_link = \"tcp://" + loopback_address(link_port) + "\"\n" : "";
        write_file(folder_ + "/" + name + ".toml",
                   common_settings(name, upstream.data_centre) + "[[sidecars]]\nname = \"" + upstream.name +
                       "\"\nlink = \"" + advertised_endpoint + "\"\n" + listen_setting + "entries = [" +
                       entries + "]\nkind = \"" + upstream.kind + "\"\nserves = \"" + upstream.serves +
                       "\"\nupstream = \"http://" + loopback_address(port) + "\"\n" +
                       format_settings(system.sidecar_settings));
        add_process(name, {program_folder_ + "/guavawick", "sidecar",
                           "--settings=" + folder_ + "/" + name + ".toml"});
    }
    for (int i = 0; i < system.replicas; ++i) {
        const std::string name = "replica-" + std::to_string(i + 1);
        const unsigned short operator_port =
            uses_fixed_ports_ ? static_cast<unsigned short>(8090 + i) : next_port();
        operator_addresses_[name] = "http://" + loopback_address(operator_port);
        const std::string& advertised_endpoint = replica_links[static_cast<std::size_t>(i)];
        const std::string listen_setting =
            uses_relays_ ? "listen_link = \"tcp://" +
                               loopback_address(replica_ports[static_cast<std::size_t>(i)]) + "\"\n"
                         : "";
        write_file(folder_ + "/" + name + ".toml",
                   common_settings(name, data_centres[static_cast<std::size_t>(i) % data_centres.size()]) +
                       replicas + "[replica]\nname = \"" + name + "\"\nlink = \"" + advertised_endpoint +
                       "\"\n" + listen_setting + "operator_listen = \"" + loopback_address(operator_port) +
                       "\"\ndata_folder = \"" + folder_ + "/" + name + ".data\"\noperator_keys = [\"ops:" +
                       operator_hash + "\", \"second:" + second_operator_hash + "\"]\n" +
                       format_settings(system.replica_settings));
        add_process(name, {program_folder_ + "/guavawick", "replica",
                           "--settings=" + folder_ + "/" + name + ".toml"});
    }
    for (int i = 0; i < system.entries; ++i) {
        const std::string name = "entry-" + std::to_string(i + 1);
        const unsigned short port = uses_fixed_ports_ ? static_cast<unsigned short>(8080 + i) : next_port();
        entry_addresses_[name] = "http://" + loopback_address(port);
        const std::string link = "tcp://" + loopback_address(entry_ports[static_cast<std::size_t>(i)]);
        write_file(folder_ + "/" + name + ".toml",
                   common_settings(name, data_centres[static_cast<std::size_t>(i) % data_centres.size()]) +
                       replicas + "[entry]\nlisten = \"" + loopback_address(port) + "\"\nlink = \"" + link +
                       "\"\n" + format_settings(system.entry_settings));
        add_process(
            name, {program_folder_ + "/guavawick", "entry", "--settings=" + folder_ + "/" + name + ".toml"});
    }
}

void process_set::start(const std::string& name)
{
    scenario_process& process = processes_.at(name);
    std::vector<char*> arguments;
    for (std::string& word : process.command) {
        arguments.push_back(word.data());
    }
    arguments.push_back(nullptr);
    const std::string output = folder_ + "/" + name + ".out";
    const pid_t pid = ::fork();
    if (pid == 0) {
        const int fd = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(fd, STDOUT_FILENO);
        ::dup2(fd, STDERR_FILENO);
        ::prctl(PR_SET_PDEATHSIG, SIGKILL); // no process outlives a runner that is killed
        ::setpgid(0, 0); // Ctrl-C only reaches the runner, which stops the processes in order
        sigset_t no_signals;
        sigemptyset(&no_signals);
        ::sigprocmask(SIG_SETMASK, &no_signals, nullptr);
        ::closefrom(STDERR_FILENO + 1);
        ::execv(arguments[0], arguments.data());
        ::_exit(127);
    }
    process.pid = pid;
    process.ended = false;
    process.frozen = false;
    process.exit_code = -1;
}

void process_set::send_signal(const std::string& name, int signal_number)
{
    scenario_process& process = processes_.at(name);
    if (process.pid <= 0 || process.ended) {
        return;
    }
    ::kill(process.pid, signal_number);
    process.frozen = signal_number == SIGSTOP || (process.frozen && signal_number != SIGCONT);
    if (signal_number == SIGKILL) {
        ::waitpid(process.pid, nullptr, 0);
        process.ended = true;
        process.exit_code = 128 + SIGKILL;
    }
}

void process_set::reap()
{
    for (auto& [name, process] : processes_) {
        int status = 0;
        if (process.pid > 0 && !process.ended && ::waitpid(process.pid, &status, WNOHANG) == process.pid) {
            process.ended = true;
            process.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
        }
    }
}

void process_set::wipe_disk(const std::string& name)
{
    fs::remove_all(folder_ + "/" + name + ".data");
}

void process_set::tear_logs(const std::string& name)
{
    for (const auto& group : fs::directory_iterator(folder_ + "/" + name + ".data")) {
        const fs::path log = group.path() / "log";
        if (fs::exists(log)) {
            // A torn write leaves a record without its end.
            std::ofstream(log, std::ios::app | std::ios::binary) << std::string(torn_record_bytes, '\x7f');
        }
    }
}

void process_set::cut(const std::string& from, const std::string& to, bool both_ways)
{
    for (auto& [owner, relay] : relays_) {
        if (owner == to || to == "*") {
            relay->cut(from);
        }
        if (both_ways && (owner == from || from == "*")) {
            relay->cut(to);
        }
    }
}

void process_set::heal(const std::string& from, const std::string& to)
{
    for (auto& [owner, relay] : relays_) {
        if (owner == to || to == "*") {
            relay->heal(from);
        }
        if (owner == from || from == "*") {
            relay->heal(to);
        }
    }
}

void process_set::mute(const std::string& from, const std::string& to)
{
    for (auto& [owner, relay] : relays_) {
        if (owner == to || to == "*") {
            relay->mute(from);
        }
        if (owner == from || from == "*") {
            relay->mute(to);
        }
    }
}

std::vector<std::string> process_set::operator_addresses() const
{
    std::vector<std::string> addresses;
    for (const auto& [name, address] : operator_addresses_) {
        const scenario_process& process = processes_.at(name);
        if (process.pid > 0 && !process.ended && !process.frozen) {
            addresses.push_back(address);
        }
    }
    return addresses;
}

std::vector<boost::json::object> process_set::read_run_logs() const
{
    std::vector<boost::json::object> lines;
    for (const std::string& path : run_logs_) {
        std::ifstream file(path);
        for (std::string line; std::getline(file, line);) {
            boost::system::error_code parse_error;
            boost::json::value parsed = boost::json::parse(line, parse_error);
            if (!parse_error && parsed.is_object()) {
                lines.push_back(std::move(parsed.as_object()));
            }
        }
    }
    return lines;
}

std::string process_set::read_all_logs() const
{
    std::string text;
    for (const auto& file_entry : fs::directory_iterator(folder_)) {
        if (file_entry.path().extension() == ".log" || file_entry.path().extension() == ".out") {
            std::ifstream file(file_entry.path());
            std::ostringstream content;
            content << file.rdbuf();
            text += content.str();
        }
    }
    return text;
}

std::string process_set::find_connection_owner(const connection_ends& ends) const
{
    std::map<std::string, pid_t> running;
    for (const auto& [name, process] : processes_) {
        if (process.pid > 0 && !process.ended) {
            running[name] = process.pid;
        }
    }
    return scenarios::find_connection_owner(running, ends);
}

} // namespace guavawick::scenarios
