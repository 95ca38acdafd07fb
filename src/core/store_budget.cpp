// Limits of a store's memory and disk.
#include "core/store_budget.hpp"

#include <algorithm>

namespace guavawick::core {
namespace {

double share_of(std::uint64_t used, std::uint64_t limit)
{
    return limit == 0 ? 0.0 : static_cast<double>(used) / static_cast<double>(limit);
}

} // namespace

store_pressure next_pressure(const store_usage& usage, store_pressure current)
{
    const double memory_share = share_of(usage.memory, usage.memory_limit);
    const double share = std::max(memory_share, share_of(usage.disk, usage.disk_limit));
    const double refused_from = current == store_pressure::refuses_turns ? admission_share : refusal_share;
    if (share >= refused_from) {
        return store_pressure::refuses_turns;
    }
    return memory_share >= memory_return_share ? store_pressure::returns_memory : store_pressure::none;
}

} // namespace guavawick::core
