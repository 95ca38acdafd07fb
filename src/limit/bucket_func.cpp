// Token buckets of the owners and token leases of the entries.
#include "limit/bucket_func.hpp"

#include <algorithm>
#include <cmath>

namespace guavawick::limit {
namespace {

constexpr double demand_window_seconds = 1.0; ///< time constant of the demand average
constexpr double prefetch_seconds = 0.25;     ///< an entry keeps tokens for this much of its demand
constexpr double max_grant_share = 0.5;       ///< share of the burst that one request may take
constexpr double rounding_tolerance = 1e-9;
constexpr double start_reserve = 0.3; ///< share of the burst reserved for running programs
// The rest of the tolerance covers requests that are admitted at different times but reach their upstreams
// together.
constexpr double tolerated_overage = 0.8;
constexpr double tolerated_slack = 0.5;
constexpr duration renew_margin = 400ms;    ///< a lease is renewed this long before it expires
constexpr duration report_interval = 100ms; ///< minimum interval between reports of spent tokens

double decay(const token_lease& lease, time_point now)
{
    return std::exp(-to_seconds(now - lease.demand_updated_at) / demand_window_seconds);
}

} // namespace

bucket make_bucket(const rate_limit& allowed, time_point now)
{
    bucket result;
    result.allowed = allowed;
    result.refilled_at = now;
    return result;
}

double lent_tokens(const bucket& owner_bucket)
{
    double sum = 0;
    for (const auto& [entry, lease] : owner_bucket.leases) {
        sum += lease.tokens;
    }
    return sum;
}

void refill(bucket& owner_bucket, time_point now)
{
    for (auto entry = owner_bucket.leases.begin(); entry != owner_bucket.leases.end();) {
        entry = now >= entry->second.expires_at ? owner_bucket.leases.erase(entry) : std::next(entry);
    }
    const double capacity = std::max(0.0, owner_bucket.allowed.burst - lent_tokens(owner_bucket));
    const double refilled =
        owner_bucket.level + owner_bucket.allowed.rate * to_seconds(now - owner_bucket.refilled_at);
    owner_bucket.level = std::min(refilled, capacity);
    owner_bucket.refilled_at = std::max(owner_bucket.refilled_at, now);
}

void set_rate_limit(bucket& owner_bucket, const rate_limit& allowed, time_point now)
{
    refill(owner_bucket, now);
    owner_bucket.allowed = allowed;
    owner_bucket.level =
        std::min(owner_bucket.level, std::max(0.0, allowed.burst - lent_tokens(owner_bucket)));
}

namespace {

void return_tokens(bucket& owner_bucket, double tokens)
{
    const double capacity = std::max(0.0, owner_bucket.allowed.burst - lent_tokens(owner_bucket));
    owner_bucket.level = std::min(capacity, owner_bucket.level + std::max(0.0, tokens));
}

} // namespace

double lend_tokens(bucket& owner_bucket, const borrow_request& request, time_point now)
{
    refill(owner_bucket, now);
    entry_lease& lease = owner_bucket.leases[request.entry];
    if (lease.sequence != 0 && request.sequence <= lease.sequence) {
        return request.sequence == lease.sequence ? lease.last_grant : 0.0;
    }
    // The entry drops a reply that had not arrived when it sent the next request, so the grant is unused.
    const double lost_tokens = request.acked < lease.sequence ? lease.last_grant : 0.0;
    const double held_before = std::max(0.0, lease.tokens - lost_tokens);
    // Tokens that the owner does not know of belong to an expired lease.
    const double held = std::clamp(request.held, 0.0, held_before);
    const double returned = std::clamp(request.returned, 0.0, held_before - held);
    lease.tokens = held;
    lease.sequence = request.sequence;
    lease.expires_at = now + grantor_lease_time(token_lease_time);
    return_tokens(owner_bucket, lost_tokens + returned);
    const double max_grant = std::max(1.0, std::floor(owner_bucket.allowed.burst * max_grant_share));
    double granted = std::floor(
        std::min({std::max(0.0, request.wanted), owner_bucket.level + rounding_tolerance, max_grant}));
    const double unreserved = owner_bucket.level - granted - owner_bucket.allowed.burst * start_reserve;
    granted += std::floor(
        std::clamp(request.wanted_starts, 0.0, std::max(0.0, std::min(unreserved, max_grant - granted))));
    owner_bucket.level = std::max(0.0, owner_bucket.level - granted);
    lease.tokens += granted;
    lease.last_grant = granted;
    return granted;
}

bool is_scarce(const bucket& owner_bucket)
{
    return owner_bucket.level < owner_bucket.allowed.burst * start_reserve;
}

rate_limit apply_tolerance(const rate_limit& published, const tolerance& allowed)
{
    const double extra_rate = allowed.slack * tolerated_slack / std::max(to_seconds(allowed.window), 1.0);
    return {published.rate * (1.0 + allowed.overage * tolerated_overage) + extra_rate, published.burst};
}

bool spend_token(token_lease& lease, time_point now)
{
    drop_expired(lease, now);
    if (lease.tokens < 1.0) {
        return false;
    }
    lease.tokens -= 1.0;
    return true;
}

void return_token(token_lease& lease, time_point now)
{
    drop_expired(lease, now);
    if (now < lease.expires_at) {
        lease.tokens += 1.0;
    }
}

void record_demand(token_lease& lease, time_point now)
{
    lease.demand = lease.demand * decay(lease, now) + 1.0 / demand_window_seconds;
    lease.demand_updated_at = now;
    lease.last_request_at = now;
}

double prefetch_target(const token_lease& lease, time_point now)
{
    // Rounds down, so that an entry with little demand keeps no tokens: a request at another entry may wait
    // for them.
    return std::floor(lease.demand * decay(lease, now) * prefetch_seconds);
}

borrow_request prepare_request(token_lease& lease, incarnation_id entry, std::uint64_t sequence,
                               std::size_t waiting, time_point now, std::size_t starts)
{
    drop_expired(lease, now);
    const double prefetched = prefetch_target(lease, now);
    const double target = static_cast<double>(waiting) + prefetched;
    borrow_request request;
    request.entry = entry;
    request.sequence = sequence;
    request.acked = lease.acked;
    request.wanted = std::max(0.0, std::trunc(target - lease.tokens));
    request.wanted_starts = static_cast<double>(starts);
    request.returned = std::max(0.0, std::trunc(lease.tokens - target - prefetched));
    lease.tokens -= request.returned; // returned tokens must not be spent while the request is in flight
    request.held = lease.tokens;
    return request;
}

bool is_request_due(const token_lease& lease, const borrow_request& request, time_point now)
{
    const bool changes_tokens = request.wanted != 0 || request.wanted_starts != 0 || request.returned != 0;
    const bool renews_lease = request.held != 0 && lease.expires_at - now < renew_margin;
    // The owner counts spent tokens as lent, and does not refill them, until they are reported.
    const bool reports_spending =
        request.held < lease.reported_tokens && now - lease.reported_at >= report_interval;
    return changes_tokens || renews_lease || reports_spending;
}

bool is_at_rest(const token_lease& lease, time_point now)
{
    return lease.tokens == 0 && lease.reported_tokens == 0 && prefetch_target(lease, now) == 0;
}

void record_request_sent(token_lease& lease, const borrow_request& request, time_point now)
{
    lease.reported_tokens = request.held;
    lease.reported_at = now;
}

void receive_grant(token_lease& lease, const borrow_request& request, double granted, time_point asked_at,
                   time_point now)
{
    drop_expired(lease, now); // a reply must not extend tokens of an expired lease
    if (request.sequence <= lease.acked) {
        return; // duplicate reply
    }
    lease.acked = request.sequence;
    lease.tokens += std::max(0.0, granted);
    lease.reported_tokens += std::max(0.0, granted);
    lease.expires_at = std::max(lease.expires_at, asked_at + holder_lease_time(token_lease_time));
    drop_expired(lease, now);
}

double drop_expired(token_lease& lease, time_point now)
{
    if (lease.tokens == 0 || now < lease.expires_at) {
        return 0;
    }
    const double dropped = lease.tokens;
    lease.tokens = 0;
    return dropped;
}

} // namespace guavawick::limit
