// Retirement of stores: what a control replica may refuse, and what a ledger group's leader reports.
#include "core/ledger_replica.hpp"
#include "small_fleet.hpp"

#include "wire.pb.h"

#include <future>

namespace guavawick::tests {

namespace {

/// A ledger replica that leads two scripted members.
struct leading_replica {
    fs::path path = fs::temp_directory_path() / ("guavawick-test-" + to_hex(random_id()));
    runtime::worker_pool pool{1};
    wire::link links{pool.executor(), core::make_link_settings(), incarnation_id{1}};
    core::content_gate gate{1U << 30U};
    consensus::member_id self{11};
    std::unique_ptr<core::ledger_replica> replica;

    leading_replica()
    {
        core::fleet_settings settings;
        settings.node = "11";
        settings.link = "tcp://127.0.0.1:1";
        settings.data_folder = path.string();
        settings.tolerated_failures = 1;
        settings.data_centre_count = 3;
        replica = std::make_unique<core::ledger_replica>(1, settings, self, links, gate);
        replica->start();
        std::vector<consensus::member> members;
        for (std::uint64_t id = 11; id <= 13; ++id) {
            members.push_back(
                {consensus::member_id{id}, std::to_string(id), "", true, 0, std::to_string(id)});
        }
        replica->set_contacts({}, members);
        while (!replica->status()->leads) {
            answer(last_index());
        }
        runtime_clock::pause(); // so that a busy machine doesn't end the lease
    }

    ~leading_replica()
    {
        runtime_clock::resume();
        replica->stop();
        links.close();
        pool.stop();
        fs::remove_all(path);
    }

    replica::group_report report()
    {
        replica::group& group = replica->group();
        std::promise<replica::group_report> done;
        group.post([&] { done.set_value(group.report()); });
        return done.get_future().get();
    }

    consensus::log_index last_index() { return report().last; }

    /// Answers as member 12: grants votes, and has stored the log up to `stored`.
    void answer(consensus::log_index stored)
    {
        const replica::group_report now = report();
        consensus::message reply;
        reply.from = consensus::member_id{12};
        reply.to = self;
        reply.term = now.term;
        reply.index = stored;
        reply.sent_at = runtime_clock::now().time_since_epoch().count();
        switch (now.role) {
        case consensus::role_type::pre_candidate:
            reply.kind = consensus::message_kind::pre_vote_reply;
            reply.term = now.term + 1;
            break;
        case consensus::role_type::candidate:
            reply.kind = consensus::message_kind::vote_reply;
            break;
        case consensus::role_type::leader:
            reply.kind = consensus::message_kind::append_reply;
            break;
        case consensus::role_type::follower:
            return;
        }
        replica->group().handle(reply, "");
    }

    /// Answers a moment later.
    void renew_lease(consensus::log_index stored)
    {
        runtime_clock::advance(10ms);
        answer(stored);
    }

    /// Waits for two further status reports, the second of which began after this call.
    void await_status(consensus::log_index stored)
    {
        for (int i = 0; i < 2; ++i) {
            const auto before = replica->status();
            while (replica->status() == before) {
                renew_lease(stored);
            }
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(retirement_test)

// Guards against a store that is switched off although a quorum hasn't confirmed its removal: if the leader
// ends, the store is still a voter, and the group stands one loss less than stated.
BOOST_FIXTURE_TEST_CASE(membership_that_no_quorum_confirmed_is_not_reported, leading_replica)
{
    const consensus::log_index committed = last_index();
    await_status(committed);
    BOOST_TEST(replica->status()->members.size() == 3U);
    wire::envelope join;
    join.set_group(1);
    join.mutable_join()->set_group(1);
    join.mutable_join()->set_id(14);
    join.mutable_join()->set_name("14");
    replica->receive(join);
    while (last_index() == committed) {
        renew_lease(committed);
    }
    await_status(committed);
    BOOST_TEST_REQUIRE(replica->status()->leads);
    BOOST_TEST(replica->status()->members.empty());
    const consensus::log_index changed = last_index();
    while (replica->status()->members.size() != 4) {
        renew_lease(changed);
    }
}

// Guards against a store of the fleet that an operator is told not to exist by a control replica that has
// just started.
BOOST_FIXTURE_TEST_CASE(replica_that_has_just_started_does_not_deny_a_silent_member, small_fleet)
{
    upstream.respond = respond_with_events;
    while (call("POST", "/turn/x", {{"Program", "p"}}).status != 200) { // until the ledger groups are founded
    }
    store->stop();
    store->close();
    store.reset();
    restart_control();
    std::optional<core::retirement_phase> phase;
    while (!phase) {
        try {
            phase = run(control->retire("store"));
        }
        catch (const error& failure) {
            BOOST_TEST_MESSAGE(failure.what());
        }
    }
    BOOST_TEST((*phase == core::retirement_phase::impossible));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
