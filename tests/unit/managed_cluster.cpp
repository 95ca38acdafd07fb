// Simulated group with a managed membership.
#include "managed_cluster.hpp"

#include <algorithm>

namespace guavawick::tests {

using namespace consensus;

namespace {

constexpr duration step_time = 20ms;
constexpr duration plan_interval = 200ms; ///< of a real group
constexpr std::uint64_t max_start_delay_ms = 300;

std::size_t voters_of(const group_state& state)
{
    const auto& listed = current_members(state).members;
    return static_cast<std::size_t>(
        std::count_if(listed.begin(), listed.end(), [](const member& m) { return m.voter; }));
}

} // namespace

managed_cluster::managed_cluster(std::uint64_t random_seed, std::size_t replicas,
                                 std::size_t tolerated_failures, std::size_t founders)
    : fake_cluster(random_seed,
                   founders == 0 ? make_membership_policy(tolerated_failures, 3).voters : founders),
      join_schedules(replicas), next_joins(replicas), next_plans(replicas), disks_since(replicas, now),
      policy_(make_membership_policy(tolerated_failures, 3)), returns_at_(replicas), whole_at_(replicas)
{
    is_managed = true;
    settings.election_timeout = 600ms;
    settings.heartbeat = 120ms;
    const std::size_t voters = members.size();
    for (std::size_t i = voters; i < replicas; ++i) {
        fake_member blank;
        blank.name = "r" + std::to_string(i + 1);
        blank.id = member_id{i + 1};
        members.push_back(blank);
    }
    auto initial = std::make_shared<snapshot>(*members.front().disk.newest_snapshot);
    initial->members = {};
    for (std::size_t i = 0; i < voters; ++i) {
        initial->members.members.push_back(describe_replica(i));
        initial->members.members.back().voter = true;
    }
    for (std::size_t i = 0; i < replicas; ++i) {
        if (i < voters) {
            members[i].disk.newest_snapshot = initial;
        }
        restart(members[i]);
    }
}

member managed_cluster::describe_replica(std::size_t replica) const
{
    const fake_member& described = members[replica];
    return {described.id, described.name, described.name, false, 0, "dc-" + std::to_string(replica % 3)};
}

void managed_cluster::update_members(std::size_t replica)
{
    fake_member& leader = members[replica];
    if (leader.running && leader.state.role == role_type::leader && now >= next_plans[replica]) {
        next_plans[replica] = now + plan_interval;
        effects pending;
        apply_membership_plan(leader.state, policy_, now, pending);
        replicate(leader.state, now, pending);
        carry_out(leader, pending, false);
    }
}

void managed_cluster::ask_to_join(std::size_t replica)
{
    const fake_member& asking = members[replica];
    if (!asking.running || now < next_joins[replica]) {
        return;
    }
    join_schedule& schedule = join_schedules[replica];
    if (!needs_managed_join(asking.state, now)) {
        schedule.rounds = 0;
        return;
    }
    std::vector<std::string> contacts;
    for (const fake_member& contact : members) {
        contacts.push_back(contact.name);
    }
    for (const std::string& chosen : choose_join_contacts(schedule, contacts, asking.name)) {
        const auto position = std::find(contacts.begin(), contacts.end(), chosen) - contacts.begin();
        handle_join(static_cast<std::size_t>(position), describe_replica(replica), false);
    }
    next_joins[replica] = now + join_delay(schedule);
}

void managed_cluster::handle_join(std::size_t contact, const member& joining, bool forwarded)
{
    fake_member& asked = members[contact];
    if (!asked.running) {
        return;
    }
    if (asked.state.role != role_type::leader) {
        for (std::size_t i = 0; i < members.size() && !forwarded; ++i) {
            if (members[i].id == asked.state.leader) {
                handle_join(i, joining, true);
            }
        }
        return;
    }
    effects pending;
    if (admits_learner(collect_member_status(asked.state, now), joining, policy_)) {
        add_learner(asked.state, joining, now, pending);
    }
    replicate(asked.state, now, pending);
    carry_out(asked, pending, false);
}

void managed_cluster::run(duration span)
{
    const time_point until = now + span;
    while (now < until) {
        now += step_time;
        for (std::size_t i = 0; i < members.size(); ++i) {
            if (members[i].paused && now >= members[i].paused_until) {
                restart(members[i]);
            }
            tick(members[i]);
            update_members(i);
            ask_to_join(i);
            if (random_below(2) == 0) {
                propose(members[i]);
            }
        }
        hold_slow_messages();
        deliver_all();
        check_invariants();
    }
}

void managed_cluster::run_with_random_faults(duration span, std::size_t max_lost)
{
    const time_point until = now + span;
    std::size_t lost = 0;
    std::vector<time_point> returns(members.size());
    while (now < until) {
        steps_per_crash = 300;
        for (int i = 0; i < 20; ++i) {
            deliver_one(2);
        }
        steps_per_crash = 0;
        run(step_time);
        const std::size_t disturbed = random_below(members.size());
        const bool loses_disk = random_below(100) == 0 && lost < max_lost;
        if (loses_disk) {
            lose_disk(members[disturbed]);
            disks_since[disturbed] = now;
            join_schedules[disturbed] = {};
            ++lost;
        }
        if (loses_disk || random_below(100) == 0) {
            members[disturbed].running = false;
            returns[disturbed] = now + std::chrono::milliseconds(random_below(4000));
        }
        for (std::size_t i = 0; i < members.size(); ++i) {
            if (!members[i].running && now >= returns[i]) {
                restart(members[i]);
            }
        }
        const bool all_run =
            std::all_of(members.begin(), members.end(), [](const fake_member& m) { return m.running; });
        lost = all_run && tolerates(max_lost) ? 0 : lost;
    }
}

void managed_cluster::stop(std::size_t replica)
{
    members[replica].running = false;
    members[replica].state.role = role_type::follower;
}

void managed_cluster::lose_one(std::size_t replica)
{
    const std::uint64_t kind = random_below(4);
    if (kind == 1) {
        members[replica].name = "r" + std::to_string(next_name_++);
    }
    if (kind <= 2) {
        lose_disk(members[replica]);
        disks_since[replica] = now;
        join_schedules[replica] = {};
    }
    stop(replica);
    returns_at_[replica] = now + 100ms + std::chrono::milliseconds(random_below(3000));
}

void managed_cluster::lose_several(std::size_t max_lost)
{
    const auto lost = static_cast<std::size_t>(
        std::count_if(whole_at_.begin(), whole_at_.end(), [this](time_point whole) { return now < whole; }));
    const std::size_t disturbed = random_below(members.size());
    if (lost == 0 && random_below(5) == 0) {
        const time_point returns = now + 200ms + std::chrono::milliseconds(random_below(4000));
        for (std::size_t i = disturbed % 3; i < members.size(); i += 3) {
            stop(i);
            returns_at_[i] = returns;
        }
        return;
    }
    if (lost >= max_lost || now < whole_at_[disturbed]) {
        return;
    }
    if (random_below(6) == 0 && lost == 0) {
        lose_power({disturbed, random_below(members.size())});
        now += 100ms + std::chrono::milliseconds(random_below(1600));
        return_power();
        return;
    }
    lose_one(disturbed);
}

void managed_cluster::run_with_tolerated_faults(duration span, std::size_t max_lost, duration catch_up)
{
    const time_point until = now + span;
    while (now < until) {
        for (std::size_t i = 0; i < members.size(); ++i) {
            if (!members[i].running && now >= returns_at_[i]) {
                restart(members[i]);
                next_joins[i] = now;
            }
            whole_at_[i] = members[i].running ? whole_at_[i] : now + catch_up;
        }
        steps_per_crash = 400;
        for (int i = 0; i < 10; ++i) {
            deliver_one(2);
        }
        steps_per_crash = 0;
        if (random_below(20) == 0) {
            const std::vector<fake_member> before = members;
            lose_several(max_lost);
            for (std::size_t i = 0; i < members.size(); ++i) {
                const bool disturbed = !members[i].running || members[i].id != before[i].id;
                whole_at_[i] = disturbed ? std::max(whole_at_[i], now + catch_up) : whole_at_[i];
            }
        }
        run(step_time);
    }
    for (std::size_t i = 0; i < members.size(); ++i) {
        if (!members[i].running) {
            restart(members[i]);
            next_joins[i] = now;
        }
    }
}

void managed_cluster::hold_slow_messages()
{
    std::deque<message> prompt;
    for (message& sent : network) {
        const bool is_slow = std::any_of(slow_links.begin(), slow_links.end(),
                                         [&](std::size_t i) { return members[i].id == sent.to; });
        if (is_slow) {
            slow_messages_.emplace_back(now + slow_delay, std::move(sent));
        }
        else {
            prompt.push_back(std::move(sent));
        }
    }
    while (!slow_messages_.empty() && slow_messages_.front().first <= now) {
        prompt.push_back(std::move(slow_messages_.front().second));
        slow_messages_.pop_front();
    }
    network.swap(prompt);
}

void managed_cluster::lose_power(const std::set<std::size_t>& lost)
{
    steps_per_crash = 3;
    for (std::uint64_t steps = random_below(40); steps > 0; --steps) {
        propose(members[random_below(members.size())]);
        deliver_one(0);
    }
    steps_per_crash = 0;
    network.clear();
    for (std::size_t i = 0; i < members.size(); ++i) {
        if (lost.contains(i)) {
            lose_disk(members[i]);
            disks_since[i] = now;
        }
        members[i].running = false;
        members[i].state.role = role_type::follower;
    }
}

void managed_cluster::return_power()
{
    for (std::size_t i = 0; i < members.size(); ++i) {
        restart(members[i]);
        members[i].paused = true;
        members[i].paused_until = now + std::chrono::milliseconds(random_below(max_start_delay_ms));
        join_schedules[i] = {};
        next_joins[i] = members[i].paused_until;
    }
}

std::set<std::size_t> managed_cluster::oldest_disks(std::size_t count) const
{
    std::vector<std::size_t> replicas;
    for (std::size_t i = 0; i < members.size(); ++i) {
        replicas.push_back(i);
    }
    std::stable_sort(replicas.begin(), replicas.end(), [this](std::size_t left, std::size_t right) {
        return disks_since[left] < disks_since[right];
    });
    return {replicas.begin(), replicas.begin() + static_cast<std::ptrdiff_t>(count)};
}

std::size_t managed_cluster::count_voters()
{
    const fake_member* leader = find_lease_holder();
    return leader == nullptr ? 0 : voters_of(leader->state);
}

bool managed_cluster::tolerates(std::size_t lost)
{
    const fake_member* leader = find_lease_holder();
    return leader != nullptr && std::all_of(members.begin(), members.end(), [&](const fake_member& member) {
               return find_member(current_members(leader->state), member.id) == nullptr ||
                      count_intact(member.state) >= voters_of(member.state) / 2 + 1 + lost;
           });
}

std::size_t managed_cluster::count_intact(const group_state& state) const
{
    const auto& listed = current_members(state).members;
    return static_cast<std::size_t>(std::count_if(listed.begin(), listed.end(), [&](const member& voter) {
        return voter.voter && std::any_of(members.begin(), members.end(),
                                          [&](const fake_member& m) { return m.id == voter.id; });
    }));
}

} // namespace guavawick::tests
