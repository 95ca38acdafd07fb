// Admission, status changes and tombstones of attempts.
#include "scheduling/attempt_func.hpp"

#include <cassert>

namespace guavawick::scheduling {
namespace {

constexpr std::size_t max_tombstones =
    200000; ///< a duplicate older than this many refusals is rejected by its incarnation or deadline

void add_tombstone(attempt_table& table, attempt_id attempt)
{
    if (!table.tombstones.insert(attempt).second) {
        return;
    }
    table.tombstone_order.push_back(attempt);
    if (table.tombstone_order.size() > max_tombstones) {
        table.tombstones.erase(table.tombstone_order.front());
        table.tombstone_order.pop_front();
    }
}

/// @return why a new attempt may not be queued, or none.
failure check_offer(const attempt_table& table, const attempt_offer& offer)
{
    if (offer.upstream_incarnation != table.incarnation) {
        return failure::incarnation_mismatch;
    }
    if (offer.join_only) {
        return failure::tombstoned;
    }
    if (table.leaving) {
        return failure::leaving;
    }
    if (!table.accepts_work) {
        return failure::configuration_stale;
    }
    if (table.queued >= table.max_queued) {
        return failure::overloaded;
    }
    // If the upstream were lost while two suspects run, the cause could not be attributed to one of them.
    if (offer.suspect && !table.suspects.empty()) {
        return failure::busy;
    }
    return failure::none;
}

} // namespace

offer_result offer_attempt(attempt_table& table, const attempt_offer& offer)
{
    if (table.attempts.count(offer.attempt) != 0) {
        return {offer_decision::join, failure::none};
    }
    if (table.tombstones.count(offer.attempt) != 0) {
        return {offer_decision::refuse, failure::tombstoned};
    }
    const failure error = check_offer(table, offer);
    if (error != failure::none) {
        add_tombstone(table, offer.attempt);
        return {offer_decision::refuse, error};
    }
    table.attempts[offer.attempt] = attempt_status::queued;
    ++table.queued;
    if (offer.suspect) {
        table.suspects[offer.attempt] = offer.body;
    }
    return {offer_decision::queue, failure::none};
}

void mark_running(attempt_table& table, attempt_id attempt)
{
    assert(status_of(table, attempt) == attempt_status::queued);
    table.attempts[attempt] = attempt_status::running;
    --table.queued;
}

void mark_finished(attempt_table& table, attempt_id attempt)
{
    assert(status_of(table, attempt) == attempt_status::running);
    table.attempts[attempt] = attempt_status::finished;
    table.suspects.erase(attempt);
}

void release(attempt_table& table, attempt_id attempt)
{
    if (status_of(table, attempt) != attempt_status::finished) {
        return;
    }
    table.attempts.erase(attempt);
    add_tombstone(table, attempt); // a delayed duplicate of its offer must not start it again
}

attempt_status tombstone(attempt_table& table, attempt_id attempt)
{
    const attempt_status status = status_of(table, attempt);
    if (status == attempt_status::running || status == attempt_status::finished) {
        return status;
    }
    if (status == attempt_status::queued) {
        table.attempts.erase(attempt);
        table.suspects.erase(attempt);
        --table.queued;
    }
    add_tombstone(table, attempt);
    return attempt_status::tombstoned;
}

attempt_status status_of(const attempt_table& table, attempt_id attempt)
{
    const auto found = table.attempts.find(attempt);
    if (found != table.attempts.end()) {
        return found->second;
    }
    return table.tombstones.count(attempt) != 0 ? attempt_status::tombstoned : attempt_status::unknown;
}

std::vector<attempt_id> renew_incarnation(attempt_table& table, incarnation_id incarnation)
{
    table.incarnation = incarnation;
    std::vector<attempt_id> queued;
    for (const auto& [attempt, status] : table.attempts) {
        if (status == attempt_status::queued) {
            queued.push_back(attempt);
        }
    }
    for (const attempt_id attempt : queued) {
        tombstone(table, attempt);
    }
    return queued;
}

} // namespace guavawick::scheduling
