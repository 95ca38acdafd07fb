// The rate buckets of all organisations.
#include "core/rate_owner.hpp"

namespace guavawick::core {
namespace {

constexpr double first_lease_rate =
    0.5; ///< of the rate, lent while a former owner's tokens may still be spent

} // namespace

void rate_owner::begin(time_point now)
{
    buckets_.clear();
    since_ = now;
}

wire::envelope rate_owner::borrow(const wire::borrow_request& asked, time_point now)
{
    wire::envelope reply;
    wire::borrow_reply* body = reply.mutable_borrowed();
    body->set_sequence(asked.sequence());
    // Tokens of the former owner may be out until their lease ends. A new owner starts empty, so that level
    // and loans stay within the burst, and fills more slowly until then.
    const bool first_lease = now < since_ + giver_lease(limit::token_lease);
    for (const wire::borrow_item& item : asked.items()) {
        limit::limits allowed{item.rate() * (first_lease ? first_lease_rate : 1.0), item.burst()};
        const auto [found, fresh] =
            buckets_.try_emplace(item.organisation(), rate_bucket{limit::make_bucket(allowed, since_), 0});
        rate_bucket& held = found->second;
        if (item.plan_version() >= held.version) {
            held.version = item.plan_version();
            limit::set_limits(held.bucket, allowed, now);
        }
        const limit::borrow_request wish{incarnation_id{asked.entry_incarnation()},
                                         asked.sequence(),
                                         item.acked(),
                                         item.held(),
                                         item.returned(),
                                         item.wanted(),
                                         item.wanted_starts()};
        wire::grant_item* granted = body->add_items();
        granted->set_organisation(item.organisation());
        granted->set_tokens(limit::borrow(held.bucket, wish, now));
        granted->set_scarce(limit::is_scarce(held.bucket));
    }
    return reply;
}

} // namespace guavawick::core
