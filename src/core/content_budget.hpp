// Budget of a store for large contents of turns: which closings may send their contents now, and which turns
// may begin. No I/O.
//
// Load that it answers: turns of the largest bodies that a plan allows, closed at the same time. A closing
// holds its content several times, as a message, a log entry and a copy for each follower, until it is
// committed. A store that takes all of them at once is killed for its memory, and so is its successor. One
// that takes them one after the other must not admit more turns than it can close in time.
#pragma once

#include "base/clock_type.hpp"
#include "turns/turn_type.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

namespace guavawick::core {

using namespace std::chrono_literals;

constexpr std::uint64_t max_inline_content =
    16U << 10U; ///< bytes; smaller contents are sent without an offer and are not counted
constexpr std::uint64_t memory_per_transfer_byte = 32; ///< share of the memory limit that transfers may use:
                                                       ///< copies of a content, beside the store's other use
constexpr std::uint64_t default_max_transfer = 8U
                                               << 20U; ///< bytes, if the memory limit is unknown, and at most
constexpr duration grant_timeout = 2s;                 ///< for a granted content to arrive
constexpr double initial_transfer_rate = 8e6;          ///< bytes per second, until a transfer was measured
constexpr double transfer_rate_weight = 0.3;           ///< of a new measurement
constexpr double closing_time_share = 0.5;             ///< of a turn's time that is left for its closing

/// A turn of one ledger group.
struct content_key {
    std::uint32_t group = 0;
    turns::turn_key turn;

    auto operator<=>(const content_key&) const = default;
};

/// A content in transfer, or expected.
struct content_transfer {
    std::uint64_t bytes = 0;
    time_point granted_at{};
    time_point expires_at{}; ///< time_point::max() once the content has arrived
};

/// A turn that waits until it may send its content.
struct content_offer {
    content_key key;
    std::uint64_t bytes = 0;
    time_point deadline{};
};

/// A running turn with a large content.
struct content_reservation {
    std::uint64_t bytes = 0;
    time_point expires_at{};
};

/// State of the budget. Plain data.
struct content_budget {
    std::uint64_t max_transfer = default_max_transfer; ///< bytes in transfer at one time; one may be larger
    std::uint64_t disk_room = 0;                       ///< bytes that may still be stored; 0 if unknown
    double bytes_per_second = initial_transfer_rate;   ///< measured rate of transfers
    std::map<content_key, content_reservation> reservations;
    std::map<content_key, content_transfer> transfers;
    std::deque<content_offer> offers; ///< in order of arrival
};

/// @return bytes that may be in transfer at one time. @param memory_limit of the store; 0 if unknown.
std::uint64_t max_transfer_bytes(std::uint64_t memory_limit);
/// Reserves room for the content of a turn that is to be opened. A repeated request renews its reservation.
/// @param time_left until the turn's deadline.
/// @return false if its content could not be stored in time, so that it must not run.
bool reserve_content(content_budget& budget, const content_key& key, std::uint64_t bytes, duration time_left,
                     time_point now);
/// Adds an offer; a repeated one replaces the earlier.
void add_offer(content_budget& budget, const content_offer& offer);
/// Removes the offers that may send their contents now, and counts these as transfers.
std::vector<content_offer> grant_offers(content_budget& budget, time_point now);
/// Records that a content arrived. One without a grant, of a gateway of version 0.1.0 or after a change of
/// the leader, is taken if there is room for it. @return false if there is none.
bool begin_transfer(content_budget& budget, const content_key& key, std::uint64_t bytes, time_point now);
/// Counts bytes that are sent to a gateway, for the time that this takes. @return false if there is no room.
bool begin_timed_transfer(content_budget& budget, const content_key& key, std::uint64_t bytes,
                          time_point now);
/// Records that a content is committed or given up.
void end_transfer(content_budget& budget, const content_key& key, bool committed, time_point now);
/// Removes the reservation of a turn that has ended.
void release_reservation(content_budget& budget, const content_key& key);
/// Removes grants and reservations that have expired. @return the offers whose deadline has passed, removed.
std::vector<content_offer> remove_expired(content_budget& budget, time_point now);
/// Removes everything of a group that this store no longer leads. @return its offers.
std::vector<content_offer> remove_group(content_budget& budget, std::uint32_t group);

} // namespace guavawick::core
