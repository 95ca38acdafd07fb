// The rate buckets of the organisations of one group, at its leader.
#pragma once

#include "base/clock_type.hpp"
#include "limit/bucket_func.hpp"
#include "wire.pb.h"

#include <map>
#include <string>

namespace guavawick::limit {

/// What a new owner lends while tokens of its predecessor may still be spent.
enum class takeover_policy : std::uint8_t {
    wait_for_expiry, ///< entries ask again: their callers can wait
    half_rate        ///< at half the rate, so that level and loans stay within the burst
};

/// Lends tokens to entries. Nothing of it is durable: a new leader starts with empty buckets.
/// Thread safety: one thread at a time.
class rate_owner {
public:
    explicit rate_owner(takeover_policy policy) : policy_(policy) {}
    /// Begins to own all buckets. @param now when this process became leader.
    void take_over(time_point now);
    /// Lends what is asked for. @return a refusal `busy` where nothing may be lent yet.
    /// @pre this process leads and a quorum confirmed it.
    wire::envelope borrow(const wire::borrow_request& asked, time_point now);

private:
    struct rate_bucket {
        bucket tokens;
        std::uint64_t version = 0; ///< of the plan that the limits come from
    };

    takeover_policy policy_;
    time_point predecessor_expired_at_{};        ///< all tokens of the former owner have lapsed
    time_point lends_since_{};                   ///< from when buckets fill
    std::map<std::string, rate_bucket> buckets_; ///< by organisation
};

} // namespace guavawick::limit
