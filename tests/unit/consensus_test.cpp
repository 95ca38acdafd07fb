// The consensus algorithm under loss, delay, doubling, kills, freezes, lost disks and membership changes.
#include "consensus_cluster.hpp"
#include "random_run.hpp"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <set>

namespace guavawick::tests {

using namespace consensus;

namespace {

constexpr std::size_t steps_per_seed = 50000;

void freeze_or_thaw(fake_cluster& cluster, fake_member& member)
{
    if (member.frozen) {
        member.frozen = cluster.now < member.frozen_until;
        return;
    }
    member.frozen = true;
    member.frozen_until = cluster.now + std::chrono::milliseconds(cluster.pick(900));
}

void hand_over(fake_cluster& cluster, fake_member& member)
{
    effects wanted;
    transfer_leadership(member.state, cluster.now, wanted);
    cluster.carry_out(member, wanted, false);
}

void random_step(fake_cluster& cluster)
{
    cluster.now += std::chrono::milliseconds(cluster.pick(6));
    fake_member& member = cluster.members[cluster.pick(cluster.members.size())];
    const std::uint64_t what = cluster.pick(1000);
    if (what < 650) {
        cluster.deliver_one(8);
    }
    else if (what < 900) {
        cluster.tick(member);
    }
    else if (what < 980) {
        cluster.propose(member);
    }
    else if (what < 984) {
        cluster.restart(member);
    }
    else if (what < 990) {
        freeze_or_thaw(cluster, member);
    }
    else if (what < 992) {
        hand_over(cluster, member);
    }
    else if (what < 993 && cluster.may_lose(member)) {
        cluster.wipe(member);
    }
    else {
        cluster.join_blank_members();
    }
    for (fake_member& one : cluster.members) {
        if (one.frozen && cluster.now >= one.frozen_until) {
            one.frozen = false;
        }
    }
    cluster.check_invariants();
}

void check_all_kept(fake_cluster& cluster)
{
    for (const auto& [index, payload] : cluster.acknowledged) {
        BOOST_REQUIRE_MESSAGE(cluster.committed.at(index) == payload,
                              "acknowledged index " << index << " was replaced");
    }
    for (const fake_member& one : cluster.members) {
        const std::set<std::string> held(one.applied.begin(), one.applied.end());
        BOOST_REQUIRE_EQUAL(held.size(), one.applied.size()); // nothing was applied twice
        for (const auto& [index, payload] : cluster.acknowledged) {
            BOOST_REQUIRE_MESSAGE(held.count(payload) != 0, one.name << " lost acknowledged " << payload);
        }
    }
}

void run_seed(std::uint64_t seed, std::size_t size)
{
    BOOST_TEST_CONTEXT("seed " << seed << ", " << size << " members")
    {
        fake_cluster cluster(seed, size);
        cluster.crash_one_in = 300;
        for (std::size_t i = 0; i < steps_per_seed; ++i) {
            random_step(cluster);
        }
        BOOST_REQUIRE_MESSAGE(cluster.settle(),
                              "no stable group after the faults ended" << cluster.describe());
        check_all_kept(cluster);
        BOOST_TEST(cluster.acknowledged.size() > 20U);
        BOOST_TEST(cluster.reads > 100U);
        BOOST_TEST_MESSAGE("seed " << seed << ": " << cluster.elections << " elections, " << cluster.wipes
                                   << " lost disks, " << cluster.acknowledged.size() << " acknowledged, "
                                   << cluster.reads << " reads");
    }
}

struct three_members {
    fake_cluster cluster{7, 3};

    three_members() { BOOST_REQUIRE(cluster.settle()); }

    fake_member& leader() { return *cluster.find_leader(); }
    fake_member& follower()
    {
        for (fake_member& one : cluster.members) {
            if (one.state.role == role_type::follower) {
                return one;
            }
        }
        return cluster.members.front();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(consensus_test)

// Found on a day with a frozen follower: each refusal sent the whole rest of the log again, until the leader
// ran out of memory.
BOOST_AUTO_TEST_CASE(follower_that_refuses_all_that_was_sent_ahead_gets_each_entry_once_more)
{
    const time_point now{std::chrono::hours(1)};
    membership members;
    for (std::uint64_t id = 1; id <= 3; ++id) {
        members.members.push_back({member_id{id}, std::to_string(id), "", true, 0});
    }
    auto first = std::make_shared<snapshot>();
    first->index = 1;
    first->term = 1;
    first->members = members;
    persisted_state disk;
    disk.term = 1;
    disk.newest_snapshot = first;
    group_state leader = make_state(member_id{1}, options{}, disk, {}, now, 1);
    leader.role = role_type::leader;
    leader.leader = member_id{1};
    constexpr std::size_t proposals = 100;
    std::vector<message> lost;
    for (std::size_t i = 0; i < proposals; ++i) {
        effects out;
        propose(leader, entry_kind::command, "payload", out);
        flush(leader, now, out);
        for (const message& one : out.early_messages) {
            if (one.to == member_id{2}) {
                lost.push_back(one);
            }
        }
    }
    std::size_t sent_again = 0;
    std::vector<message> probes;
    for (const message& one : lost) {
        message refusal;
        refusal.kind = message_kind::append_reply;
        refusal.from = member_id{2};
        refusal.to = member_id{1};
        refusal.term = leader.term;
        refusal.reject = true;
        refusal.index = one.index;
        refusal.commit = 1;
        effects out;
        step(leader, refusal, now, out);
        for (const message& answer : out.early_messages) {
            sent_again += answer.entries.size();
            probes.push_back(answer);
        }
    }
    BOOST_REQUIRE(!probes.empty());
    message accepted;
    accepted.kind = message_kind::append_reply;
    accepted.from = member_id{2};
    accepted.to = member_id{1};
    accepted.term = leader.term;
    accepted.index = 1;
    effects out;
    step(leader, accepted, now, out);
    for (const message& answer : out.early_messages) {
        sent_again += answer.entries.size();
    }
    BOOST_TEST(sent_again >= proposals);
    BOOST_TEST(sent_again <= 2 * proposals);
}

BOOST_AUTO_TEST_CASE(group_under_random_faults_keeps_what_it_acknowledged)
{
    const auto started = std::chrono::steady_clock::now();
    const std::uint64_t seconds = read_option("seconds", 0);
    std::uint64_t extra = 1000;
    for (const std::uint64_t seed : seeds({1, 2, 3, 4, 5, 6, 7, 8})) {
        run_seed(seed, 3);
        run_seed(seed, 5);
    }
    while (std::chrono::steady_clock::now() - started < std::chrono::seconds(seconds)) {
        run_seed(++extra, extra % 2 == 0 ? 3 : 5);
    }
}

BOOST_FIXTURE_TEST_CASE(leader_cut_off_loses_its_lease_before_another_is_elected, three_members)
{
    fake_member& old = leader();
    old.running = false; // it hears nothing; its state is asked directly below
    for (int i = 0; i < 200 && cluster.find_leader() == nullptr; ++i) {
        cluster.now += 10ms;
        for (fake_member& one : cluster.members) {
            cluster.tick(one);
        }
        cluster.deliver_all();
        BOOST_REQUIRE(!(may_read(old.state, cluster.now) && cluster.find_leader() != nullptr));
    }
    BOOST_TEST(cluster.find_leader() != nullptr);
    BOOST_TEST(!may_read(old.state, cluster.now));
}

BOOST_FIXTURE_TEST_CASE(member_that_was_cut_off_returns_without_a_new_election, three_members)
{
    fake_member& away = follower();
    const term_number before = leader().state.term;
    away.running = false;
    cluster.pass(2s);
    away.running = true;
    BOOST_REQUIRE(cluster.settle());
    BOOST_TEST(leader().state.term == before);
}

BOOST_FIXTURE_TEST_CASE(member_with_a_blank_disk_is_counted_only_after_it_caught_up, three_members)
{
    for (int i = 0; i < 60; ++i) {
        cluster.propose(leader());
        cluster.deliver_all();
    }
    fake_member& lost = follower();
    const member_id old_id = lost.id;
    cluster.wipe(lost);
    cluster.pass(400ms);
    cluster.join_blank_members();
    const member* joined = find_member(current_members(leader().state), lost.id);
    BOOST_REQUIRE(joined != nullptr);
    BOOST_TEST(!joined->voter);
    effects wanted;
    const auto early = promote_learner(leader().state, lost.id, wanted);
    BOOST_TEST((early == change_result::not_caught_up || early == change_result::change_pending));
    BOOST_REQUIRE(cluster.settle());
    BOOST_TEST(find_member(current_members(leader().state), lost.id)->voter);
    BOOST_TEST(find_member(current_members(leader().state), old_id) == nullptr);
}

BOOST_FIXTURE_TEST_CASE(second_disk_lost_right_after_a_repair_loses_nothing, three_members)
{
    for (int round = 0; round < 2; ++round) {
        for (int i = 0; i < 40; ++i) {
            cluster.propose(leader());
            cluster.deliver_all();
        }
        fake_member& lost = follower();
        BOOST_REQUIRE(cluster.may_lose(lost));
        cluster.wipe(lost);
        cluster.pass(400ms);
        BOOST_REQUIRE(cluster.settle());
    }
    cluster.wipe(leader());
    BOOST_REQUIRE(cluster.settle());
    check_all_kept(cluster);
}

BOOST_FIXTURE_TEST_CASE(stale_snapshot_after_newer_entries_does_not_drop_them, three_members)
{
    fake_member& member = follower();
    for (int i = 0; i < 5; ++i) {
        cluster.propose(leader());
        cluster.deliver_all();
    }
    const log_index last = last_index(member.state);
    message late;
    late.kind = message_kind::snapshot_request;
    late.from = leader().id;
    late.to = member.id;
    late.term = leader().state.term;
    auto taken = std::make_shared<snapshot>();
    taken->index = last - 1;
    taken->term = term_at(member.state, last - 1);
    taken->members = current_members(leader().state);
    late.state = taken;
    member.state.commit = last - 3; // it has not heard of the newest commits yet
    member.state.applied = last - 3;
    effects wanted;
    step(member.state, late, cluster.now, wanted);
    BOOST_TEST(!wanted.install);
    BOOST_TEST(last_index(member.state) == last);
    BOOST_TEST(member.state.commit >= last - 1);
}

BOOST_FIXTURE_TEST_CASE(leader_that_hands_over_gives_up_its_lease_first, three_members)
{
    fake_member& old = leader();
    effects wanted;
    BOOST_REQUIRE(transfer_leadership(old.state, cluster.now, wanted));
    BOOST_TEST(!may_read(old.state, cluster.now));
    cluster.carry_out(old, wanted, false);
    cluster.deliver_all();
    BOOST_TEST((old.state.role == role_type::follower));
    BOOST_REQUIRE(cluster.settle());
}

BOOST_FIXTURE_TEST_CASE(follower_that_hears_its_leader_ignores_a_late_vote_request, three_members)
{
    fake_member& member = follower();
    cluster.pass(100ms);
    message late;
    late.kind = message_kind::vote_request;
    late.from = member_id{99};
    late.to = member.id;
    late.term = member.state.term + 5;
    late.index = last_index(member.state) + 10;
    late.log_term = member.state.term + 4;
    effects wanted;
    step(member.state, late, cluster.now, wanted);
    BOOST_TEST(wanted.messages.empty());
    BOOST_TEST(member.state.term == leader().state.term); // the leader's lease rests on this
}

BOOST_FIXTURE_TEST_CASE(entry_of_an_earlier_term_is_not_committed_by_counting_copies, three_members)
{
    fake_member& first = leader();
    const log_index committed = first.state.commit;
    effects wanted;
    propose(first.state, entry_kind::command, "old", wanted);
    first.state.term += 1; // as if elected again, with its own entry still on its way
    note_synced(first.state, last_index(first.state), wanted);
    message copied;
    copied.kind = message_kind::append_reply;
    copied.from = follower().id;
    copied.to = first.id;
    copied.term = first.state.term;
    copied.index = last_index(first.state);
    step(first.state, copied, cluster.now, wanted);
    BOOST_TEST(first.state.commit == committed);
}

BOOST_FIXTURE_TEST_CASE(name_of_a_living_member_is_refused_to_another_disk, three_members)
{
    effects wanted;
    const auto result =
        add_learner(leader().state, {member_id{999}, follower().name, "e", false, 0}, cluster.now, wanted);
    BOOST_TEST((result == change_result::name_in_use));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
