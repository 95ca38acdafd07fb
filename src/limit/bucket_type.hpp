// Types of fleet-wide rate limits: the owner's bucket and the tokens that entries borrow.
#pragma once

#include "base/clock_type.hpp"
#include "base/id_type.hpp"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace guavawick::limit {

using namespace std::chrono_literals;

constexpr duration token_lease_time = 1s; ///< how long borrowed tokens may be spent

/// Rate and burst of an organisation, as published.
struct rate_limit {
    double rate = 0;  ///< requests a second
    double burst = 0; ///< requests at once
};

/// What one entry holds of one organisation's bucket, as the owner sees it.
struct entry_lease {
    double tokens = 0;          ///< what the entry may still spend, as far as the owner knows
    time_point expires_at{};    ///< the owner counts the tokens as spent after this
    std::uint64_t sequence = 0; ///< newest request answered
    double last_grant = 0;      ///< answer to that request, for a resend
};

/// An organisation's bucket at its owner. Invariant: level + tokens lent <= burst.
struct bucket {
    rate_limit allowed;
    double level = 0;         ///< tokens that nobody holds
    time_point refilled_at{}; ///< when the level was last brought up to date
    std::unordered_map<incarnation_id, entry_lease> leases;
};

/// What an entry holds of one organisation's tokens. Whole tokens only.
struct token_lease {
    double tokens = 0;              ///< may be spent until the lease ends
    std::uint64_t acked = 0;        ///< newest request whose answer arrived
    double reported_tokens = 0;     ///< tokens that the owner takes this entry to hold
    time_point reported_at{};       ///< when it was last told
    time_point expires_at{};        ///< on the entry's clock, from before it asked
    double demand = 0;              ///< recent requests a second
    time_point demand_updated_at{}; ///< when the demand was last brought up to date
    time_point last_request_at{};   ///< last request of the organisation
};

} // namespace guavawick::limit
