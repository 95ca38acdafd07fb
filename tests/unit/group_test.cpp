// A consensus group's thread: order of leadership notifications and requests.
#include "base/hash_func.hpp"
#include "free_address.hpp"
#include "replica/group.hpp"
#include "runtime/worker_pool.hpp"
#include "wire.pb.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <future>

namespace guavawick::tests {

namespace fs = std::filesystem;
using namespace replica;
using namespace std::chrono_literals;

namespace {

/// A group of three members. One is real; the test sends the messages of the others.
struct three_member_group {
    fs::path path = fs::temp_directory_path() / ("guavawick-test-" + to_hex(random_id()));
    runtime::worker_pool pool{1};
    wire::link links{pool.executor(), link_settings{}, incarnation_id{1}};
    consensus::member_id self{11};
    std::unique_ptr<group> member;
    bool notified = false; ///< the state machine was notified that it leads; used on the group's thread
    int applied = 0;       ///< commands; used on the group's thread

    explicit three_member_group(const std::string& other_endpoint = "")
    {
        replica_settings settings;
        settings.name = "self";
        settings.link = "tcp://127.0.0.1:1";
        settings.data_folder = path.string();
        settings.election_timeout = 60ms;
        settings.heartbeat = 10ms;
        member = std::make_unique<group>(1, settings, self, std::vector<replica_address>{}, links);
        member->enable_managed_membership(consensus::make_membership_policy(1, 3), "a");
        state_machine machine;
        machine.apply = [this](const std::string&) {
            ++applied;
            return wire::envelope{};
        };
        machine.save = [] { return std::string(); };
        machine.restore = [](const std::string&) {};
        machine.leadership_changed = [this](bool leads) { notified = leads; };
        machine.tick = [](time_point) {};
        member->start(std::move(machine));
        consensus::membership members;
        for (std::uint64_t id = 11; id <= 13; ++id) {
            members.members.push_back(
                {consensus::member_id{id}, std::to_string(id), other_endpoint, true, 0, "a"});
        }
        member->bootstrap(members);
    }

    ~three_member_group()
    {
        member->stop();
        links.close();
        fs::remove_all(path);
    }

    template <typename Result>
    Result run_on_group_thread(std::function<Result()> task)
    {
        auto done = std::make_shared<std::promise<Result>>();
        std::future<Result> result = done->get_future();
        member->post([done, task] { done->set_value(task()); });
        return result.get();
    }

    void send_vote(consensus::message_kind kind, consensus::term_number term)
    {
        consensus::message reply;
        reply.kind = kind;
        reply.from = consensus::member_id{12};
        reply.to = self;
        reply.term = term;
        member->handle(reply, "");
    }

    /// Answers the member's requests for votes until its state machine is notified that it leads.
    void elect()
    {
        while (!run_on_group_thread<bool>([&] { return notified; })) {
            const group_report report = run_on_group_thread<group_report>([&] { return member->report(); });
            if (report.role == consensus::role_type::pre_candidate) {
                send_vote(consensus::message_kind::pre_vote_reply, report.term + 1);
            }
            if (report.role == consensus::role_type::candidate) {
                send_vote(consensus::message_kind::vote_reply, report.term);
            }
        }
    }
};

/// A group whose other members' endpoint is a link of the test.
struct group_beside_a_leader {
    std::string endpoint = "tcp://" + find_free_address();
    runtime::worker_pool leader_pool{1};
    wire::link leader_links{leader_pool.executor(), link_settings{}, incarnation_id{2}};
    std::promise<wire::envelope> join;
    std::atomic<int> joins{0};
    std::unique_ptr<three_member_group> group;

    group_beside_a_leader()
    {
        leader_links.listen(endpoint, [this](const wire::reply_target&, const wire::envelope_ptr& message) {
            if (message->has_join() && joins.fetch_add(1) == 0) {
                join.set_value(*message);
            }
        });
        group = std::make_unique<three_member_group>(endpoint);
    }

    ~group_beside_a_leader()
    {
        group.reset();
        leader_links.close();
        leader_pool.stop();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(group_test)

BOOST_FIXTURE_TEST_CASE(follower_passes_a_join_request_on_to_its_leader_once, group_beside_a_leader)
{
    consensus::message heartbeat;
    heartbeat.kind = consensus::message_kind::append_request;
    heartbeat.from = consensus::member_id{12};
    heartbeat.to = group->self;
    heartbeat.term = 1000;
    group->member->handle(heartbeat, endpoint);
    const consensus::member joining{consensus::member_id{99}, "new", "tcp://127.0.0.1:2", false, 0, "b"};
    group->member->handle_join(joining, true);
    group->member->handle_join(joining, false);
    const wire::envelope passed_on = join.get_future().get();
    BOOST_TEST(passed_on.join().id() == 99U);
    BOOST_TEST(passed_on.join().endpoint() == "tcp://127.0.0.1:2");
    BOOST_TEST(passed_on.join().forwarded());
}

// Guards against requests that a new leader serves before its state machine is notified. In such a case a
// request in the same batch as the deciding vote was stamped with a group clock that was not set yet, and the
// leader dropped all turns.
BOOST_FIXTURE_TEST_CASE(
    requests_in_the_batch_of_the_deciding_vote_are_not_served_before_the_state_machine_is_notified,
    three_member_group)
{
    bool served_too_early = false;
    bool is_notified = false;
    while (!is_notified) {
        const group_report report = run_on_group_thread<group_report>([&] { return member->report(); });
        if (report.role == consensus::role_type::pre_candidate) {
            send_vote(consensus::message_kind::pre_vote_reply, report.term + 1);
        }
        if (report.role == consensus::role_type::candidate) {
            std::promise<void> gate;
            member->post([opened = gate.get_future().share()] { opened.wait(); });
            send_vote(consensus::message_kind::vote_reply, report.term);
            member->post([&] { served_too_early = served_too_early || (member->leads() && !notified); });
            gate.set_value();
        }
        is_notified = run_on_group_thread<bool>([&] { return notified; });
    }
    BOOST_TEST(!served_too_early);
    BOOST_TEST(run_on_group_thread<bool>([&] { return member->leads() == notified; }));
}

// Guards against reads that miss what the leader before acknowledged: a read in the batch that commits the
// new leader's first entry was answered before the entries that it inherited were applied.
BOOST_FIXTURE_TEST_CASE(read_in_the_batch_that_commits_inherited_entries_waits_until_they_are_applied,
                        three_member_group)
{
    consensus::message request; // of the leader before
    request.kind = consensus::message_kind::append_request;
    request.from = consensus::member_id{12};
    request.to = self;
    request.term = 2;
    request.index = 1;
    request.log_term = 1;
    request.commit = 1;
    request.entries.push_back({2, 2, consensus::entry_kind::command, std::string("inherited")});
    run_on_group_thread<bool>([&] { return true; }); // bootstrapped
    member->handle(request, "");
    while (run_on_group_thread<consensus::log_index>([&] { return member->report().last; }) < 2) {
    }
    std::optional<int> applied_at_read;
    while (!applied_at_read) {
        elect();
        const group_report report = run_on_group_thread<group_report>([&] { return member->report(); });
        consensus::message reply;
        reply.kind = consensus::message_kind::append_reply;
        reply.from = consensus::member_id{12};
        reply.to = self;
        reply.term = report.term;
        reply.index = report.last;
        std::promise<void> gate;
        std::promise<void> read;
        member->post([opened = gate.get_future().share()] { opened.wait(); });
        reply.sent_at = runtime_clock::now().time_since_epoch().count();
        member->handle(reply, "");
        member->post([&] {
            if (member->has_read_lease()) {
                applied_at_read = applied;
            }
            read.set_value();
        });
        gate.set_value();
        read.get_future().wait();
    }
    BOOST_TEST(*applied_at_read == 1);
}

// Guards against a gateway that ends with all its calls because the disk of the replica that it hosts fails.
BOOST_AUTO_TEST_CASE(disk_failure_of_a_hosted_replica_ends_only_its_group)
{
    const fs::path path = fs::temp_directory_path() / ("guavawick-test-" + to_hex(random_id()));
    runtime::worker_pool pool{1};
    wire::link links{pool.executor(), link_settings{}, incarnation_id{1}};
    replica_settings settings;
    settings.name = "self";
    settings.link = "tcp://127.0.0.1:1";
    settings.data_folder = path.string();
    settings.exits_on_storage_failure = false;
    group member(1, settings, consensus::member_id{11}, std::vector<replica_address>{}, links);
    state_machine machine;
    machine.save = [] { return std::string(); };
    machine.leadership_changed = [](bool) {};
    machine.tick = [](time_point) {};
    member.start(std::move(machine));
    fs::remove_all(path / "group-1");
    std::ofstream(path / "group-1") << "not a folder";
    consensus::membership members;
    members.members.push_back({consensus::member_id{11}, "self", settings.link, true, 0, "a"});
    member.bootstrap(members);
    while (!member.has_failed()) {
    }
    member.stop();
    links.close();
    fs::remove_all(path);
}

/// A learner of a group whose only voter is silent and was never sent anything.
struct learner_of_a_silent_voter {
    fs::path path = fs::temp_directory_path() / ("guavawick-test-" + to_hex(random_id()));
    runtime::worker_pool pool{1};
    wire::link links{pool.executor(), link_settings{}, incarnation_id{1}};
    std::unique_ptr<group> member;

    learner_of_a_silent_voter()
    {
        replica_settings settings;
        settings.name = "self";
        settings.link = "tcp://127.0.0.1:1";
        settings.data_folder = path.string();
        member = std::make_unique<group>(1, settings, consensus::member_id{11},
                                         std::vector<replica_address>{}, links);
        state_machine machine;
        machine.save = [] { return std::string(); };
        machine.leadership_changed = [](bool) {};
        machine.tick = [](time_point) {};
        member->start(std::move(machine));
        consensus::membership members;
        members.members.push_back({consensus::member_id{11}, "self", settings.link, false, 0, "a"});
        members.members.push_back({consensus::member_id{12}, "other", "tcp://127.0.0.1:2", true, 0, "a"});
        member->bootstrap(members);
    }

    ~learner_of_a_silent_voter()
    {
        member->stop();
        pool.stop();
        links.close();
        fs::remove_all(path);
    }

    group_contact read_contact()
    {
        std::promise<group_contact> read;
        member->post([&] { read.set_value(member->contact()); });
        return read.get_future().get();
    }
};

// Guards against a learner that states a leader long after that one has ended: learners start no elections.
BOOST_FIXTURE_TEST_CASE(learner_whose_leader_is_silent_knows_no_leader, learner_of_a_silent_voter)
{
    consensus::message request;
    request.kind = consensus::message_kind::append_request;
    request.from = consensus::member_id{12};
    request.to = consensus::member_id{11};
    request.term = 2;
    member->handle(request, "");
    while (!member->counters().knows_leader || member->counters().term != 2) {
    }
    runtime_clock::advance(1h);
    constexpr int batches = 20;
    for (int i = 0; i < batches; ++i) {
        read_contact();
    }
    BOOST_TEST(!member->counters().knows_leader);
}

// Guards against a line that says that a replica reaches voters from which it has never received anything.
BOOST_FIXTURE_TEST_CASE(voter_that_never_sent_anything_is_not_reachable, learner_of_a_silent_voter)
{
    BOOST_TEST(read_contact().reachable_voters == 0);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
