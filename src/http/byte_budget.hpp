// Budget of the bytes that requests and responses may hold in a process. Pure functions; the caller passes
// the time. Addresses the load of clients that send many large bodies at once and don't complete them.
#pragma once

#include "base/clock_type.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace guavawick::http {

/// Limits of a byte budget.
struct byte_limits {
    std::uint64_t total = 128U << 20U;      ///< bytes held by all connections
    std::uint64_t per_address = 64U << 20U; ///< bytes held by the connections of one
                                            ///< address once the last quarter is needed
    std::uint64_t min_rate = 64U << 10U;    ///< bytes a second; slower transfers are given up under pressure
    duration grace =
        std::chrono::seconds(1); ///< a younger transfer is not given up; its rate isn't known yet
};

/// Bytes that a transfer moved in the present and in the previous window.
struct transfer_progress {
    time_point started_at{};
    time_point window_start{};
    std::uint64_t window_bytes = 0;
    std::uint64_t previous_bytes = 0;
};

/// Bytes held for one request or response.
struct byte_lease {
    std::string address;
    std::uint64_t bytes = 0;
    transfer_progress progress;
    bool in_transfer = true; ///< false once the request has arrived: a running call is not given up
};

/// The leases of a process. Thread safety: none.
struct byte_budget {
    byte_limits limits;
    std::uint64_t used = 0;
    std::uint64_t next_id = 1;
    std::map<std::uint64_t, byte_lease> leases;
    std::map<std::string, std::uint64_t> used_by_address;
};

/// Whether a lease may grow.
enum class byte_answer : std::uint8_t { granted, share_used, budget_used };

/// The answer, and the leases that were given up for it.
struct byte_decision {
    byte_answer answer = byte_answer::granted;
    std::vector<std::uint64_t> given_up;
};

/// Counts bytes of a transfer.
void record_progress(transfer_progress& progress, std::uint64_t bytes, time_point now);
/// @return bytes a second over the last one to two windows of a second.
double progress_rate(const transfer_progress& progress, time_point now);

/// Adds a lease of no bytes. @return its id.
std::uint64_t open_lease(byte_budget& budget, std::string address, time_point now);
/// Changes what a lease holds. If the budget or the address's share is short, transfers that are slower than
/// `min_rate` are given up, the slowest first, provided that this suffices. A request alone is always
/// granted.
/// @return the decision; a lease that is refused keeps what it has. A lease that was given up is refused.
byte_decision resize_lease(byte_budget& budget, std::uint64_t id, std::uint64_t bytes, time_point now);
/// Sets what a lease holds without refusing it, for a response that exists already. Gives up slow transfers
/// as far as they help.
byte_decision force_lease(byte_budget& budget, std::uint64_t id, std::uint64_t bytes, time_point now);
/// Removes a lease. Has no effect on a lease that was given up.
void close_lease(byte_budget& budget, std::uint64_t id);

/// @param capacity of the body so far. @param needed bytes of the body and the read buffer.
/// @return capacity to allocate for a body of unknown length: twice what is needed, at most `limit`, but not
/// less than `needed`.
std::uint64_t next_body_capacity(std::uint64_t capacity, std::uint64_t needed, std::uint64_t limit);

/// @param memory_limit of the process in bytes, 0 if unknown. @return limits of its budget: a quarter of the
/// memory, since a control replica and a gateway may share a machine of 88 MB.
byte_limits derive_byte_limits(std::uint64_t memory_limit);

} // namespace guavawick::http
