// Elections among members whose threads run late, as on machines with few processors and many processes. Time
// is simulated.
#include "base/hash_func.hpp"
#include "consensus/consensus_func.hpp"
#include "core/fleet_settings.hpp"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>

namespace guavawick::tests {

using namespace consensus;
using namespace std::chrono_literals;

namespace {

constexpr duration step_interval = 1ms;
constexpr duration sync_time = 50ms;
constexpr duration network_delay = 1ms;
/// Half an election timeout. With twice as much no member holds a lease for three fifths of the time.
constexpr duration max_run_delay = core::fleet_election_timeout / 2;

/// A member whose thread runs again up to `max_run_delay` after its last run.
struct late_member {
    group_state state;
    time_point next_run_at{};
    std::vector<message> inbox;
};

/// Five voters that start within 300 ms of each other, of which two stay down.
struct group_of_late_members {
    time_point now{std::chrono::hours(1)};
    std::uint64_t random;
    std::vector<late_member> members;
    std::multimap<time_point, message> network; ///< by time of arrival

    explicit group_of_late_members(std::uint64_t seed) : random(seed)
    {
        auto initial = std::make_shared<snapshot>();
        initial->index = 1;
        initial->term = 1;
        for (std::uint64_t id = 1; id <= 5; ++id) {
            initial->members.members.push_back({member_id{id}, std::to_string(id), "", true, 0});
        }
        options settings;
        settings.election_timeout = core::fleet_election_timeout;
        settings.heartbeat = core::fleet_heartbeat_interval;
        persisted_state disk;
        disk.term = 1;
        disk.newest_snapshot = initial;
        for (std::uint64_t id = 1; id <= 3; ++id) {
            late_member member;
            member.next_run_at = now + draw_delay();
            member.state =
                restore_state(member_id{id}, settings, disk, {}, member.next_run_at, next_random(random));
            members.push_back(std::move(member));
        }
    }

    duration draw_delay()
    {
        return duration{static_cast<std::int64_t>(next_random(random) %
                                                  static_cast<std::uint64_t>(max_run_delay.count()))};
    }

    void send(std::vector<message>& messages, time_point at)
    {
        for (message& sent : messages) {
            network.emplace(at + network_delay, std::move(sent));
        }
        messages.clear();
    }

    void run_member(late_member& member)
    {
        effects pending;
        for (const message& received : member.inbox) {
            step(member.state, received, now, pending);
        }
        member.inbox.clear();
        tick(member.state, now, pending);
        replicate(member.state, now, pending);
        send(pending.immediate_messages, now);
        const bool syncs = pending.hard_state_changed || !pending.appended.empty();
        const time_point done_at = syncs ? now + sync_time : now;
        record_synced(member.state, last_index(member.state), pending);
        send(pending.messages, done_at);
        send(pending.immediate_messages, done_at);
        member.next_run_at = done_at + draw_delay();
    }

    void advance()
    {
        now += step_interval;
        for (auto arrived = network.begin(); arrived != network.end() && arrived->first <= now;) {
            for (late_member& member : members) {
                if (member.state.self == arrived->second.to) {
                    member.inbox.push_back(arrived->second);
                }
            }
            arrived = network.erase(arrived);
        }
        for (late_member& member : members) {
            if (now >= member.next_run_at && (!member.inbox.empty() || now >= next_tick_at(member.state))) {
                run_member(member);
            }
        }
    }

    [[nodiscard]] bool has_lease_holder() const
    {
        return std::any_of(members.begin(), members.end(),
                           [this](const late_member& member) { return has_read_lease(member.state, now); });
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(election_delay_test)

// Guards against elections that don't settle, or leases that don't last, on machines whose processors are
// busy.
BOOST_AUTO_TEST_CASE(members_that_run_late_elect_a_leader_that_keeps_its_lease)
{
    constexpr std::uint64_t seeds = 30;
    int steps_without_lease = 0;
    constexpr int observed_steps = 10'000;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        group_of_late_members group(seed);
        const time_point deadline = group.now + 10 * core::fleet_election_timeout;
        while (!group.has_lease_holder() && group.now < deadline) {
            group.advance();
        }
        BOOST_TEST(group.has_lease_holder(), "seed " << seed);
        for (int i = 0; i < observed_steps; ++i) {
            group.advance();
            steps_without_lease += group.has_lease_holder() ? 0 : 1;
        }
    }
    BOOST_TEST(steps_without_lease < static_cast<int>(seeds) * observed_steps / 50);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
