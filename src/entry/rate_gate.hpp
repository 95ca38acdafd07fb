// Rate limiting in an entry: borrows rate tokens from the bucket owners and grants them to requests in order
// of arrival.
#pragma once

#include "configuration/configuration_type.hpp"
#include "limit/bucket_func.hpp"
#include "runtime/worker_pool.hpp"
#include "wire.pb.h"
#include "wire/group_client.hpp"

#include <memory>
#include <mutex>
#include <set>
#include <unordered_map>

namespace guavawick::entry {

struct token_waiter;
struct borrow_signal;

/// Enforces fleet-wide rate limits in an entry. Thread safety: all functions may be called by any thread.
/// Lock order: no other mutex is locked while the mutex of this class is held.
class rate_limiter {
public:
    /// @param shard_count number of groups that own buckets.
    /// @param first_group number of the first of these groups; the others follow.
    rate_limiter(wire::group_client& client, incarnation_id entry, std::uint32_t shard_count,
                 std::uint32_t first_group = 1);
    ~rate_limiter();
    /// Waits for one token of an organisation.
    /// @param plan_version version of the plan that holds the rate; the owner ignores rates of older
    /// versions.
    /// @param kind requests of running programs are served before requests that start a program.
    /// @throw refusal_error `rate_exceeded` if no token becomes available within the timeout.
    boost::asio::awaitable<void> acquire_token(configuration::organisation organisation, duration timeout,
                                               std::uint64_t plan_version = 0,
                                               limit::demand_kind kind = limit::demand_kind::running_program);
    /// Returns the token of a request that did not run.
    void return_token(const organisation_name& organisation);
    /// Borrows tokens for all organisations until `is_running` returns false. One loop serves every shard, so
    /// that an entry without requests wakes up a few times a second, whatever the number of shards.
    boost::asio::awaitable<void> borrow_loop(std::function<bool()> is_running);
    /// @return the number of requests that got no token.
    [[nodiscard]] std::uint64_t refusal_count() const;

private:
    struct organisation_state {
        limit::rate_limit allowed;
        std::uint64_t plan_version = 0; ///< version of the plan that holds the limits
        limit::token_lease token_lease;
        std::uint32_t shard = 0; ///< index of the group that owns the bucket
        bool scarce = false;     ///< from the owner's last reply; if set, leased tokens are not spent for new
                                 ///< programs at once
        std::deque<std::shared_ptr<token_waiter>> running_waiters; ///< requests of running programs
        std::deque<std::shared_ptr<token_waiter>> start_waiters;   ///< requests that start a program
    };

    /// A request to the owner of a shard's buckets.
    struct shard_request {
        wire::envelope message;
        std::map<std::string, limit::borrow_request> items; ///< by organisation
        time_point asked_at{};
    };

    void grant_tokens(organisation_state& state, time_point now);
    void grant_from_queue(std::deque<std::shared_ptr<token_waiter>>& queue, organisation_state& state,
                          double reserved, time_point now);
    static bool spend_token_for_start(organisation_state& state, time_point now);
    boost::asio::awaitable<void> signal_loop(std::shared_ptr<borrow_signal> signal,
                                             std::function<bool()> is_running);
    boost::asio::awaitable<void> call_owner(std::uint32_t shard, shard_request request);
    std::map<std::uint32_t, shard_request> make_borrow_requests(time_point now);
    void apply_reply(const wire::envelope& reply, const shard_request& request);
    [[nodiscard]] bool is_at_rest(time_point now) const;

    wire::group_client& client_;
    incarnation_id entry_;
    std::uint32_t shard_count_;
    std::uint32_t first_group_;
    mutable std::mutex mutex_; ///< guards everything below
    std::unordered_map<std::string, organisation_state> organisations_;
    std::shared_ptr<borrow_signal> signal_; ///< nullptr until borrow_loop() starts
    std::set<std::uint32_t> asked_shards_;  ///< shards whose owner has not replied yet
    std::uint64_t next_sequence_ = 1;       ///< of the next request to an owner
    std::uint64_t refusal_count_ = 0;
};

} // namespace guavawick::entry
