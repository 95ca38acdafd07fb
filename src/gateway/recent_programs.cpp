// Programs that an entry has lately served.
#include "gateway/recent_programs.hpp"

namespace guavawick::gateway {
namespace {

using namespace std::chrono_literals;

constexpr duration generation = 60s; ///< the retention of turns on the users' routes

} // namespace

bool is_recent_program(const recent_programs& memory, std::uint64_t program)
{
    return memory.recent.contains(program) || memory.before.contains(program);
}

void record_program(recent_programs& memory, std::uint64_t program, time_point now)
{
    if (now - memory.turned_at >= generation) {
        memory.before = std::move(memory.recent);
        memory.recent.clear();
        memory.turned_at = now;
    }
    memory.recent.insert(program);
}

} // namespace guavawick::gateway
