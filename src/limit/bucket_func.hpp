// Fleet-wide rate limits: lending of tokens by the owner, and spending of leased tokens by an entry. Pure
// functions; the caller passes the current time.
#pragma once

#include "limit/bucket_type.hpp"

namespace guavawick::limit {

/// Request of an entry to the owner of a bucket. Amounts are absolute, so that a lost or duplicated message
/// has no effect.
struct borrow_request {
    incarnation_id entry;
    std::uint64_t sequence = 0; ///< increases with each new request; a resend repeats it
    std::uint64_t acked = 0;    ///< latest request whose reply the entry applied; it drops later replies to
                                ///< earlier requests
    double held = 0;            ///< tokens that the entry keeps
    double returned = 0;        ///< tokens that the entry returns
    double wanted = 0;          ///< additional whole tokens for running programs
    double wanted_starts = 0;   ///< additional tokens for programs that have not started; see start_reserve
};

/// Whether a request belongs to a running program. Refusing a late request wastes all earlier calls of its
/// program, so requests that start a program wait first when an organisation's rate runs short.
enum class demand_kind : std::uint8_t { running_program, new_program };

/// Makes an empty bucket. @pre all leases granted by an earlier owner have expired.
bucket make_bucket(const rate_limit& allowed, time_point now);
/// Refills the bucket up to now. Tokens of expired leases count as spent.
void refill(bucket& owner_bucket, time_point now);
/// Changes rate and burst. Tokens above a smaller burst are dropped.
void set_rate_limit(bucket& owner_bucket, const rate_limit& allowed, time_point now);
/// Lends whole tokens to an entry and renews its lease.
/// @return the number of tokens granted; a resent request gets the same number.
double lend_tokens(bucket& owner_bucket, const borrow_request& request, time_point now);
/// @return tokens that are lent and not reported as spent.
double lent_tokens(const bucket& owner_bucket);

/// @return whether the level is too low for starting further programs.
bool is_scarce(const bucket& owner_bucket);
/// By how much an organisation may exceed rate x window + burst in any window.
struct tolerance {
    double overage = 0;   ///< fraction of that number
    double slack = 0;     ///< further requests
    duration window = 5s; ///< length of the window
};

/// Raises a rate limit by a part of the tolerance. Tokens that lie idle at one entry are missing at another,
/// so an organisation would otherwise get less than its rate.
rate_limit apply_tolerance(const rate_limit& published, const tolerance& allowed);

/// Spends one token. @return false if there is none or the lease has expired.
bool spend_token(token_lease& lease, time_point now);
/// Returns a token whose request did not run. The token is dropped if its lease has expired.
void return_token(token_lease& lease, time_point now);
/// Counts one request of the organisation towards its demand, whether or not it got a token.
void record_demand(token_lease& lease, time_point now);
/// Builds an entry's next request. Returned tokens are deducted from the lease at once.
/// @param waiting number of queued requests of running programs.
/// @param starts number of queued requests that start a program.
/// @pre from here on the entry drops replies to earlier requests.
borrow_request prepare_request(token_lease& lease, incarnation_id entry, std::uint64_t sequence,
                               std::size_t waiting, time_point now, std::size_t starts = 0);
/// @return tokens that the entry keeps for expected requests of running programs.
double prefetch_target(const token_lease& lease, time_point now);
/// @return whether a request must be sent: it asks for tokens, returns tokens, renews the lease or reports
/// spent tokens.
bool is_request_due(const token_lease& lease, const borrow_request& request, time_point now);
/// @return whether the entry has neither tokens nor anything to report or expect.
bool is_at_rest(const token_lease& lease, time_point now);
/// Records that a request was sent to the owner.
void record_request_sent(token_lease& lease, const borrow_request& request, time_point now);
/// Applies the owner's reply to a request. @param asked_at time by the entry's clock before the request was
/// sent.
void receive_grant(token_lease& lease, const borrow_request& request, double granted, time_point asked_at,
                   time_point now);
/// Drops the tokens of an expired lease. @return the number of dropped tokens.
double drop_expired(token_lease& lease, time_point now);

} // namespace guavawick::limit
