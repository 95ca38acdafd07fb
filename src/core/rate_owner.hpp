// The rate buckets of all organisations, at the leader of one group.
#pragma once

#include "base/clock_type.hpp"
#include "limit/bucket_func.hpp"
#include "wire.pb.h"

#include <map>
#include <string>

namespace guavawick::core {

/// Lends tokens to entries. Nothing of it is durable: a new leader starts empty.
/// Thread safety: one thread at a time.
class rate_owner {
public:
    /// Begins to own all buckets. @param now when this process became leader.
    void begin(time_point now);
    /// Lends what is asked for. @pre this process leads and a quorum confirmed it.
    wire::envelope borrow(const wire::borrow_request& asked, time_point now);

private:
    struct rate_bucket {
        limit::bucket bucket;
        std::uint64_t version = 0; ///< of the plan that the limits come from
    };

    time_point since_{};
    std::map<std::string, rate_bucket> buckets_; ///< by organisation
};

} // namespace guavawick::core
