// Borrows rate tokens from the owners and hands them to requests in order of arrival.
#include "entry/rate_gate.hpp"

#include "base/failure_type.hpp"
#include "ledger/ledger_func.hpp"
#include "wire.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace guavawick::entry {

namespace asio = boost::asio;

namespace {

constexpr duration borrow_interval = 20ms; ///< how often leases are renewed and waiting requests looked at
constexpr duration borrow_limit = 1s;
constexpr std::uint32_t shortest_retry_ms = 100; ///< a few rounds of borrowing
constexpr std::uint32_t longest_retry_ms = 1000; ///< later the level is anybody's guess
constexpr duration idle_account = 60s; ///< an organisation that asked nothing for this long is forgotten

} // namespace

/// A request that waits for a token.
struct token_waiter {
    explicit token_waiter(const asio::any_io_executor& pool) : answer(pool, 1) {}

    asio::experimental::concurrent_channel<void(boost::system::error_code, bool)> answer;
    time_point deadline{};
};

/// Wakes a borrowing loop: at once for a request that waits, else at intervals.
struct borrow_alarm {
    explicit borrow_alarm(const asio::any_io_executor& pool) : rings(pool, 1) {}

    asio::experimental::concurrent_channel<void(boost::system::error_code)> rings;
};

rate_limiter::rate_limiter(wire::group_client& client, incarnation_id entry, std::uint32_t shards,
                           std::uint32_t first_group)
    : client_(client), entry_(entry), shards_(shards), first_group_(first_group), alarms_(shards)
{
}

rate_limiter::~rate_limiter() = default;

bool rate_limiter::spend_for_start(account& one, time_point now)
{
    return !one.scarce && limit::spend_token(one.token_lease, now);
}

asio::awaitable<void> rate_limiter::acquire_token(configuration::organisation who, duration limit,
                                                  std::uint64_t plan_version, limit::demand_kind kind)
{
    const auto pool = co_await asio::this_coro::executor;
    auto waiter = std::make_shared<token_waiter>(pool);
    const bool starts = kind == limit::demand_kind::new_program;
    {
        const std::lock_guard lock(mutex_);
        const time_point now = runtime_clock::now();
        account& one = accounts_[who.name.value];
        one.allowed = {who.rate, who.burst};
        one.plan_version = plan_version;
        limit::record_demand(one.token_lease, now);
        std::deque<std::shared_ptr<token_waiter>>& queue = starts ? one.starts : one.waiting;
        if (queue.empty() &&
            (starts ? spend_for_start(one, now) : limit::spend_token(one.token_lease, now))) {
            co_return;
        }
        // Whoever comes after more waiting requests than the rate serves in time is told at once.
        const std::size_t before = one.waiting.size() + (starts ? one.starts.size() : 0);
        const double expected = static_cast<double>(before) / std::max(who.rate, 1e-9);
        if (expected > to_seconds(limit)) {
            ++refused_;
            throw refusal_error(failure::rate_exceeded, "the organisation's rate is used up",
                                static_cast<std::uint32_t>(expected * 1000));
        }
        waiter->deadline = now + limit;
        queue.push_back(waiter);
        const auto& alarm =
            alarms_[ledger::shard_of(organisation_name{who.name.value}, program_name{}, shards_)];
        if (alarm) {
            alarm->rings.try_send(boost::system::error_code{});
        }
    }
    const bool granted = co_await waiter->answer.async_receive(asio::use_awaitable);
    if (!granted) {
        const auto retry_ms = static_cast<std::uint32_t>(1000.0 / std::max(who.rate, 1e-3));
        throw refusal_error(failure::rate_exceeded, "no token of the organisation's rate came free in time",
                            std::clamp(retry_ms, shortest_retry_ms, longest_retry_ms));
    }
}

void rate_limiter::serve_queue(std::deque<std::shared_ptr<token_waiter>>& queue, account& one, double kept,
                               time_point now)
{
    while (!queue.empty()) {
        const auto& first = queue.front();
        const bool granted = one.token_lease.tokens >= kept + 1.0 && limit::spend_token(one.token_lease, now);
        if (!granted && now < first->deadline) {
            return;
        }
        refused_ += granted ? 0 : 1;
        first->answer.try_send(boost::system::error_code{}, granted);
        queue.pop_front();
    }
}

void rate_limiter::serve_waiters(account& one, time_point now)
{
    serve_queue(one.waiting, one, 0, now);
    // While tokens are scarce, those that are kept for running programs are not for others.
    const double kept = one.scarce ? limit::prefetch_target(one.token_lease, now) : 0;
    serve_queue(one.starts, one, one.waiting.empty() ? kept : one.token_lease.tokens, now);
}

wire::envelope rate_limiter::make_request(std::uint32_t shard, std::uint64_t sequence, time_point now,
                                          borrow_map& asked)
{
    const std::lock_guard lock(mutex_);
    wire::envelope question;
    wire::borrow_request* body = question.mutable_borrow();
    body->set_entry_incarnation(entry_.value);
    body->set_sequence(sequence);
    for (auto entry = accounts_.begin(); entry != accounts_.end();) {
        auto& [name, one] = *entry;
        if (ledger::shard_of(organisation_name{name}, program_name{}, shards_) != shard) {
            ++entry;
            continue;
        }
        if (one.waiting.empty() && one.starts.empty() &&
            now - one.token_lease.last_request_at > idle_account) {
            entry = accounts_.erase(entry);
            continue;
        }
        const limit::borrow_request wish = limit::prepare_request(one.token_lease, entry_, sequence,
                                                                  one.waiting.size(), now, one.starts.size());
        if (limit::is_request_due(one.token_lease, wish, now)) {
            limit::record_request_sent(one.token_lease, wish, now);
            wire::borrow_item* item = body->add_items();
            item->set_organisation(name);
            item->set_wanted(wish.wanted);
            item->set_held(wish.held);
            item->set_wanted_starts(wish.wanted_starts);
            item->set_returned(wish.returned);
            item->set_acked(wish.acked);
            item->set_rate(one.allowed.rate);
            item->set_burst(one.allowed.burst);
            item->set_plan_version(one.plan_version);
            asked[name] = wish;
        }
        ++entry;
    }
    return question;
}

void rate_limiter::take_reply(const wire::envelope& reply, const borrow_map& asked, time_point asked_at)
{
    const std::lock_guard lock(mutex_);
    const time_point now = runtime_clock::now();
    for (const wire::grant_item& item : reply.borrowed().items()) {
        const auto found = accounts_.find(item.organisation());
        const auto wish = asked.find(item.organisation());
        if (found == accounts_.end() || wish == asked.end()) {
            continue;
        }
        limit::receive_grant(found->second.token_lease, wish->second, item.tokens(), asked_at, now);
        found->second.scarce = item.scarce();
        serve_waiters(found->second, now);
    }
}

asio::awaitable<void> rate_limiter::tick_loop(std::shared_ptr<borrow_alarm> alarm,
                                              std::function<bool()> running)
{
    while (running()) {
        co_await runtime::wait_for(borrow_interval);
        alarm->rings.try_send(boost::system::error_code{});
    }
}

asio::awaitable<void> rate_limiter::borrow_loop(std::uint32_t shard, std::function<bool()> running)
{
    const auto pool = co_await asio::this_coro::executor;
    const auto alarm = std::make_shared<borrow_alarm>(pool);
    {
        const std::lock_guard lock(mutex_);
        alarms_[shard] = alarm;
    }
    asio::co_spawn(pool, tick_loop(alarm, running), asio::detached);
    std::uint64_t sequence = 0;
    while (running()) {
        co_await alarm->rings.async_receive(asio::use_awaitable);
        borrow_map asked;
        const time_point asked_at = runtime_clock::now();
        wire::envelope question = make_request(shard, ++sequence, asked_at, asked);
        if (!asked.empty()) {
            try {
                const wire::envelope_ptr reply =
                    co_await client_.call(first_group_ + shard, std::move(question), borrow_limit);
                take_reply(*reply, asked, asked_at);
            }
            catch (const link_error&) {
                // Waiters stay until their deadline; the next round asks again.
            }
        }
        const std::lock_guard lock(mutex_);
        for (auto& [name, one] : accounts_) {
            if (ledger::shard_of(organisation_name{name}, program_name{}, shards_) == shard) {
                serve_waiters(one, runtime_clock::now());
            }
        }
    }
}

void rate_limiter::return_token(const organisation_name& who)
{
    const std::lock_guard lock(mutex_);
    const auto found = accounts_.find(who.value);
    if (found != accounts_.end()) {
        limit::return_token(found->second.token_lease, runtime_clock::now());
    }
}

std::uint64_t rate_limiter::refused() const
{
    const std::lock_guard lock(mutex_);
    return refused_;
}

} // namespace guavawick::entry
