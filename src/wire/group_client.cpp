// Client of the consensus groups.
#include "wire/group_client.hpp"

#include "base/failure_type.hpp"
#include "runtime/worker_pool.hpp"
#include "wire.pb.h"

#include <algorithm>

namespace guavawick::wire {
namespace {

/// A replica from which nothing arrives for this long is skipped.
constexpr duration peer_timeout = 600ms;
/// How often a waiting call checks that its replica is alive.
constexpr duration liveness_check_interval = 100ms;
constexpr duration max_reply_delay = 2s; ///< time to answer on top of the hold time
constexpr duration retry_delay = 30ms;   ///< pause before the next attempt

std::string describe(const envelope_ptr& reply)
{
    if (!reply) {
        return "no answer";
    }
    const not_leader& redirect = reply->redirect();
    std::string text =
        redirect.leader_endpoint().empty() ? "knows no leader" : "names " + redirect.leader_endpoint();
    if (redirect.term() > 0) {
        text += ", " + redirect.role() + " in term " + std::to_string(redirect.term()) + ", last entry " +
                std::to_string(redirect.last_index()) + ", reaches " +
                std::to_string(redirect.reachable_voters()) + " of " + std::to_string(redirect.voters()) +
                " voters";
    }
    return text;
}

/// What each replica that was asked said last.
std::string describe(const std::map<std::string, std::string>& answers)
{
    if (answers.empty()) {
        return "no replica is known";
    }
    std::string text;
    for (const auto& [endpoint, answer] : answers) {
        text += text.empty() ? "asked " : "; ";
        text += endpoint;
        text += " (";
        text += answer;
        text += ")";
    }
    return text;
}

} // namespace

group_client::group_client(link& links, std::vector<replica_address> replicas)
    : links_(links), replicas_(std::move(replicas))
{
}

void group_client::set_replicas(std::vector<replica_address> replicas)
{
    const std::lock_guard lock(mutex_);
    replicas_ = std::move(replicas);
}

std::string group_client::presumed_leader(std::uint32_t group)
{
    const std::lock_guard lock(mutex_);
    std::string& leader = leaders_[group];
    if (leader.empty() && !replicas_.empty()) {
        leader = replicas_[group % replicas_.size()].endpoint;
    }
    return leader;
}

void group_client::record_leader(std::uint32_t group, const std::string& endpoint)
{
    const std::lock_guard lock(mutex_);
    leaders_[group] = endpoint;
}

void group_client::select_next_replica(std::uint32_t group, const std::string& failed)
{
    const std::lock_guard lock(mutex_);
    if (leaders_[group] != failed || replicas_.empty()) {
        return; // another request has already selected a replica
    }
    std::size_t index = 0;
    while (index < replicas_.size() && replicas_[index].endpoint != failed) {
        ++index;
    }
    // Prefers the next replica that is alive; if none is, takes the next in order.
    for (std::size_t step = 1; step <= replicas_.size(); ++step) {
        const std::string& next = replicas_[(index + step) % replicas_.size()].endpoint;
        if (links_.active_within(next, peer_timeout)) {
            leaders_[group] = next;
            return;
        }
    }
    leaders_[group] = replicas_[(index + 1) % replicas_.size()].endpoint;
}

/// Sends a request to one replica. @return nullptr if the replica is silent or its reply is overdue.
boost::asio::awaitable<envelope_ptr> group_client::call_replica(std::string endpoint, envelope request,
                                                                duration timeout, duration hold_time,
                                                                bool resends)
{
    const time_point reply_deadline = runtime_clock::now() + hold_time + max_reply_delay;
    const std::unique_ptr<reply_stream> stream =
        links_.open_stream(endpoint, std::move(request), timeout, liveness_check_interval, resends);
    while (true) {
        envelope_ptr reply = co_await stream->next();
        const bool is_tick = reply && reply->body_case() == envelope::BODY_NOT_SET;
        if (!is_tick) {
            co_return reply;
        }
        if (!links_.active_within(endpoint, peer_timeout) || runtime_clock::now() > reply_deadline) {
            co_return nullptr;
        }
    }
}

bool group_client::follow_redirect(std::uint32_t group, const std::string& endpoint,
                                   const envelope_ptr& reply)
{
    const std::string leader = reply ? reply->redirect().leader_endpoint() : "";
    if (!leader.empty() && leader != endpoint && links_.active_within(leader, peer_timeout)) {
        record_leader(group, leader);
        return true;
    }
    select_next_replica(group, endpoint);
    return false;
}

boost::asio::awaitable<envelope_ptr> group_client::call_once(std::uint32_t group, envelope request,
                                                             duration timeout)
{
    request.set_group(group);
    const std::string endpoint = presumed_leader(group);
    envelope_ptr reply = co_await call_replica(endpoint, std::move(request), timeout, timeout, false);
    if (reply && !reply->has_redirect()) {
        co_return reply;
    }
    follow_redirect(group, endpoint, reply);
    throw link_error("the leader of group " + std::to_string(group) + " changed or did not answer in time");
}

boost::asio::awaitable<envelope_ptr> group_client::call(std::uint32_t group, envelope request,
                                                        duration timeout, duration hold_time,
                                                        bool* was_resent)
{
    request.set_group(group);
    const time_point deadline = runtime_clock::now() + timeout;
    std::map<std::string, std::string> answers; // of the replicas that were asked
    while (runtime_clock::now() < deadline) {
        const std::string endpoint = presumed_leader(group);
        if (endpoint.empty()) {
            co_await runtime::wait_for(retry_delay);
            continue;
        }
        const envelope_ptr reply =
            co_await call_replica(endpoint, request, deadline - runtime_clock::now(), hold_time);
        if (reply && !reply->has_redirect()) {
            co_return reply;
        }
        answers[endpoint] = describe(reply);
        if (was_resent != nullptr) {
            *was_resent = true;
        }
        if (!follow_redirect(group, endpoint, reply)) {
            co_await runtime::wait_for(retry_delay);
        }
    }
    throw link_error("no leader of group " + std::to_string(group) +
                     " answered in time: " + describe(answers));
}

} // namespace guavawick::wire
