// Programs that an entry has lately served.
#include "gateway/program_memory.hpp"

namespace guavawick::gateway {
namespace {

using namespace std::chrono_literals;

constexpr duration generation = 60s; ///< the retention of turns on the users' routes

} // namespace

bool knows(const program_memory& memory, std::uint64_t program)
{
    return memory.recent.contains(program) || memory.before.contains(program);
}

void note(program_memory& memory, std::uint64_t program, time_point now)
{
    if (now - memory.turned_at >= generation) {
        memory.before = std::move(memory.recent);
        memory.recent.clear();
        memory.turned_at = now;
    }
    memory.recent.insert(program);
}

} // namespace guavawick::gateway
