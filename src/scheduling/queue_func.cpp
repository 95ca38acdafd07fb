// Weighted fair queueing among organisations, least attained service with ageing within an organisation.
#include "scheduling/queue_func.hpp"

#include <algorithm>

namespace guavawick::scheduling {
namespace {

/// One second of waiting offsets this many tokens of attained service, so that no program starves.
constexpr double ageing_tokens_per_second = 100.0;
constexpr std::size_t max_idle_queues =
    20000; ///< empty queues kept for the virtual time of their organisations

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
    static const organisation_name shared_queue_name{"*"};
    return queue.policy == queue_policy::fifo ? shared_queue_name : call.organisation;
}

void remove_idle_queues(call_queue& queue)
{
    if (queue.organisation_queues.size() <= max_idle_queues) {
        return;
    }
    std::erase_if(queue.organisation_queues, [&](const auto& entry) {
        return entry.second.order.empty() && entry.second.virtual_time <= queue.virtual_now;
    });
}

void erase_from_queue(call_queue& queue, const queued_call& call, double rank)
{
    const organisation_name& name = queue_name(queue, call);
    organisation_queue& org_queue = queue.organisation_queues.at(name);
    org_queue.order.erase({rank, call.attempt});
    if (org_queue.order.empty()) {
        queue.backlogged.erase({org_queue.virtual_time, name});
    }
    if (call.deadline != time_point{}) {
        queue.deadlines.erase({call.deadline, call.attempt});
    }
    queue.cost_tokens = std::max(0.0, queue.cost_tokens - call.cost_tokens);
}

void update_virtual_time(call_queue& queue, const organisation_name& name, organisation_queue& org_queue,
                         double virtual_time)
{
    if (!org_queue.order.empty()) {
        queue.backlogged.erase({org_queue.virtual_time, name});
        queue.backlogged.insert({virtual_time, name});
    }
    org_queue.virtual_time = virtual_time;
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
    organisation_queue& org_queue = queue.organisation_queues[name];
    org_queue.weight = call.weight;
    if (org_queue.order.empty()) {
        org_queue.virtual_time =
            std::max(org_queue.virtual_time, queue.virtual_now); // an organisation gains no credit while idle
        queue.backlogged.insert({org_queue.virtual_time, name});
    }
    const double rank = rank_of(queue, call);
    org_queue.order.insert({rank, call.attempt});
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
    organisation_queue& org_queue = queue.organisation_queues.at(name);
    const attempt_id attempt = org_queue.order.begin()->second;
    const auto [call, rank] = queue.calls.at(attempt);
    queue.virtual_now = std::max(queue.virtual_now, org_queue.virtual_time);
    erase_from_queue(queue, call, rank);
    queue.calls.erase(attempt);
    update_virtual_time(queue, name, org_queue, org_queue.virtual_time + call.cost_tokens / org_queue.weight);
    return call;
}

bool remove(call_queue& queue, attempt_id attempt)
{
    const auto found = queue.calls.find(attempt);
    if (found == queue.calls.end()) {
        return false;
    }
    const auto [call, rank] = found->second;
    erase_from_queue(queue, call, rank);
    queue.calls.erase(found);
    return true;
}

std::vector<queued_call> remove_expired(call_queue& queue, time_point now)
{
    std::vector<queued_call> expired;
    while (!queue.deadlines.empty() && queue.deadlines.begin()->first <= now) {
        const attempt_id attempt = queue.deadlines.begin()->second;
        expired.push_back(queue.calls.at(attempt).first);
        remove(queue, attempt);
    }
    return expired;
}

void correct_charge(call_queue& queue, const organisation_name& organisation, double expected_tokens,
                    double actual_tokens)
{
    const auto found = queue.organisation_queues.find(organisation);
    if (found == queue.organisation_queues.end()) {
        return;
    }
    const double corrected_time =
        found->second.virtual_time + (actual_tokens - expected_tokens) / found->second.weight;
    update_virtual_time(queue, organisation, found->second, std::max(0.0, corrected_time));
}

} // namespace guavawick::scheduling
