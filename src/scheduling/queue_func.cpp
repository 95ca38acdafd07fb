// Weighted fair queueing among organisations, least attained service with ageing within one.
#include "scheduling/queue_func.hpp"

#include <algorithm>

namespace guavawick::scheduling {
namespace {

/// Waiting for a second counts as much as this many tokens of attained service, so that no program starves.
constexpr double ageing_tokens_per_second = 100.0;
constexpr std::size_t most_idle_lanes = 20000; ///< accounts kept of organisations without calls

double rank_of(const call_queue& queue, const queued_call& call)
{
    const double arrived = to_seconds(call.arrived_at.time_since_epoch());
    if (queue.policy == queue_policy::fifo) {
        return arrived;
    }
    return static_cast<double>(call.attained_tokens) + ageing_tokens_per_second * arrived;
}

const organisation_name& lane_name(const call_queue& queue, const queued_call& call)
{
    static const organisation_name everyone{"*"};
    return queue.policy == queue_policy::fifo ? everyone : call.organisation;
}

void forget_idle_lanes(call_queue& queue)
{
    if (queue.lanes.size() <= most_idle_lanes) {
        return;
    }
    std::erase_if(queue.lanes, [&](const auto& item) {
        return item.second.order.empty() && item.second.virtual_time <= queue.virtual_now;
    });
}

void erase_from_lane(call_queue& queue, const queued_call& call, double rank)
{
    const organisation_name& name = lane_name(queue, call);
    lane& held = queue.lanes.at(name);
    held.order.erase({rank, call.attempt});
    if (held.order.empty()) {
        queue.busy.erase({held.virtual_time, name});
    }
    if (call.deadline != time_point{}) {
        queue.deadlines.erase({call.deadline, call.attempt});
    }
    queue.cost_tokens = std::max(0.0, queue.cost_tokens - call.cost_tokens);
}

void move_lane(call_queue& queue, const organisation_name& name, lane& held, double virtual_time)
{
    if (!held.order.empty()) {
        queue.busy.erase({held.virtual_time, name});
        queue.busy.insert({virtual_time, name});
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
    forget_idle_lanes(queue);
    const organisation_name& name = lane_name(queue, call);
    lane& held = queue.lanes[name];
    held.weight = call.weight;
    if (held.order.empty()) {
        held.virtual_time = std::max(held.virtual_time, queue.virtual_now); // idle time earns no credit
        queue.busy.insert({held.virtual_time, name});
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
    if (queue.busy.empty()) {
        return std::nullopt;
    }
    const organisation_name name = queue.busy.begin()->second;
    lane& held = queue.lanes.at(name);
    const attempt_id attempt = held.order.begin()->second;
    const auto [call, rank] = queue.calls.at(attempt);
    queue.virtual_now = std::max(queue.virtual_now, held.virtual_time);
    erase_from_lane(queue, call, rank);
    queue.calls.erase(attempt);
    move_lane(queue, name, held, held.virtual_time + call.cost_tokens / held.weight);
    return call;
}

bool remove(call_queue& queue, attempt_id attempt)
{
    const auto found = queue.calls.find(attempt);
    if (found == queue.calls.end()) {
        return false;
    }
    const auto [call, rank] = found->second;
    erase_from_lane(queue, call, rank);
    queue.calls.erase(found);
    return true;
}

std::vector<queued_call> take_hopeless(call_queue& queue, time_point now)
{
    std::vector<queued_call> taken;
    while (!queue.deadlines.empty() && queue.deadlines.begin()->first <= now) {
        const attempt_id attempt = queue.deadlines.begin()->second;
        taken.push_back(queue.calls.at(attempt).first);
        remove(queue, attempt);
    }
    return taken;
}

void charge_difference(call_queue& queue, const organisation_name& who, double expected_tokens,
                       double real_tokens)
{
    const auto found = queue.lanes.find(who);
    if (found == queue.lanes.end()) {
        return;
    }
    const double changed =
        found->second.virtual_time + (real_tokens - expected_tokens) / found->second.weight;
    move_lane(queue, who, found->second, std::max(0.0, changed));
}

} // namespace guavawick::scheduling
