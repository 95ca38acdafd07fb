// The control group of a fleet that must survive the loss of two disks, with a control replica in each of
// three data centres and a gateway with a disk beside each.
#pragma once

#include "small_fleet.hpp"

#include <array>

namespace guavawick::tests {

constexpr int max_polls = 200000;    ///< of a metric that stays as it is
constexpr int max_publications = 20; ///< of a document that nobody acknowledges
constexpr std::size_t data_centres = 3;

/// A process with a thread of its own, so that it can end while the others run.
template <typename Process>
struct hosted_process {
    std::unique_ptr<runtime::worker_pool> pool = std::make_unique<runtime::worker_pool>(1);
    std::unique_ptr<Process> process;

    void end()
    {
        if (!process) {
            return;
        }
        process->stop();
        pool->stop();
        process->close();
        process.reset();
    }
};

struct gateway_links {
    std::string gateway;
    std::string replica;
};

struct small_control_group {
    fs::path data_root = fs::temp_directory_path() / ("guavawick-test-" + to_hex(random_id()));
    core::fleet_settings common;
    std::array<hosted_process<core::control_process>, data_centres> controls;
    std::array<hosted_process<gateway::gateway_process>, data_centres> gateways;
    std::array<std::string, data_centres> metrics;
    std::map<std::size_t, gateway_links> links; ///< by host

    small_control_group()
    {
        common.data_centre_count = data_centres;
        common.tolerated_failures = 2;
        common.stop_grace = 1s;
        std::array<std::string, data_centres> control_links;
        for (std::string& link : control_links) {
            link = "tcp://" + find_free_address();
            common.seeds.push_back(link);
        }
        for (std::size_t i = 0; i < data_centres; ++i) {
            start_control(i, control_links.at(i));
            start_gateway(i, i);
        }
    }

    ~small_control_group()
    {
        for (auto& gateway : gateways) {
            gateway.end();
        }
        for (auto& control : controls) {
            control.end();
        }
        fs::remove_all(data_root);
    }

    void start_control(std::size_t number, const std::string& link)
    {
        core::fleet_settings settings = common;
        settings.node = "first-" + std::to_string(number);
        settings.data_centre = std::to_string(number);
        settings.link = link;
        settings.data_folder = (data_root / settings.node).string();
        settings.bootstrap = true;
        settings.operator_listen = find_free_address();
        settings.metrics_listen = find_free_address();
        metrics.at(number) = settings.metrics_listen;
        auto& control = controls.at(number);
        control.process = std::make_unique<core::control_process>(settings, *control.pool);
        control.process->start([](http::request&, http::responder& out) -> asio::awaitable<void> {
            http::response response = http::make_response(200, "text/plain", "");
            co_await out.send(std::move(response));
        });
    }

    /// @param host number of the instance; another one than before stands for its successor.
    void start_gateway(std::size_t number, std::size_t host)
    {
        core::fleet_settings settings = common;
        settings.node = name_of_gateway(host);
        settings.data_centre = std::to_string(number);
        // On loopback each address stands for a host of its own.
        const std::string address = "127.0.1." + std::to_string(host + 1);
        const auto find_port = [] {
            const std::string free = find_free_address();
            return free.substr(free.rfind(':'));
        };
        if (!links.contains(host)) {
            links[host] = {"tcp://" + address + find_port(), "tcp://" + address + find_port()};
        }
        settings.link = links[host].gateway;
        settings.replica_link = links[host].replica;
        settings.data_folder = (data_root / settings.node).string();
        settings.caller_listen = find_free_address();
        settings.readiness_listen = find_free_address();
        gateway::platform_adapter adapter;
        adapter.decode_plan = decode_plan;
        auto& gateway = gateways.at(number);
        gateway.process = std::make_unique<gateway::gateway_process>(settings, adapter, *gateway.pool);
        gateway.process->start();
    }

    template <typename Result>
    Result run(std::size_t number, asio::awaitable<Result> task)
    {
        return asio::co_spawn(controls.at(number).pool->executor(), std::move(task), asio::use_future).get();
    }

    /// @return whether a document was acknowledged before the time-out.
    bool publish_once(std::size_t number, std::uint64_t version)
    {
        try {
            run(number, controls.at(number).process->publish({version, std::to_string(version)}));
            return true;
        }
        catch (const error& failure) {
            BOOST_TEST_MESSAGE(failure.what());
            return false;
        }
    }

    /// Publishes as an operator does, who sends a document again until it is acknowledged.
    bool publish(std::size_t number, std::uint64_t version)
    {
        for (int i = 0; i < max_publications; ++i) {
            if (publish_once(number, version)) {
                return true;
            }
        }
        return false;
    }

    /// @return the version that a quorum confirms; 0 if none does before the time-out.
    std::uint64_t read_version(std::size_t number)
    {
        try {
            return run(number, controls.at(number).process->read_document()).version;
        }
        catch (const error& failure) {
            BOOST_TEST_MESSAGE(failure.what());
            return 0;
        }
    }

    /// @return the number of voters that the group's replicas know.
    double read_voters(std::size_t number)
    {
        http::request request;
        request.method = "GET";
        request.target = "/metrics";
        const std::string text =
            run(number, http::fetch_response("http://" + metrics.at(number), request, 20s)).body;
        const std::string name = "\nguavawick_replica_voters{name=\"0\"} ";
        const std::size_t line = text.find(name);
        return line == std::string::npos ? 0 : std::stod(text.substr(line + name.size()));
    }

    static std::string name_of_gateway(std::size_t host) { return "second-" + std::to_string(host); }

    [[nodiscard]] bool hosts_replica(std::size_t host) const
    {
        return fs::exists(data_root / name_of_gateway(host) / "group-0");
    }

    void lose_gateway(std::size_t number, std::size_t host)
    {
        gateways.at(number).end();
        gateways.at(number) = {};
        fs::remove_all(data_root / name_of_gateway(host));
    }

    /// Waits until the group has its voters and each gateway hosts a replica.
    bool become_whole()
    {
        const auto is_whole = [this] {
            return read_voters(2) >= 5 && hosts_replica(0) && hosts_replica(1) && hosts_replica(2);
        };
        for (int polls = 0; polls < max_polls; ++polls) {
            if (is_whole()) {
                return true;
            }
        }
        return false;
    }

    void lose_control(std::size_t number)
    {
        controls.at(number).end();
        fs::remove_all(data_root / ("first-" + std::to_string(number)));
    }
};

} // namespace guavawick::tests
