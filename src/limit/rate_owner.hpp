// Token buckets of the organisations of one group, at the group's leader.
#pragma once

#include "base/clock_type.hpp"
#include "limit/bucket_func.hpp"
#include "wire.pb.h"

#include <map>
#include <string>

namespace guavawick::limit {

/// What a new owner lends until the leases granted by its predecessor have expired.
enum class takeover_policy : std::uint8_t {
    wait_for_expiry, ///< nothing; entries ask again, as their callers can wait
    half_rate        ///< at half the rate, so that level and lent tokens stay within the burst
};

/// Lends rate tokens to entries. Its state is not durable: a new leader starts with empty buckets.
/// Thread safety: not thread-safe; callers serialise access.
class rate_owner {
public:
    explicit rate_owner(takeover_policy policy) : policy_(policy) {}
    /// Takes over all buckets. @param now time at which this process became leader.
    void take_over(time_point now);
    /// Lends the requested tokens. @return the grants, or a refusal `busy` if nothing may be lent yet.
    /// @pre this process is the leader and a quorum has confirmed it.
    wire::envelope borrow(const wire::borrow_request& request, time_point now);

private:
    struct rate_bucket {
        bucket tokens;
        std::uint64_t version = 0; ///< version of the plan that the limits come from
    };

    takeover_policy policy_;
    time_point predecessor_expired_at_{};        ///< when all leases of the predecessor have expired
    time_point lends_since_{};                   ///< when this owner starts to lend and buckets start to fill
    std::map<std::string, rate_bucket> buckets_; ///< by organisation
};

} // namespace guavawick::limit
