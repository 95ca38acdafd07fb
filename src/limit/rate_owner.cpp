// The rate buckets of the organisations of one group.
#include "limit/rate_owner.hpp"

#include "base/failure_type.hpp"

namespace guavawick::limit {
namespace {

constexpr double first_lease_rate = 0.5; ///< of the rate, see first_lease::half

} // namespace

void rate_owner::begin(time_point now)
{
    buckets_.clear();
    full_at_ = now + giver_lease(token_lease);
    since_ = policy_ == first_lease::nothing ? full_at_ : now;
}

wire::envelope rate_owner::borrow(const wire::borrow_request& asked, time_point now)
{
    wire::envelope reply;
    if (now < since_) {
        reply.mutable_refused()->set_failure(static_cast<std::uint32_t>(failure::busy));
        return reply;
    }
    wire::borrow_reply* body = reply.mutable_borrowed();
    body->set_sequence(asked.sequence());
    for (const wire::borrow_item& item : asked.items()) {
        const limits allowed{item.rate() * (now < full_at_ ? first_lease_rate : 1.0), item.burst()};
        const auto [found, fresh] =
            buckets_.try_emplace(item.organisation(), rate_bucket{make_bucket(allowed, since_), 0});
        rate_bucket& held = found->second;
        if (item.plan_version() >= held.version) {
            held.version = item.plan_version();
            set_limits(held.tokens, allowed, now);
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
        granted->set_tokens(limit::borrow(held.tokens, wish, now));
        granted->set_scarce(is_scarce(held.tokens));
    }
    return reply;
}

} // namespace guavawick::limit
