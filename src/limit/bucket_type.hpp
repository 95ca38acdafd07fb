// Types of fleet-wide rate limits: the owner's token bucket and the tokens that entries lease from it.
#pragma once

#include "base/clock_type.hpp"
#include "base/id_type.hpp"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace guavawick::limit {

using namespace std::chrono_literals;

constexpr duration token_lease_time = 1s; ///< lease time of the tokens that an entry borrows

/// Published rate limit of an organisation.
struct rate_limit {
    double rate = 0;  ///< requests a second
    double burst = 0; ///< bucket size in requests
};

/// Lease of one entry on an organisation's bucket, as the owner knows it.
struct entry_lease {
    double tokens = 0;          ///< tokens that the entry may still spend, as far as the owner knows
    time_point expires_at{};    ///< the owner counts the tokens as spent after this
    std::uint64_t sequence = 0; ///< number of the latest answered request
    double last_grant = 0;      ///< tokens granted to that request, repeated if it is resent
};

/// Token bucket of an organisation at its owner. Invariant: level + tokens lent <= burst.
struct bucket {
    rate_limit allowed;
    double level = 0;         ///< tokens that are not lent
    time_point refilled_at{}; ///< time up to which the level is refilled
    std::unordered_map<incarnation_id, entry_lease> leases;
};

/// Tokens that an entry has leased for one organisation. Whole tokens only.
struct token_lease {
    double tokens = 0;              ///< may be spent until the lease expires
    std::uint64_t acked = 0;        ///< number of the latest request whose reply arrived
    double reported_tokens = 0;     ///< tokens that this entry holds by the owner's account
    time_point reported_at{};       ///< time of the last report to the owner
    time_point expires_at{};        ///< by the entry's clock, counted from before the request was sent
    double demand = 0;              ///< moving average of requests a second
    time_point demand_updated_at{}; ///< time of the last update of the demand
    time_point last_request_at{};   ///< time of the organisation's last request
};

} // namespace guavawick::limit
