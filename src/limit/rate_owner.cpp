// Token buckets of the organisations of one group, at the group's leader.
#include "limit/rate_owner.hpp"

#include "base/failure_type.hpp"

namespace guavawick::limit {
namespace {

constexpr double half_rate_factor = 0.5; ///< share of the rate, see takeover_policy::half_rate

} // namespace

void rate_owner::take_over(time_point now)
{
    buckets_.clear();
    predecessor_expired_at_ = now + grantor_lease_time(token_lease_time);
    lends_since_ = policy_ == takeover_policy::wait_for_expiry ? predecessor_expired_at_ : now;
}

wire::envelope rate_owner::borrow(const wire::borrow_request& request, time_point now)
{
    wire::envelope reply;
    if (now < lends_since_) {
        reply.mutable_refused()->set_failure(static_cast<std::uint32_t>(failure::busy));
        return reply;
    }
    wire::borrow_reply* body = reply.mutable_borrowed();
    body->set_sequence(request.sequence());
    for (const wire::borrow_item& item : request.items()) {
        const rate_limit allowed{item.rate() * (now < predecessor_expired_at_ ? half_rate_factor : 1.0),
                                 item.burst()};
        const auto [entry, inserted] =
            buckets_.try_emplace(item.organisation(), rate_bucket{make_bucket(allowed, lends_since_), 0});
        rate_bucket& owner_bucket = entry->second;
        if (item.plan_version() >= owner_bucket.version) {
            owner_bucket.version = item.plan_version();
            set_rate_limit(owner_bucket.tokens, allowed, now);
        }
        const borrow_request item_request{incarnation_id{request.entry_incarnation()},
                                          request.sequence(),
                                          item.acked(),
                                          item.held(),
                                          item.returned(),
                                          item.wanted(),
                                          item.wanted_starts()};
        wire::grant_item* grant = body->add_items();
        grant->set_organisation(item.organisation());
        grant->set_tokens(limit::lend_tokens(owner_bucket.tokens, item_request, now));
        grant->set_scarce(is_scarce(owner_bucket.tokens));
    }
    return reply;
}

} // namespace guavawick::limit
