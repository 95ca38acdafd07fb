// What a process needs of others, and whether it answers.
#include "gateway/dependency.hpp"

#include "base/event_type.hpp"

namespace guavawick::gateway {
namespace {

std::uint64_t age_ms(const dependency& known, time_point now)
{
    return known.heard_at == time_point{} ? 0 : std::uint64_t(to_ms(now - known.heard_at));
}

} // namespace

void note_answer(dependency& known, time_point now)
{
    if (!known.answers) {
        log_event(event::dependency_back, {{"dependency", known.name}, {"silent_ms", age_ms(known, now)}});
    }
    known.answers = true;
    known.heard_at = now;
}

void note_silence(dependency& known, const std::string& reason, time_point now)
{
    if (known.answers) {
        log_event(event::dependency_lost,
                  {{"dependency", known.name}, {"heard_ms_ago", age_ms(known, now)}, {"reason", reason}});
    }
    known.answers = false;
}

} // namespace guavawick::gateway
