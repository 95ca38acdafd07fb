// Availability of the other roles that a process depends on.
#include "gateway/dependency.hpp"

#include "base/event_type.hpp"

namespace guavawick::gateway {
namespace {

std::uint64_t age_ms(const dependency& target, time_point now)
{
    return target.last_reply_at == time_point{} ? 0 : std::uint64_t(to_ms(now - target.last_reply_at));
}

} // namespace

void record_reply(dependency& target, time_point now)
{
    if (!target.available) {
        log_event(event::dependency_back, {{"dependency", target.name}, {"silent_ms", age_ms(target, now)}});
    }
    target.available = true;
    target.last_reply_at = now;
}

void record_outage(dependency& target, const std::string& reason, time_point now)
{
    if (target.available) {
        log_event(event::dependency_lost,
                  {{"dependency", target.name}, {"heard_ms_ago", age_ms(target, now)}, {"reason", reason}});
    }
    target.available = false;
}

} // namespace guavawick::gateway
