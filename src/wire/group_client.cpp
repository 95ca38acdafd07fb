// Finds the leader of each consensus group and sends it requests.
#include "wire/group_client.hpp"

#include "base/failure_type.hpp"
#include "runtime/worker_pool.hpp"
#include "wire.pb.h"

#include <algorithm>

namespace guavawick::wire {
namespace {

constexpr duration silence = 600ms;     ///< a replica that gives no sign of life for this long is passed over
constexpr duration look_around = 100ms; ///< how often a waiting call looks whether its replica is alive
constexpr duration longest_try = 2s;    ///< beyond what the leader may hold a request
constexpr duration redirect_pause = 30ms; ///< while there is no leader

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

std::string group_client::leader_of(std::uint32_t group)
{
    const std::lock_guard lock(mutex_);
    std::string& known = leaders_[group];
    if (known.empty() && !replicas_.empty()) {
        known = replicas_[group % replicas_.size()].endpoint;
    }
    return known;
}

void group_client::note_leader(std::uint32_t group, const std::string& endpoint)
{
    const std::lock_guard lock(mutex_);
    leaders_[group] = endpoint;
}

void group_client::next_replica(std::uint32_t group, const std::string& failed)
{
    const std::lock_guard lock(mutex_);
    if (leaders_[group] != failed || replicas_.empty()) {
        return; // another request already moved on
    }
    std::size_t place = 0;
    while (place < replicas_.size() && replicas_[place].endpoint != failed) {
        ++place;
    }
    // The next one that is alive; with none alive, simply the next.
    for (std::size_t step = 1; step <= replicas_.size(); ++step) {
        const std::string& next = replicas_[(place + step) % replicas_.size()].endpoint;
        if (links_.active_within(next, silence)) {
            leaders_[group] = next;
            return;
        }
    }
    leaders_[group] = replicas_[(place + 1) % replicas_.size()].endpoint;
}

/// @return nullptr if the replica is silent or its answer is overdue.
boost::asio::awaitable<envelope_ptr> group_client::try_one(std::string endpoint, envelope request,
                                                           duration limit, duration held)
{
    const time_point overdue = runtime_clock::now() + held + longest_try;
    const std::unique_ptr<reply_stream> stream =
        links_.open_stream(endpoint, std::move(request), limit, look_around);
    while (true) {
        envelope_ptr answer = co_await stream->next();
        const bool notice = answer && answer->body_case() == envelope::BODY_NOT_SET;
        if (!notice) {
            co_return answer;
        }
        if (!links_.active_within(endpoint, silence) || runtime_clock::now() > overdue) {
            co_return nullptr;
        }
    }
}

boost::asio::awaitable<envelope_ptr> group_client::call(std::uint32_t group, envelope request, duration limit,
                                                        duration held)
{
    request.set_group(group);
    const time_point deadline = runtime_clock::now() + limit;
    while (runtime_clock::now() < deadline) {
        const std::string endpoint = leader_of(group);
        if (endpoint.empty()) {
            co_await runtime::wait_for(redirect_pause);
            continue;
        }
        const envelope_ptr answer =
            co_await try_one(endpoint, request, deadline - runtime_clock::now(), held);
        if (!answer) {
            next_replica(group, endpoint);
            co_await runtime::wait_for(redirect_pause);
            continue;
        }
        if (!answer->has_redirect()) {
            co_return answer;
        }
        const std::string& leader = answer->redirect().leader_endpoint();
        if (!leader.empty() && leader != endpoint && links_.active_within(leader, silence)) {
            note_leader(group, leader);
            continue;
        }
        next_replica(group, endpoint);
        co_await runtime::wait_for(redirect_pause);
    }
    throw link_error("no leader of group " + std::to_string(group) + " answered in time");
}

} // namespace guavawick::wire
