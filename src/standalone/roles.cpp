// Runs a role, or all of them in one process, from start to graceful shutdown.
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

constexpr int exit_storage = 3;
constexpr int exit_start = 2;

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

/// The processes of one settings file. Destroyed after the pool's threads have stopped and before the pool
/// itself.
struct role_set {
    std::unique_ptr<replica::replica_process> replica;
    std::vector<std::unique_ptr<sidecar::sidecar_process>> sidecars;
    std::unique_ptr<entry::entry_process> entry;
};

/// A process in one: its own replica is the only one, its own entry the only one.
settings complete_standalone(settings given)
{
    if (given.replica.link.empty()) {
        given.replica.link = "tcp://127.0.0.1:7490";
    }
    if (given.entry.link.empty()) {
        given.entry.link = "tcp://127.0.0.1:7491";
    }
    given.replicas = {{given.replica.name, given.replica.link}};
    for (sidecar_settings& one : given.sidecars) {
        one.entries = {given.entry.link};
    }
    return given;
}

void start_roles(role_set& roles, const settings& given, role_kind role, runtime::worker_pool& pool)
{
    const bool alone = role == role_kind::standalone;
    if (alone || role == role_kind::replica) {
        roles.replica = std::make_unique<replica::replica_process>(given, pool);
        roles.replica->start();
    }
    if (alone || role == role_kind::entry) {
        roles.entry = std::make_unique<entry::entry_process>(given, pool);
        roles.entry->start();
    }
    if (alone || role == role_kind::sidecar) {
        for (const sidecar_settings& own : given.sidecars) {
            roles.sidecars.push_back(std::make_unique<sidecar::sidecar_process>(given, own, pool));
            roles.sidecars.back()->start();
        }
    }
}

void stop_roles(role_set& roles)
{
    if (roles.entry) {
        roles.entry->stop();
    }
    for (const auto& one : roles.sidecars) {
        one->stop();
    }
    if (roles.replica) {
        roles.replica->stop();
    }
}

/// The links post to the pool, so they close while it still exists.
void close_roles(role_set& roles)
{
    if (roles.entry) {
        roles.entry->close();
    }
    for (const auto& one : roles.sidecars) {
        one->close();
    }
    if (roles.replica) {
        roles.replica->close();
    }
}

std::size_t worker_count(const settings& given, role_kind role)
{
    if (role == role_kind::sidecar) {
        return given.sidecars.front().workers;
    }
    return role == role_kind::replica ? 2 : given.entry.workers;
}

} // namespace

int run_process(const settings& wanted, role_kind role)
{
    const settings given = role == role_kind::standalone ? complete_standalone(wanted) : wanted;
    start_logging(given.log_file, to_severity(given.log_level));
    runtime::block_signals();
    runtime::worker_pool pool(
        worker_count(given, role)); // outlives the roles, whose sockets and timers belong to it
    role_set roles;
    int code = 0;
    try {
        start_roles(roles, given, role, pool);
        if (role == role_kind::standalone && !given.configuration_file.empty()) {
            publish_initial_configuration(given, pool);
        }
        log_event(event::process_started, {{"role", role_name(role)}, {"data_centre", given.data_centre}});
        runtime::wait_for_stop_signal();
        log_event(event::process_stopping, {{"role", role_name(role)}});
        runtime::limit_stop(given.stop_limit);
        stop_roles(roles);
    }
    catch (const storage_error& fault) {
        std::cerr << fault.what() << "\n";
        code = exit_storage;
    }
    catch (const error& fault) {
        std::cerr << fault.what() << "\n";
        code = exit_start;
    }
    pool.stop();
    close_roles(roles);
    log_event(event::process_stopped, {{"role", role_name(role)}});
    return code;
}

} // namespace guavawick
