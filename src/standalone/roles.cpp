// Runs one role, or all roles in one process, from start to graceful shutdown.
#include "standalone/roles.hpp"

#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "entry/entry_process.hpp"
#include "replica/replica_process.hpp"
#include "sidecar/sidecar_process.hpp"
#include "standalone/first_set.hpp"

#include <iostream>

namespace guavawick {
namespace {

constexpr int exit_storage_failed = 3;
constexpr int exit_start_failed = 2;

severity to_severity(const std::string& name)
{
    if (name == "debug") {
        return severity::debug;
    }
    if (name == "warning") {
        return severity::warning;
    }
    return name == "error" ? severity::error : severity::info;
}

const char* role_name(role_kind role)
{
    constexpr std::array names{"entry", "sidecar", "replica", "standalone"};
    return names[static_cast<std::size_t>(role)];
}

/// The roles that run in this process. Destroyed after the pool's threads have stopped and before the pool
/// itself.
struct running_roles {
    std::unique_ptr<replica::replica_process> replica;
    std::vector<std::unique_ptr<sidecar::sidecar_process>> sidecars;
    std::unique_ptr<entry::entry_process> entry;
};

/// Completes the settings of a standalone process: its replica and its entry are the only ones.
settings complete_standalone_settings(settings process_settings)
{
    if (process_settings.replica.link.empty()) {
        process_settings.replica.link = "tcp://127.0.0.1:7490";
    }
    if (process_settings.entry.link.empty()) {
        process_settings.entry.link = "tcp://127.0.0.1:7491";
    }
    process_settings.replicas = {{process_settings.replica.name, process_settings.replica.link}};
    for (sidecar_settings& upstream_settings : process_settings.sidecars) {
        upstream_settings.entries = {process_settings.entry.link};
    }
    return process_settings;
}

void start_roles(running_roles& roles, const settings& process_settings, role_kind role,
                 runtime::worker_pool& pool)
{
    const bool is_standalone = role == role_kind::standalone;
    if (is_standalone || role == role_kind::replica) {
        roles.replica = std::make_unique<replica::replica_process>(process_settings, pool);
        roles.replica->start();
    }
    if (is_standalone || role == role_kind::entry) {
        roles.entry = std::make_unique<entry::entry_process>(process_settings, pool);
        roles.entry->start();
    }
    if (is_standalone || role == role_kind::sidecar) {
        for (const sidecar_settings& upstream_settings : process_settings.sidecars) {
            roles.sidecars.push_back(
                std::make_unique<sidecar::sidecar_process>(process_settings, upstream_settings, pool));
            roles.sidecars.back()->start();
        }
    }
}

void stop_roles(running_roles& roles)
{
    if (roles.entry) {
        roles.entry->stop();
    }
    for (const auto& sidecar : roles.sidecars) {
        sidecar->stop();
    }
    if (roles.replica) {
        roles.replica->stop();
    }
}

/// Closes the links while the pool exists, because they post to it.
void close_roles(running_roles& roles)
{
    if (roles.entry) {
        roles.entry->close();
    }
    for (const auto& sidecar : roles.sidecars) {
        sidecar->close();
    }
    if (roles.replica) {
        roles.replica->close();
    }
}

std::size_t worker_count(const settings& process_settings, role_kind role)
{
    if (role == role_kind::sidecar) {
        return process_settings.sidecars.front().workers;
    }
    return role == role_kind::replica ? 2 : process_settings.entry.workers;
}

} // namespace

int run_process(const settings& file_settings, role_kind role)
{
    const settings process_settings =
        role == role_kind::standalone ? complete_standalone_settings(file_settings) : file_settings;
    configure_logging(process_settings.log_file, to_severity(process_settings.log_level));
    runtime::block_signals();
    runtime::worker_pool pool(
        worker_count(process_settings, role)); // outlives the roles, whose sockets and timers belong to it
    running_roles roles;
    int exit_code = 0;
    try {
        start_roles(roles, process_settings, role, pool);
        if (role == role_kind::standalone && !process_settings.configuration_file.empty()) {
            publish_initial_configuration(process_settings, pool);
        }
        log_event(event::process_started,
                  {{"role", role_name(role)}, {"data_centre", process_settings.data_centre}});
        runtime::wait_for_stop_signal();
        log_event(event::process_stopping, {{"role", role_name(role)}});
        runtime::start_stop_watchdog(process_settings.stop_limit);
        stop_roles(roles);
    }
    catch (const storage_error& error) {
        std::cerr << error.what() << "\n";
        exit_code = exit_storage_failed;
    }
    catch (const error& error) {
        std::cerr << error.what() << "\n";
        exit_code = exit_start_failed;
    }
    pool.stop();
    close_roles(roles);
    log_event(event::process_stopped, {{"role", role_name(role)}});
    return exit_code;
}

} // namespace guavawick
