// Rate limiting in an entry.
#include "entry/rate_gate.hpp"

#include "base/failure_type.hpp"
#include "ledger/ledger_func.hpp"
#include "wire.pb.h"

#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace guavawick::entry {

namespace asio = boost::asio;

namespace {

constexpr duration borrow_interval = 20ms; ///< between two checks of leases and waiting requests
constexpr duration rest_interval = 200ms;  ///< the same while there are neither; a third of a lease
constexpr duration borrow_timeout = 1s;
constexpr std::uint32_t min_retry_after_ms = 100;  ///< several borrow intervals
constexpr std::uint32_t max_retry_after_ms = 1000; ///< further ahead the bucket's level is unpredictable
constexpr duration idle_organisation_timeout =
    60s; ///< state of an organisation without borrow requests for this long is dropped

} // namespace

/// A request that waits for a token.
struct token_waiter {
    explicit token_waiter(const asio::any_io_executor& pool) : result(pool, 1) {}

    asio::experimental::concurrent_channel<void(boost::system::error_code, bool)> result;
    time_point deadline{};
};

/// Wakes the borrow_loop(): at once if a request has to wait, otherwise at intervals.
struct borrow_signal {
    explicit borrow_signal(const asio::any_io_executor& pool) : channel(pool, 1) {}

    asio::experimental::concurrent_channel<void(boost::system::error_code)> channel;
};

rate_limiter::rate_limiter(wire::group_client& client, incarnation_id entry, std::uint32_t shard_count,
                           std::uint32_t first_group)
    : client_(client), entry_(entry), shard_count_(shard_count), first_group_(first_group)
{
}

rate_limiter::~rate_limiter() = default;

bool rate_limiter::spend_token_for_start(organisation_state& state, time_point now)
{
    return !state.scarce && limit::spend_token(state.token_lease, now);
}

asio::awaitable<void> rate_limiter::acquire_token(configuration::organisation organisation, duration timeout,
                                                  std::uint64_t plan_version, limit::demand_kind kind)
{
    const auto pool = co_await asio::this_coro::executor;
    auto waiter = std::make_shared<token_waiter>(pool);
    const bool is_start = kind == limit::demand_kind::new_program;
    {
        const std::lock_guard lock(mutex_);
        const time_point now = runtime_clock::now();
        const auto [entry, inserted] = organisations_.try_emplace(organisation.name.value);
        organisation_state& state = entry->second;
        if (inserted) {
            state.shard =
                ledger::shard_of(organisation_name{organisation.name.value}, program_name{}, shard_count_);
        }
        state.allowed = {organisation.rate, organisation.burst};
        state.plan_version = plan_version;
        limit::record_demand(state.token_lease, now);
        std::deque<std::shared_ptr<token_waiter>>& queue =
            is_start ? state.start_waiters : state.running_waiters;
        if (queue.empty() &&
            (is_start ? spend_token_for_start(state, now) : limit::spend_token(state.token_lease, now))) {
            co_return;
        }
        // A request is refused at once if the requests queued before it already use up the rate until its
        // deadline.
        const std::size_t queued_before =
            state.running_waiters.size() + (is_start ? state.start_waiters.size() : 0);
        const double expected_wait = static_cast<double>(queued_before) / std::max(organisation.rate, 1e-9);
        if (expected_wait > to_seconds(timeout)) {
            ++refusal_count_;
            throw refusal_error(failure::rate_exceeded, "the organisation's rate is used up",
                                static_cast<std::uint32_t>(expected_wait * 1000));
        }
        waiter->deadline = now + timeout;
        queue.push_back(waiter);
        if (signal_) {
            signal_->channel.try_send(boost::system::error_code{});
        }
    }
    const bool granted = co_await waiter->result.async_receive(asio::use_awaitable);
    if (!granted) {
        const auto retry_ms = static_cast<std::uint32_t>(1000.0 / std::max(organisation.rate, 1e-3));
        throw refusal_error(failure::rate_exceeded,
                            "no token of the organisation's rate became available in time",
                            std::clamp(retry_ms, min_retry_after_ms, max_retry_after_ms));
    }
}

void rate_limiter::grant_from_queue(std::deque<std::shared_ptr<token_waiter>>& queue,
                                    organisation_state& state, double reserved, time_point now)
{
    while (!queue.empty()) {
        const auto& waiter = queue.front();
        const bool granted =
            state.token_lease.tokens >= reserved + 1.0 && limit::spend_token(state.token_lease, now);
        if (!granted && now < waiter->deadline) {
            return;
        }
        refusal_count_ += granted ? 0 : 1;
        waiter->result.try_send(boost::system::error_code{}, granted);
        queue.pop_front();
    }
}

void rate_limiter::grant_tokens(organisation_state& state, time_point now)
{
    grant_from_queue(state.running_waiters, state, 0, now);
    // While tokens are scarce, the tokens prefetched for running programs are not granted to new ones.
    const double reserved = state.scarce ? limit::prefetch_target(state.token_lease, now) : 0;
    grant_from_queue(state.start_waiters, state,
                     state.running_waiters.empty() ? reserved : state.token_lease.tokens, now);
}

std::map<std::uint32_t, rate_limiter::shard_request> rate_limiter::make_borrow_requests(time_point now)
{
    std::map<std::uint32_t, shard_request> requests;
    const std::lock_guard lock(mutex_);
    for (auto position = organisations_.begin(); position != organisations_.end();) {
        auto& [name, state] = *position;
        grant_tokens(state, now);
        if (asked_shards_.contains(state.shard)) {
            ++position;
            continue;
        }
        if (state.running_waiters.empty() && state.start_waiters.empty() &&
            now - state.token_lease.last_request_at > idle_organisation_timeout) {
            position = organisations_.erase(position);
            continue;
        }
        const auto sequence = requests.contains(state.shard)
                                  ? requests[state.shard].message.borrow().sequence()
                                  : next_sequence_;
        const limit::borrow_request item_request =
            limit::prepare_request(state.token_lease, entry_, sequence, state.running_waiters.size(), now,
                                   state.start_waiters.size());
        if (limit::is_request_due(state.token_lease, item_request, now)) {
            limit::record_request_sent(state.token_lease, item_request, now);
            shard_request& request = requests[state.shard];
            wire::borrow_request* body = request.message.mutable_borrow();
            if (request.items.empty()) {
                body->set_entry_incarnation(entry_.value);
                body->set_sequence(next_sequence_++);
                request.asked_at = now;
            }
            wire::borrow_item* item = body->add_items();
            item->set_organisation(name);
            item->set_wanted(item_request.wanted);
            item->set_held(item_request.held);
            item->set_wanted_starts(item_request.wanted_starts);
            item->set_returned(item_request.returned);
            item->set_acked(item_request.acked);
            item->set_rate(state.allowed.rate);
            item->set_burst(state.allowed.burst);
            item->set_plan_version(state.plan_version);
            request.items[name] = item_request;
        }
        ++position;
    }
    for (const auto& [shard, request] : requests) {
        asked_shards_.insert(shard);
    }
    return requests;
}

void rate_limiter::apply_reply(const wire::envelope& reply, const shard_request& request)
{
    const std::lock_guard lock(mutex_);
    const time_point now = runtime_clock::now();
    for (const wire::grant_item& item : reply.borrowed().items()) {
        const auto found = organisations_.find(item.organisation());
        const auto asked = request.items.find(item.organisation());
        if (found == organisations_.end() || asked == request.items.end()) {
            continue;
        }
        limit::receive_grant(found->second.token_lease, asked->second, item.tokens(), request.asked_at, now);
        found->second.scarce = item.scarce();
        grant_tokens(found->second, now);
    }
}

bool rate_limiter::is_at_rest(time_point now) const
{
    const std::lock_guard lock(mutex_);
    return std::all_of(organisations_.begin(), organisations_.end(), [now](const auto& entry) {
        const organisation_state& state = entry.second;
        return state.running_waiters.empty() && state.start_waiters.empty() &&
               limit::is_at_rest(state.token_lease, now);
    });
}

asio::awaitable<void> rate_limiter::signal_loop(std::shared_ptr<borrow_signal> signal,
                                                std::function<bool()> is_running)
{
    while (is_running()) {
        co_await runtime::wait_for(is_at_rest(runtime_clock::now()) ? rest_interval : borrow_interval);
        signal->channel.try_send(boost::system::error_code{});
    }
}

asio::awaitable<void> rate_limiter::call_owner(std::uint32_t shard, shard_request request)
{
    try {
        wire::envelope message = request.message;
        const wire::envelope_ptr reply =
            co_await client_.call(first_group_ + shard, std::move(message), borrow_timeout);
        apply_reply(*reply, request);
    }
    catch (const link_error&) {
        // Requests wait until their deadline; the next iteration sends a new borrow request.
    }
    const std::lock_guard lock(mutex_);
    asked_shards_.erase(shard);
    if (signal_) {
        signal_->channel.try_send(boost::system::error_code{});
    }
}

asio::awaitable<void> rate_limiter::borrow_loop(std::function<bool()> is_running)
{
    const auto pool = co_await asio::this_coro::executor;
    const auto signal = std::make_shared<borrow_signal>(pool);
    {
        const std::lock_guard lock(mutex_);
        signal_ = signal;
    }
    runtime::spawn(pool, signal_loop(signal, is_running));
    while (is_running()) {
        co_await signal->channel.async_receive(asio::use_awaitable);
        for (auto& [shard, request] : make_borrow_requests(runtime_clock::now())) {
            runtime::spawn(pool, call_owner(shard, std::move(request)));
        }
    }
}

void rate_limiter::return_token(const organisation_name& organisation)
{
    const std::lock_guard lock(mutex_);
    const auto found = organisations_.find(organisation.value);
    if (found != organisations_.end()) {
        limit::return_token(found->second.token_lease, runtime_clock::now());
    }
}

std::uint64_t rate_limiter::refusal_count() const
{
    const std::lock_guard lock(mutex_);
    return refusal_count_;
}

} // namespace guavawick::entry
