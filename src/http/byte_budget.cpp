// Decisions on the bytes that requests and responses hold.
#include "http/byte_budget.hpp"

#include <algorithm>

namespace guavawick::http {

namespace {

constexpr duration progress_window = std::chrono::seconds(1);
constexpr std::uint64_t memory_divisor = 4;
constexpr std::uint64_t reserve_divisor = 4; ///< share of the budget that is kept for other addresses
constexpr std::uint64_t largest_request =
    (8U << 20U) + (16U << 10U); ///< a body of 4 MiB, its copy for the upstream and a read buffer
constexpr std::uint64_t min_total = 2 * largest_request; ///< the largest request of each of two addresses

struct eviction_candidate {
    double rate = 0;
    std::uint64_t id = 0;
};

void set_bytes(byte_budget& budget, byte_lease& lease, std::uint64_t bytes)
{
    std::uint64_t& by_address = budget.used_by_address[lease.address];
    by_address = by_address - lease.bytes + bytes;
    budget.used = budget.used - lease.bytes + bytes;
    lease.bytes = bytes;
    if (by_address == 0) {
        budget.used_by_address.erase(lease.address);
    }
}

/// @return slow transfers except `id`, the slowest first. @param address empty for those of all addresses.
std::vector<eviction_candidate> find_slow_transfers(const byte_budget& budget, std::uint64_t id,
                                                    const std::string& address, time_point now)
{
    std::vector<eviction_candidate> found;
    for (const auto& [other_id, lease] : budget.leases) {
        const bool concerned = other_id != id && lease.in_transfer && lease.bytes > 0 &&
                               (address.empty() || lease.address == address) &&
                               now - lease.progress.started_at >= budget.limits.grace;
        const double rate = concerned ? progress_rate(lease.progress, now) : 0;
        if (concerned && rate < static_cast<double>(budget.limits.min_rate)) {
            found.push_back({rate, other_id});
        }
    }
    std::sort(found.begin(), found.end(),
              [](const eviction_candidate& left, const eviction_candidate& right) {
                  return left.rate != right.rate ? left.rate < right.rate : left.id < right.id;
              });
    return found;
}

/// @return bytes that slow transfers except `id` hold. @param address empty for those of all addresses.
std::uint64_t count_slow_bytes(const byte_budget& budget, std::uint64_t id, const std::string& address,
                               time_point now)
{
    std::uint64_t bytes = 0;
    for (const eviction_candidate& candidate : find_slow_transfers(budget, id, address, now)) {
        bytes += budget.leases.at(candidate.id).bytes;
    }
    return bytes;
}

/// Gives up slow transfers until `excess` bytes are free or none is left.
void free_bytes(byte_budget& budget, std::uint64_t id, const std::string& address, std::uint64_t excess,
                time_point now, std::vector<std::uint64_t>& given_up)
{
    std::uint64_t freed = 0;
    for (const eviction_candidate& candidate : find_slow_transfers(budget, id, address, now)) {
        if (freed >= excess) {
            return;
        }
        freed += budget.leases.at(candidate.id).bytes;
        given_up.push_back(candidate.id);
        close_lease(budget, candidate.id);
    }
}

} // namespace

void record_progress(transfer_progress& progress, std::uint64_t bytes, time_point now)
{
    const duration age = now - progress.window_start;
    if (age >= progress_window) {
        progress.previous_bytes = age < 2 * progress_window ? progress.window_bytes : 0;
        progress.window_bytes = 0;
        progress.window_start = now;
    }
    progress.window_bytes += bytes;
}

double progress_rate(const transfer_progress& progress, time_point now)
{
    const duration age = now - progress.window_start;
    if (age >= 2 * progress_window) {
        return 0;
    }
    if (age >= progress_window) {
        return static_cast<double>(progress.window_bytes) / to_seconds(age);
    }
    return static_cast<double>(progress.window_bytes + progress.previous_bytes) /
           to_seconds(age + progress_window);
}

std::uint64_t open_lease(byte_budget& budget, std::string address, time_point now)
{
    const std::uint64_t id = budget.next_id++;
    byte_lease& lease = budget.leases[id];
    lease.address = std::move(address);
    lease.progress.started_at = now;
    lease.progress.window_start = now;
    return id;
}

byte_decision resize_lease(byte_budget& budget, std::uint64_t id, std::uint64_t bytes, time_point now)
{
    byte_decision decision;
    const auto found = budget.leases.find(id);
    if (found == budget.leases.end()) {
        decision.answer = byte_answer::budget_used;
        return decision;
    }
    byte_lease& lease = found->second;
    const bool alone = budget.used == lease.bytes;
    if (bytes > lease.bytes && !alone) {
        const std::uint64_t extra = bytes - lease.bytes;
        const auto by_address = budget.used_by_address.find(lease.address);
        const std::uint64_t address_bytes =
            extra + (by_address == budget.used_by_address.end() ? 0 : by_address->second);
        const std::uint64_t reserve = budget.limits.total / reserve_divisor;
        const bool needs_reserve = budget.used + extra > budget.limits.total - reserve;
        const std::uint64_t share_excess = needs_reserve && address_bytes > budget.limits.per_address
                                               ? address_bytes - budget.limits.per_address
                                               : 0;
        if (share_excess > 0 && count_slow_bytes(budget, id, lease.address, now) < share_excess) {
            decision.answer = byte_answer::share_used;
            return decision;
        }
        // Checked before any transfer gives way for the share, which would be in vain.
        if (budget.used + extra > budget.limits.total &&
            count_slow_bytes(budget, id, "", now) < budget.used + extra - budget.limits.total) {
            decision.answer = byte_answer::budget_used;
            return decision;
        }
        if (share_excess > 0) {
            free_bytes(budget, id, lease.address, share_excess, now, decision.given_up);
        }
        if (budget.used + extra > budget.limits.total) {
            free_bytes(budget, id, "", budget.used + extra - budget.limits.total, now, decision.given_up);
        }
    }
    set_bytes(budget, lease, bytes);
    return decision;
}

byte_decision force_lease(byte_budget& budget, std::uint64_t id, std::uint64_t bytes, time_point now)
{
    byte_decision decision;
    const auto found = budget.leases.find(id);
    if (found == budget.leases.end()) {
        decision.answer = byte_answer::budget_used;
        return decision;
    }
    set_bytes(budget, found->second, bytes);
    if (budget.used > budget.limits.total) {
        free_bytes(budget, id, "", budget.used - budget.limits.total, now, decision.given_up);
    }
    return decision;
}

void close_lease(byte_budget& budget, std::uint64_t id)
{
    const auto found = budget.leases.find(id);
    if (found != budget.leases.end()) {
        set_bytes(budget, found->second, 0);
        budget.leases.erase(found);
    }
}

std::uint64_t next_body_capacity(std::uint64_t capacity, std::uint64_t needed, std::uint64_t limit)
{
    return std::max(needed, std::min(std::max(2 * capacity, 2 * needed), limit));
}

byte_limits derive_byte_limits(std::uint64_t memory_limit)
{
    byte_limits limits;
    if (memory_limit > 0) {
        limits.total = std::max(memory_limit / memory_divisor, min_total);
    }
    limits.per_address = std::max(limits.total / 2, largest_request);
    return limits;
}

} // namespace guavawick::http
