// Budget of a store for large contents of turns.
#include "core/content_budget.hpp"

#include <algorithm>

namespace guavawick::core {
namespace {

std::uint64_t bytes_in_transfer(const content_budget& budget)
{
    std::uint64_t sum = 0;
    for (const auto& [key, transfer] : budget.transfers) {
        sum += transfer.bytes;
    }
    return sum;
}

/// @return bytes of the running turns but for one.
std::uint64_t reserved_beside(const content_budget& budget, const content_key& key)
{
    std::uint64_t sum = 0;
    for (const auto& [other, reservation] : budget.reservations) {
        sum += other == key ? 0 : reservation.bytes;
    }
    return sum;
}

bool has_room(const content_budget& budget, std::uint64_t bytes)
{
    // A content above the limit is transferred alone.
    return budget.transfers.empty() || bytes_in_transfer(budget) + bytes <= budget.max_transfer;
}

template <typename Predicate>
std::vector<content_offer> extract_offers(content_budget& budget, Predicate is_extracted)
{
    std::vector<content_offer> extracted;
    std::erase_if(budget.offers, [&](const content_offer& offer) {
        if (!is_extracted(offer)) {
            return false;
        }
        extracted.push_back(offer);
        return true;
    });
    return extracted;
}

} // namespace

std::uint64_t max_transfer_bytes(std::uint64_t memory_limit)
{
    return memory_limit == 0 ? default_max_transfer
                             : std::min(default_max_transfer, memory_limit / memory_per_transfer_byte);
}

bool reserve_content(content_budget& budget, const content_key& key, std::uint64_t bytes, duration time_left,
                     time_point now)
{
    const std::uint64_t reserved = reserved_beside(budget, key) + bytes;
    const double closing_seconds = static_cast<double>(reserved) / budget.bytes_per_second;
    const bool in_time = reserved == bytes || closing_seconds <= to_seconds(time_left) * closing_time_share;
    // A content is written to the log and to a segment.
    const bool fits_on_disk = budget.disk_room == 0 || 2 * reserved <= budget.disk_room;
    if (!in_time || !fits_on_disk) {
        return false;
    }
    budget.reservations[key] = {bytes, now + time_left + grant_timeout};
    return true;
}

void add_offer(content_budget& budget, const content_offer& offer)
{
    const auto known = std::find_if(budget.offers.begin(), budget.offers.end(),
                                    [&](const content_offer& other) { return other.key == offer.key; });
    if (known != budget.offers.end()) {
        *known = offer;
        return;
    }
    budget.offers.push_back(offer);
}

std::vector<content_offer> grant_offers(content_budget& budget, time_point now)
{
    std::vector<content_offer> granted;
    while (!budget.offers.empty()) {
        const content_offer& next = budget.offers.front();
        const bool is_in_transfer = budget.transfers.contains(next.key); // its grant was lost on the way
        if (!is_in_transfer && !has_room(budget, next.bytes)) {
            break;
        }
        if (!is_in_transfer) {
            budget.transfers[next.key] = {next.bytes, now, now + grant_timeout};
        }
        granted.push_back(next);
        budget.offers.pop_front();
    }
    return granted;
}

bool begin_transfer(content_budget& budget, const content_key& key, std::uint64_t bytes, time_point now)
{
    const auto found = budget.transfers.find(key);
    if (found != budget.transfers.end()) {
        found->second.expires_at = time_point::max();
        return true;
    }
    if (!has_room(budget, bytes)) {
        return false;
    }
    budget.transfers[key] = {bytes, now, time_point::max()};
    return true;
}

bool begin_timed_transfer(content_budget& budget, const content_key& key, std::uint64_t bytes, time_point now)
{
    if (budget.transfers.contains(key) || !has_room(budget, bytes)) {
        return false;
    }
    const duration send_time = from_seconds(static_cast<double>(bytes) / budget.bytes_per_second);
    budget.transfers[key] = {bytes, now, now + send_time};
    return true;
}

void end_transfer(content_budget& budget, const content_key& key, bool committed, time_point now)
{
    const auto found = budget.transfers.find(key);
    if (found == budget.transfers.end()) {
        return;
    }
    const double seconds = to_seconds(now - found->second.granted_at);
    if (committed && seconds > 0) {
        const double measured = static_cast<double>(found->second.bytes) / seconds;
        budget.bytes_per_second += transfer_rate_weight * (measured - budget.bytes_per_second);
    }
    budget.transfers.erase(found);
}

void release_reservation(content_budget& budget, const content_key& key)
{
    budget.reservations.erase(key);
}

std::vector<content_offer> remove_expired(content_budget& budget, time_point now)
{
    std::erase_if(budget.transfers, [now](const auto& entry) { return entry.second.expires_at <= now; });
    std::erase_if(budget.reservations, [now](const auto& entry) { return entry.second.expires_at <= now; });
    return extract_offers(budget, [now](const content_offer& offer) { return offer.deadline <= now; });
}

std::vector<content_offer> remove_group(content_budget& budget, std::uint32_t group)
{
    std::erase_if(budget.transfers, [group](const auto& entry) { return entry.first.group == group; });
    std::erase_if(budget.reservations, [group](const auto& entry) { return entry.first.group == group; });
    return extract_offers(budget, [group](const content_offer& offer) { return offer.key.group == group; });
}

} // namespace guavawick::core
