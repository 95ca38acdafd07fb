// The rate buckets of the organisations of one group.
#include "limit/rate_owner.hpp"

#include "base/failure_type.hpp"

namespace guavawick::limit {
namespace {

constexpr double first_lease_rate = 0.5; ///< of the rate, see first_lease::half

} // namespace

void rate_owner::take_over(time_point now)
{
    buckets_.clear();
    predecessor_expired_at_ = now + giver_lease(token_lease_time);
    lends_since_ = policy_ == takeover_policy::wait_for_expiry ? predecessor_expired_at_ : now;
}

wire::envelope rate_owner::borrow(const wire::borrow_request& asked, time_point now)
{
    wire::envelope reply;
    if (now < lends_since_) {
        reply.mutable_refused()->set_failure(static_cast<std::uint32_t>(failure::busy));
        return reply;
    }
    wire::borrow_reply* body = reply.mutable_borrowed();
    body->set_sequence(asked.sequence());
    for (const wire::borrow_item& item : asked.items()) {
        const rate_limit allowed{item.rate() * (now < predecessor_expired_at_ ? first_lease_rate : 1.0),
                                 item.burst()};
        const auto [found, fresh] =
            buckets_.try_emplace(item.organisation(), rate_bucket{make_bucket(allowed, lends_since_), 0});
        rate_bucket& held = found->second;
        if (item.plan_version() >= held.version) {
            held.version = item.plan_version();
            set_rate_limit(held.tokens, allowed, now);
        }
        const borrow_request wish{incarnation_id{asked.entry_incarnation()},
                                  asked.sequence(),
                                  item.acked(),
                                  item.held(),
                                  item.returned(),
                                  item.wanted(),
                                  item.wanted_starts()};
        wire::grant_item* granted = body->add_items();
        granted->set_organisation(item.organisation());
        granted->set_tokens(limit::lend_tokens(held.tokens, wish, now));
        granted->set_scarce(is_scarce(held.tokens));
    }
    return reply;
}

} // namespace guavawick::limit
