// The owner's bucket and the entry's purse.
#include "limit/bucket_func.hpp"

#include <algorithm>
#include <cmath>

namespace guavawick::limit {
namespace {

constexpr double demand_window_seconds = 1.0; ///< time constant of the demand average
constexpr double held_seconds = 0.25;         ///< an entry holds tokens for this much of its demand
constexpr double largest_share = 0.5;         ///< of the burst, what one request may take
constexpr double rounding = 1e-9;
constexpr double start_reserve = 0.3; ///< of the burst, left for programs that are under way
// The rest of the tolerance covers requests that are admitted apart and reach their upstreams together.
constexpr double tolerated_overage = 0.8;
constexpr double tolerated_slack = 0.5;
constexpr duration renew_margin = 400ms;    ///< a lease is renewed this long before it lapses
constexpr duration report_interval = 100ms; ///< spent tokens are told at most this often

double decay(const token_lease& held, time_point now)
{
    return std::exp(-to_seconds(now - held.demand_updated_at) / demand_window_seconds);
}

} // namespace

bucket make_bucket(const rate_limit& allowed, time_point now)
{
    bucket made;
    made.allowed = allowed;
    made.refilled_at = now;
    return made;
}

double lent_tokens(const bucket& owned)
{
    double sum = 0;
    for (const auto& [entry, one] : owned.leases) {
        sum += one.tokens;
    }
    return sum;
}

void refill(bucket& owned, time_point now)
{
    for (auto entry = owned.leases.begin(); entry != owned.leases.end();) {
        entry = now >= entry->second.expires_at ? owned.leases.erase(entry) : std::next(entry);
    }
    const double room = std::max(0.0, owned.allowed.burst - lent_tokens(owned));
    const double filled = owned.level + owned.allowed.rate * to_seconds(now - owned.refilled_at);
    owned.level = std::min(filled, room);
    owned.refilled_at = std::max(owned.refilled_at, now);
}

void set_rate_limit(bucket& owned, const rate_limit& allowed, time_point now)
{
    refill(owned, now);
    owned.allowed = allowed;
    owned.level = std::min(owned.level, std::max(0.0, allowed.burst - lent_tokens(owned)));
}

namespace {

void return_token(bucket& owned, double tokens)
{
    const double room = std::max(0.0, owned.allowed.burst - lent_tokens(owned));
    owned.level = std::min(room, owned.level + std::max(0.0, tokens));
}

} // namespace

double lend_tokens(bucket& owned, const borrow_request& wish, time_point now)
{
    refill(owned, now);
    entry_lease& one = owned.leases[wish.entry];
    if (one.sequence != 0 && wish.sequence <= one.sequence) {
        return wish.sequence == one.sequence ? one.last_grant : 0.0;
    }
    // An answer that the entry did not take in before it asked again will never be used.
    const double lost = wish.acked < one.sequence ? one.last_grant : 0.0;
    const double before = std::max(0.0, one.tokens - lost);
    // Tokens that the owner does not know of are of a lease that has lapsed at the entry meanwhile.
    const double held = std::clamp(wish.held, 0.0, before);
    const double returned = std::clamp(wish.returned, 0.0, before - held);
    one.tokens = held;
    one.sequence = wish.sequence;
    one.expires_at = now + giver_lease(token_lease_time);
    return_token(owned, lost + returned);
    const double most = std::max(1.0, std::floor(owned.allowed.burst * largest_share));
    double granted = std::floor(std::min({std::max(0.0, wish.wanted), owned.level + rounding, most}));
    const double free = owned.level - granted - owned.allowed.burst * start_reserve;
    granted += std::floor(std::clamp(wish.wanted_starts, 0.0, std::max(0.0, std::min(free, most - granted))));
    owned.level = std::max(0.0, owned.level - granted);
    one.tokens += granted;
    one.last_grant = granted;
    return granted;
}

bool is_scarce(const bucket& owned)
{
    return owned.level < owned.allowed.burst * start_reserve;
}

rate_limit apply_tolerance(const rate_limit& published, const tolerance& allowed)
{
    const double more = allowed.slack * tolerated_slack / std::max(to_seconds(allowed.window), 1.0);
    return {published.rate * (1.0 + allowed.overage * tolerated_overage) + more, published.burst};
}

bool spend_token(token_lease& held, time_point now)
{
    drop_expired(held, now);
    if (held.tokens < 1.0) {
        return false;
    }
    held.tokens -= 1.0;
    return true;
}

void return_token(token_lease& held, time_point now)
{
    drop_expired(held, now);
    if (now < held.expires_at) {
        held.tokens += 1.0;
    }
}

void record_demand(token_lease& held, time_point now)
{
    held.demand = held.demand * decay(held, now) + 1.0 / demand_window_seconds;
    held.demand_updated_at = now;
    held.last_request_at = now;
}

double prefetch_target(const token_lease& held, time_point now)
{
    // Tokens kept for later are whole: an organisation with little demand keeps none, since what lies idle
    // here may be what a request at another entry waits for.
    return std::floor(held.demand * decay(held, now) * held_seconds);
}

borrow_request prepare_request(token_lease& held, incarnation_id entry, std::uint64_t sequence,
                               std::size_t waiting, time_point now, std::size_t starts)
{
    drop_expired(held, now);
    const double kept = prefetch_target(held, now);
    const double target = static_cast<double>(waiting) + kept;
    borrow_request request;
    request.entry = entry;
    request.sequence = sequence;
    request.acked = held.acked;
    request.wanted = std::max(0.0, std::trunc(target - held.tokens));
    request.wanted_starts = static_cast<double>(starts);
    request.returned = std::max(0.0, std::trunc(held.tokens - target - kept));
    held.tokens -= request.returned; // what is given back must not be spent meanwhile
    request.held = held.tokens;
    return request;
}

bool is_request_due(const token_lease& held, const borrow_request& request, time_point now)
{
    const bool asks = request.wanted != 0 || request.wanted_starts != 0 || request.returned != 0;
    const bool renews = request.held != 0 && held.expires_at - now < renew_margin;
    // Until the owner hears of spent tokens it counts them as lent and does not refill them.
    const bool reports = request.held < held.reported_tokens && now - held.reported_at >= report_interval;
    return asks || renews || reports;
}

void record_request_sent(token_lease& held, const borrow_request& request, time_point now)
{
    held.reported_tokens = request.held;
    held.reported_at = now;
}

void receive_grant(token_lease& held, const borrow_request& request, double granted, time_point asked_at,
                   time_point now)
{
    drop_expired(held, now); // an answer never revives tokens of an earlier lease
    if (request.sequence <= held.acked) {
        return; // the same answer again
    }
    held.acked = request.sequence;
    held.tokens += std::max(0.0, granted);
    held.reported_tokens += std::max(0.0, granted);
    held.expires_at = std::max(held.expires_at, asked_at + holder_lease(token_lease_time));
    drop_expired(held, now);
}

double drop_expired(token_lease& held, time_point now)
{
    if (held.tokens == 0 || now < held.expires_at) {
        return 0;
    }
    const double dropped = held.tokens;
    held.tokens = 0;
    return dropped;
}

} // namespace guavawick::limit
