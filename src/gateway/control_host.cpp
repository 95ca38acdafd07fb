// Decides when a gateway runs a replica of the control group, and runs it.
#include "gateway/control_host.hpp"

#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "consensus/membership_plan.hpp"

#include <algorithm>
#include <filesystem>

namespace guavawick::gateway {

namespace {

using namespace std::chrono_literals;

/// For the control processes of an instance that returns to join a group that lacks a standby learner.
constexpr duration vacancy_delay = 3s;
/// Between two starts, the first of which failed: each opens and reads the files of the group.
constexpr duration start_retry_interval = 2s;
/// For the control processes of a fleet that starts to join the group. A group that lacks voters does not
/// tolerate the failures that the fleet must, so this is shorter.
constexpr duration lack_of_voters_delay = 1s;

std::string host_of(const std::string& endpoint)
{
    return endpoint.substr(0, endpoint.rfind(':'));
}

/// @return whether the group's replica keeps its state in the folder.
bool holds_replica(const std::string& data_folder)
{
    std::error_code ignored; // a folder that can't be read holds none
    return std::filesystem::exists(data_folder + "/group-" + std::to_string(core::control_group), ignored);
}

} // namespace

bool needs_control_replica(const std::set<std::string>& endpoints, const std::string& own_link,
                           std::size_t tolerated_failures)
{
    if (endpoints.empty()) {
        return false; // nothing is known of the group
    }
    const std::string own_host = host_of(own_link);
    const bool has_other_replica =
        std::any_of(endpoints.begin(), endpoints.end(), [&](const std::string& endpoint) {
            return endpoint != own_link && host_of(endpoint) == own_host;
        });
    if (has_other_replica) {
        return false;
    }
    const consensus::membership_policy policy = consensus::make_membership_policy(tolerated_failures, 1);
    return endpoints.contains(own_link) || endpoints.size() < policy.voters + policy.standby_learners;
}

control_host::control_host(const core::fleet_settings& settings, runtime::worker_pool& pool)
    : settings_(settings), pool_(pool),
      is_ended_(settings.data_folder.empty() || settings.replica_link.empty())
{
    settings_.link = settings.replica_link;
    settings_.link_listen = settings.replica_link_listen;
    settings_.bootstrap = false;
    settings_.operator_listen.clear();
    settings_.metrics_listen.clear();
    settings_.hosts_replica = true;
}

control_host::~control_host() = default;

void control_host::start()
{
    const std::lock_guard lock(mutex_);
    if (!is_ended_ && holds_replica(settings_.data_folder)) {
        run_replica(runtime_clock::now());
    }
}

void control_host::run_replica(time_point now)
{
    next_start_ = now + start_retry_interval;
    std::string failure_reason;
    try {
        replica_ = std::make_unique<core::control_process>(settings_, pool_);
        replica_->start({});
        log_event(event::control_replica_hosted, {{"link", settings_.link}});
        return;
    }
    catch (const link_error& error) {
        failure_reason = error.what();
        replica_.reset(); // its port is held; nothing of it runs
    }
    catch (const std::exception& error) {
        failure_reason = error.what();
    }
    log_event(event::control_replica_failed, {{"link", settings_.link}, {"reason", failure_reason}});
    if (replica_) {
        replica_->stop(); // messages that it received may still be processed, so it can't be replaced
        is_ended_ = true;
    }
    needed_since_ = {};
}

void control_host::consider(const std::set<std::string>& endpoints, time_point now)
{
    const std::unique_lock lock(mutex_, std::try_to_lock);
    if (!lock) {
        return; // the replica stops, and needs this thread to hand over its leadership
    }
    if (replica_ || is_ended_ || now < next_start_) {
        return;
    }
    // Its group may lack a quorum until this replica starts, and then nobody reports the members.
    const bool has_files = holds_replica(settings_.data_folder);
    const bool is_needed =
        has_files || needs_control_replica(endpoints, settings_.link, settings_.tolerated_failures);
    if (!is_needed) {
        needed_since_ = {};
        return;
    }
    if (needed_since_ == time_point{}) {
        needed_since_ = now;
    }
    const std::size_t voters = consensus::make_membership_policy(settings_.tolerated_failures, 1).voters;
    const duration delay = endpoints.size() < voters ? lack_of_voters_delay : vacancy_delay;
    // A former replica of this instance is a voter without a disk until it is replaced.
    const bool returns = has_files || endpoints.contains(settings_.link);
    if (returns || now - needed_since_ >= delay) {
        run_replica(now);
    }
}

void control_host::set_seeds(const std::vector<std::string>& seeds)
{
    const std::lock_guard lock(mutex_);
    settings_.seeds = seeds;
    if (replica_) {
        replica_->set_seeds(seeds);
    }
}

void control_host::stop()
{
    const std::lock_guard lock(mutex_);
    is_ended_ = true;
    if (replica_) {
        replica_->stop();
    }
}

void control_host::close()
{
    const std::lock_guard lock(mutex_);
    if (replica_) {
        replica_->close();
    }
}

} // namespace guavawick::gateway
