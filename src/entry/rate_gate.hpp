// Borrows rate tokens from the owners and hands them to requests in order of arrival.
#pragma once

#include "configuration/configuration_type.hpp"
#include "limit/bucket_func.hpp"
#include "runtime/worker_pool.hpp"
#include "wire/group_client.hpp"

#include <memory>
#include <mutex>
#include <unordered_map>

namespace guavawick::entry {

struct token_waiter;
struct borrow_alarm;

/// The entry's side of fleet-wide rate limits. Thread safety: every function from any thread.
/// Lock order: its mutex is a leaf.
class rate_limiter {
public:
    /// @param first_group number of the first group that owns buckets; the others follow.
    rate_limiter(wire::group_client& client, incarnation_id entry, std::uint32_t shards,
                 std::uint32_t first_group = 1);
    ~rate_limiter();
    /// Waits for one token of an organisation. @throw refusal_error `rate_exceeded` if none comes within the
    /// limit. @param plan_version orders limits of different ages at their owner.
    /// @param kind programs under way go before those that would begin.
    boost::asio::awaitable<void> acquire_token(configuration::organisation who, duration limit,
                                               std::uint64_t plan_version = 0,
                                               limit::demand_kind kind = limit::demand_kind::running_program);
    /// Returns the token of a request that turned out not to run.
    void return_token(const organisation_name& who);
    /// Keeps borrowing for the organisations of one shard until `running` says no.
    boost::asio::awaitable<void> borrow_loop(std::uint32_t shard, std::function<bool()> running);
    /// @return requests that waited in vain.
    [[nodiscard]] std::uint64_t refused() const;

private:
    struct account {
        limit::rate_limit allowed;
        std::uint64_t plan_version = 0; ///< that the limits come from
        limit::token_lease token_lease;
        bool scarce = false; ///< as the owner last said: programs that would begin wait for the owner
        std::deque<std::shared_ptr<token_waiter>> waiting; ///< requests of programs under way
        std::deque<std::shared_ptr<token_waiter>> starts;  ///< requests of programs that would begin
    };

    using borrow_map = std::map<std::string, limit::borrow_request>; ///< by organisation

    void serve_waiters(account& one, time_point now);
    void serve_queue(std::deque<std::shared_ptr<token_waiter>>& queue, account& one, double kept,
                     time_point now);
    static bool spend_for_start(account& one, time_point now);
    boost::asio::awaitable<void> tick_loop(std::shared_ptr<borrow_alarm> alarm,
                                           std::function<bool()> running);
    wire::envelope make_request(std::uint32_t shard, std::uint64_t sequence, time_point now,
                                borrow_map& asked);
    void take_reply(const wire::envelope& reply, const borrow_map& asked, time_point asked_at);

    wire::group_client& client_;
    incarnation_id entry_;
    std::uint32_t shards_;
    std::uint32_t first_group_;
    mutable std::mutex mutex_; ///< guards everything below
    std::unordered_map<std::string, account> accounts_;
    std::vector<std::shared_ptr<borrow_alarm>> alarms_; ///< by shard; set when its loop begins
    std::uint64_t refused_ = 0;
};

} // namespace guavawick::entry
