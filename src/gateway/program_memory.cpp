// Programs of which a gateway recently admitted a call.
#include "gateway/program_memory.hpp"

namespace guavawick::gateway {
namespace {

using namespace std::chrono_literals;

constexpr duration generation_length = 60s; ///< equals the retention of turns on the users' routes

} // namespace

bool is_recent_program(const recent_programs& programs, std::uint64_t program)
{
    return programs.current.contains(program) || programs.previous.contains(program);
}

void record_program(recent_programs& programs, std::uint64_t program, time_point now)
{
    if (now - programs.rotated_at >= generation_length) {
        programs.previous = std::move(programs.current);
        programs.current.clear();
        programs.rotated_at = now;
    }
    programs.current.insert(program);
}

void forget_program(recent_programs& programs, std::uint64_t program)
{
    programs.current.erase(program);
    programs.previous.erase(program);
}

} // namespace guavawick::gateway
