// Finds the leader of each consensus group and sends it requests.
#include "wire/group_client.hpp"

#include "base/failure_type.hpp"
#include "platform/worker_pool.hpp"
#include "wire.pb.h"

#include <algorithm>

namespace guavawick::wire {
namespace {

constexpr duration first_try = 400ms;      ///< a leader that is silent for this long may be gone
constexpr duration longest_try = 5s;       ///< for requests that wait at the leader for their turn
constexpr duration redirect_pause = 30ms;  ///< while there is no leader

} // namespace

group_client::group_client(link& links, std::vector<replica_address> replicas) : links_(links), replicas_(std::move(replicas)) {}

std::string group_client::leader_of(std::uint32_t group)
{
    const std::lock_guard lock(mutex_);
    std::string& known = leaders_[group];
    if (known.empty()) {
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
    if (leaders_[group] != failed) {
        return; // another request already moved on
    }
    std::size_t place = 0;
    while (place < replicas_.size() && replicas_[place].endpoint != failed) {
        ++place;
    }
    leaders_[group] = replicas_[(place + 1) % replicas_.size()].endpoint;
}

boost::asio::awaitable<envelope_ptr> group_client::call(std::uint32_t group, envelope request, duration limit, duration held)
{
    request.set_group(group);
    const time_point deadline = runtime_clock::now() + limit;
    duration one_try = first_try + held;
    std::string silent; // a replica that just did not answer is not believed to lead on hearsay
    while (runtime_clock::now() < deadline) {
        const std::string endpoint = leader_of(group);
        const std::unique_ptr<reply_stream> stream =
            links_.open_stream(endpoint, request, std::min(one_try, deadline - runtime_clock::now()));
        const envelope_ptr answer = co_await stream->next();
        if (!answer) {
            silent = endpoint;
            one_try = std::min(one_try * 2, duration{longest_try});
            next_replica(group, endpoint);
            continue;
        }
        if (!answer->has_redirect()) {
            co_return answer;
        }
        const std::string& leader = answer->redirect().leader_endpoint();
        if (!leader.empty() && leader != silent && leader != endpoint) {
            note_leader(group, leader);
            continue;
        }
        next_replica(group, endpoint);
        co_await platform::wait_for(redirect_pause);
    }
    throw link_error("no leader of group " + std::to_string(group) + " answered in time");
}

} // namespace guavawick::wire
