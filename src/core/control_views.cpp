// The control role of a fleet: views for gateways that subscribe.
#include "core/control_process.hpp"

namespace guavawick::core {

void control_process::schedule_push(const std::string& endpoint, std::uint64_t known_version)
{
    {
        const std::lock_guard lock(mutex_);
        const bool is_task_queued = !scheduled_pushes_.empty();
        scheduled_pushes_[endpoint] = known_version;
        if (is_task_queued) {
            return;
        }
    }
    // The lease is checked on the group's thread when the view is sent. What the thread recorded before may
    // be out of date, since it may have waited for its disk or the process may have been frozen.
    group_->post([this] { send_scheduled_pushes(); });
}

void control_process::send_scheduled_pushes()
{
    std::map<std::string, std::uint64_t> pushes;
    {
        const std::lock_guard lock(mutex_);
        pushes.swap(scheduled_pushes_);
    }
    const fleet_view view = view_.load();
    const bool confirmed = group_->has_read_lease();
    for (const auto& [endpoint, known_version] : pushes) {
        push_view(endpoint, *view, known_version, confirmed);
    }
}

} // namespace guavawick::core
