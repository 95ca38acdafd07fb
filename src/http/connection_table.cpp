// Decisions on connections.
#include "http/connection_table.hpp"

#include <algorithm>
#include <limits>

namespace guavawick::http {

namespace {

constexpr std::uint64_t connection_bytes =
    24U << 10U; ///< coroutine frames, parse buffer, small body and unread bytes of one connection
constexpr std::uint64_t memory_divisor = 2;
constexpr std::uint64_t reserve_divisor = 20; ///< 205 of 4,100
constexpr std::uint64_t min_reserve = 32;
constexpr std::uint64_t min_connections = 16;
constexpr std::uint64_t closing_divisor = 8; ///< share of connections that may be closing at a time
constexpr std::uint64_t max_closing = 16;    ///< what the reserve of a small process bears

std::uint64_t reserved_descriptors(std::uint64_t max_descriptors)
{
    return std::max(max_descriptors / reserve_divisor, min_reserve);
}

/// @return the connection that gives way, 0 if none waits long enough. @param address empty for all.
std::uint64_t find_longest_waiting(const connection_table& table, const std::string& address, time_point now)
{
    std::uint64_t found = 0;
    bool found_served = true;
    std::int64_t found_since = std::numeric_limits<std::int64_t>::max();
    const std::int64_t latest = (now - table.limits.min_wait).time_since_epoch().count();
    for (const auto& [id, record] : table.open) {
        const std::int64_t since = record.activity->waiting_since.load(std::memory_order_relaxed);
        if (since == 0 || since > latest || (!address.empty() && record.address != address)) {
            continue;
        }
        const bool served = record.activity->served.load(std::memory_order_relaxed);
        if (served < found_served || (served == found_served && since < found_since)) {
            found = id;
            found_served = served;
            found_since = since;
        }
    }
    return found;
}

void release_place(connection_table& table, const std::string& address)
{
    const auto count = table.count_by_address.find(address);
    if (--count->second == 0) {
        table.count_by_address.erase(count);
    }
}

} // namespace

connection_decision admit_connection(connection_table& table, const std::string& address,
                                     const std::shared_ptr<const connection_activity>& activity,
                                     time_point now)
{
    connection_decision decision;
    const auto count = table.count_by_address.find(address);
    const std::uint64_t of_address = count == table.count_by_address.end() ? 0 : count->second;
    const bool share_used = of_address >= table.limits.per_address;
    if (share_used || table.open.size() >= table.limits.total) {
        const bool has_room = table.closing.size() <
                              std::clamp<std::uint64_t>(table.limits.total / closing_divisor, 1, max_closing);
        decision.closed =
            has_room ? find_longest_waiting(table, share_used ? address : std::string(), now) : 0;
        // Beyond a limit, one that gives way only makes good for another that kept its place.
        decision.accepted = decision.closed != 0 && of_address <= table.limits.per_address &&
                            table.open.size() <= table.limits.total;
        if (decision.closed != 0) {
            auto record = table.open.extract(decision.closed);
            release_place(table, record.mapped().address);
            table.closing.insert(std::move(record));
        }
        if (!decision.accepted) {
            return decision;
        }
    }
    decision.id = table.next_id++;
    table.open[decision.id] = {address, activity};
    ++table.count_by_address[address];
    return decision;
}

void keep_connection(connection_table& table, std::uint64_t id)
{
    auto record = table.closing.extract(id);
    if (!record.empty()) {
        ++table.count_by_address[record.mapped().address];
        table.open.insert(std::move(record));
    }
}

void remove_connection(connection_table& table, std::uint64_t id)
{
    table.closing.erase(id);
    const auto record = table.open.extract(id);
    if (!record.empty()) {
        release_place(table, record.mapped().address);
    }
}

connection_limits derive_connection_limits(std::uint64_t memory_limit, std::uint64_t max_descriptors)
{
    connection_limits limits;
    if (max_descriptors > 0) {
        const std::uint64_t reserve = reserved_descriptors(max_descriptors);
        // A running call may need a connection to an upstream besides its caller's.
        const std::uint64_t usable = max_descriptors > reserve ? max_descriptors - reserve : 0;
        limits.total = std::min(limits.total, usable * 3 / 5);
    }
    if (memory_limit > 0) {
        limits.total = std::min(limits.total, memory_limit / memory_divisor / connection_bytes);
    }
    limits.total = std::max(limits.total, min_connections);
    limits.per_address = limits.total - limits.total / 4;
    return limits;
}

connection_limits derive_reserved_limits(std::uint64_t max_descriptors)
{
    connection_limits limits;
    limits.total =
        max_descriptors > 0 ? std::max<std::uint64_t>(reserved_descriptors(max_descriptors) / 4, 8) : 64;
    limits.per_address = limits.total;
    return limits;
}

} // namespace guavawick::http
