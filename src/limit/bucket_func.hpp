// Decisions of fleet-wide rate limits. Pure; the caller names the time.
#pragma once

#include "limit/bucket_type.hpp"

namespace guavawick::limit {

/// What an entry asks of an owner. Amounts are absolute, so that a lost or doubled message changes nothing.
struct borrow_request {
    incarnation_id entry;
    std::uint64_t sequence = 0; ///< rises with each new request; equal for a resend
    std::uint64_t acked =
        0; ///< newest earlier request whose answer the entry took in; later answers to older ones are dropped
    double held = 0;          ///< tokens that the entry keeps
    double returned = 0;      ///< tokens that it gives back
    double wanted = 0;        ///< whole tokens that it would like beside
    double wanted_starts = 0; ///< further tokens, for programs that have not begun; see start_reserve
};

/// Whether a request belongs to a program that is under way. Losing one late wastes all calls before it, so
/// that programs that have not begun are the first to wait when an organisation's rate runs short.
enum class demand_kind : std::uint8_t { running_program, new_program };

/// Makes an empty bucket. @pre all leases of an earlier owner have lapsed.
bucket make_bucket(const rate_limit& allowed, time_point now);
/// Brings the level up to date and writes off lapsed loans as spent.
void refill(bucket& owned, time_point now);
/// Changes rate and burst. Tokens above a smaller burst are dropped.
void set_rate_limit(bucket& owned, const rate_limit& allowed, time_point now);
/// Lends whole tokens. @return how many; a resend gets the same answer.
double lend_tokens(bucket& owned, const borrow_request& wish, time_point now);
/// @return tokens lent and not reported as spent.
double lent_tokens(const bucket& owned);

/// @return whether the level is too low to begin further programs.
bool is_scarce(const bucket& owned);
/// By how much operators let an organisation exceed rate x window + burst in any window.
struct tolerance {
    double overage = 0;   ///< fraction of that number
    double slack = 0;     ///< requests beside it
    duration window = 5s; ///< length of the window
};

/// @return limits with a part of the tolerance on top. Tokens that lie idle at one entry are missing at
/// another; without it an organisation would get less than its rate.
rate_limit apply_tolerance(const rate_limit& published, const tolerance& allowed);

/// Spends one token. @return false if there is none or the lease has ended.
bool spend_token(token_lease& held, time_point now);
/// Returns a token whose request turned out not to run. A token of a lapsed lease is gone.
void return_token(token_lease& held, time_point now);
/// Notes one request of the organisation, whether it got a token or not.
void record_demand(token_lease& held, time_point now);
/// Fills an entry's next request. Tokens given back leave the purse at once.
/// @param waiting requests of running programs in its queue. @param starts those of programs that would
/// begin.
/// @pre from here on the entry drops answers to earlier requests.
borrow_request prepare_request(token_lease& held, incarnation_id entry, std::uint64_t sequence,
                               std::size_t waiting, time_point now, std::size_t starts = 0);
/// @return tokens that the entry keeps for requests of running programs to come.
double prefetch_target(const token_lease& held, time_point now);
/// Tells whether a request is worth sending: it asks, gives back, renews a lease, or tells of tokens that
/// were spent.
bool is_request_due(const token_lease& held, const borrow_request& request, time_point now);
/// Notes that a request was sent.
void record_request_sent(token_lease& held, const borrow_request& request, time_point now);
/// Takes the owner's answer to a request in. @param asked_at when the entry asked, before the request was
/// sent.
void receive_grant(token_lease& held, const borrow_request& request, double granted, time_point asked_at,
                   time_point now);
/// Drops tokens whose lease has ended. @return how many were dropped.
double drop_expired(token_lease& held, time_point now);

} // namespace guavawick::limit
