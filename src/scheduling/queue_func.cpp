// Weighted fair queueing among organisations, least attained service with ageing within one.
#include "scheduling/queue_func.hpp"

#include <algorithm>

namespace guavawick::scheduling {
namespace {

/// Waiting for a second counts as much as this many tokens of attained service, so that no program starves.
constexpr double ageing_tokens_per_second = 100.0;
constexpr std::size_t max_idle_queues = 20000; ///< accounts kept of organisations without calls

double rank_of(const call_queue& queue, const queued_call& call)
{
    const double arrived = to_seconds(call.arrived_at.time_since_epoch());
    if (queue.policy == queue_policy::fifo) {
        return arrived;
    }
    return static_cast<double>(call.attained_tokens) + ageing_tokens_per_second * arrived;
}

const organisation_name& queue_name(const call_queue& queue, const queued_call& call)
{
    static const organisation_name everyone{"*"};
    return queue.policy == queue_policy::fifo ? everyone : call.organisation;
}

void remove_idle_queues(call_queue& queue)
{
    if (queue.organisation_queues.size() <= max_idle_queues) {
        return;
    }
    std::erase_if(queue.organisation_queues, [&](const auto& item) {
        return item.second.order.empty() && item.second.virtual_time <= queue.virtual_now;
    });
}

void erase_from_organisation_queue(call_queue& queue, const queued_call& call, double rank)
{
    const organisation_name& name = queue_name(queue, call);
    organisation_queue& held = queue.organisation_queues.at(name);
    held.order.erase({rank, call.attempt});
    if (held.order.empty()) {
        queue.backlogged.erase({held.virtual_time, name});
    }
    if (call.deadline != time_point{}) {
        queue.deadlines.erase({call.deadline, call.attempt});
    }
    queue.cost_tokens = std::max(0.0, queue.cost_tokens - call.cost_tokens);
}

void move_organisation_queue(call_queue& queue, const organisation_name& name, organisation_queue& held,
                             double virtual_time)
{
    if (!held.order.empty()) {
        queue.backlogged.erase({held.virtual_time, name});
        queue.backlogged.insert({virtual_time, name});
    }
    held.virtual_time = virtual_time;
}

} // namespace

double expected_cost(std::uint64_t prompt_tokens, std::uint64_t cached_tokens, std::uint64_t generated_tokens)
{
    const std::uint64_t to_prefill = prompt_tokens - std::min(prompt_tokens, cached_tokens);
    return prefill_token_cost * static_cast<double>(to_prefill) + static_cast<double>(generated_tokens);
}

void push(call_queue& queue, const queued_call& call)
{
    remove_idle_queues(queue);
    const organisation_name& name = queue_name(queue, call);
    organisation_queue& held = queue.organisation_queues[name];
    held.weight = call.weight;
    if (held.order.empty()) {
        held.virtual_time = std::max(held.virtual_time, queue.virtual_now); // idle time earns no credit
        queue.backlogged.insert({held.virtual_time, name});
    }
    const double rank = rank_of(queue, call);
    held.order.insert({rank, call.attempt});
    queue.calls.emplace(call.attempt, std::pair{call, rank});
    if (call.deadline != time_point{}) {
        queue.deadlines.insert({call.deadline, call.attempt});
    }
    queue.cost_tokens += call.cost_tokens;
}

std::optional<queued_call> pop(call_queue& queue)
{
    if (queue.backlogged.empty()) {
        return std::nullopt;
    }
    const organisation_name name = queue.backlogged.begin()->second;
    organisation_queue& held = queue.organisation_queues.at(name);
    const attempt_id attempt = held.order.begin()->second;
    const auto [call, rank] = queue.calls.at(attempt);
    queue.virtual_now = std::max(queue.virtual_now, held.virtual_time);
    erase_from_organisation_queue(queue, call, rank);
    queue.calls.erase(attempt);
    move_organisation_queue(queue, name, held, held.virtual_time + call.cost_tokens / held.weight);
    return call;
}

bool remove(call_queue& queue, attempt_id attempt)
{
    const auto found = queue.calls.find(attempt);
    if (found == queue.calls.end()) {
        return false;
    }
    const auto [call, rank] = found->second;
    erase_from_organisation_queue(queue, call, rank);
    queue.calls.erase(found);
    return true;
}

std::vector<queued_call> remove_expired(call_queue& queue, time_point now)
{
    std::vector<queued_call> taken;
    while (!queue.deadlines.empty() && queue.deadlines.begin()->first <= now) {
        const attempt_id attempt = queue.deadlines.begin()->second;
        taken.push_back(queue.calls.at(attempt).first);
        remove(queue, attempt);
    }
    return taken;
}

void correct_charge(call_queue& queue, const organisation_name& who, double expected_tokens,
                    double real_tokens)
{
    const auto found = queue.organisation_queues.find(who);
    if (found == queue.organisation_queues.end()) {
        return;
    }
    const double changed =
        found->second.virtual_time + (real_tokens - expected_tokens) / found->second.weight;
    move_organisation_queue(queue, who, found->second, std::max(0.0, changed));
}

} // namespace guavawick::scheduling
