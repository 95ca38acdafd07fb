// The driver of a consensus group: what its state machine knows when.
#include "base/hash_func.hpp"
#include "replica/group.hpp"
#include "runtime/worker_pool.hpp"
#include "wire.pb.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <future>

namespace guavawick::tests {

namespace fs = std::filesystem;
using namespace replica;
using namespace std::chrono_literals;

namespace {

/// One real member of three; the test speaks for the others.
struct one_of_three_members {
    fs::path path = fs::temp_directory_path() / ("guavawick-test-" + to_hex(random_id()));
    runtime::worker_pool pool{1};
    wire::link links{pool.executor(), link_settings{}, incarnation_id{1}};
    consensus::member_id self{11};
    std::unique_ptr<group> driver;
    bool told = false; ///< the state machine knows that it leads; the group's thread

    one_of_three_members()
    {
        replica_settings settings;
        settings.name = "self";
        settings.link = "tcp://127.0.0.1:1";
        settings.data_folder = path.string();
        settings.election_timeout = 60ms;
        settings.heartbeat = 10ms;
        driver = std::make_unique<group>(1, settings, self, std::vector<replica_address>{}, links);
        driver->enable_managed_membership(consensus::make_membership_policy(1, 3), "a");
        state_machine machine;
        machine.apply = [](const std::string&) { return wire::envelope{}; };
        machine.save = [] { return std::string(); };
        machine.restore = [](const std::string&) {};
        machine.leadership_changed = [this](bool leads) { told = leads; };
        machine.tick = [](time_point) {};
        driver->start(std::move(machine));
        consensus::membership members;
        for (std::uint64_t id = 11; id <= 13; ++id) {
            members.members.push_back({consensus::member_id{id}, std::to_string(id), "", true, 0, "a"});
        }
        driver->bootstrap(members);
    }

    ~one_of_three_members()
    {
        driver->stop();
        links.close();
        fs::remove_all(path);
    }

    template <typename Result>
    Result on_group(std::function<Result()> work)
    {
        auto done = std::make_shared<std::promise<Result>>();
        std::future<Result> result = done->get_future();
        driver->post([done, work] { done->set_value(work()); });
        return result.get();
    }

    void vote(consensus::message_kind kind, consensus::term_number term)
    {
        consensus::message reply;
        reply.kind = kind;
        reply.from = consensus::member_id{12};
        reply.to = self;
        reply.term = term;
        driver->handle(reply, "");
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(group_test)

// Found on a day when a new leader dropped all turns: a request in the batch of the deciding vote was stamped
// with a clock that had not been set.
BOOST_FIXTURE_TEST_CASE(work_in_the_batch_of_the_deciding_vote_is_not_served_before_the_state_machine_is_told,
                        one_of_three_members)
{
    bool served_too_early = false;
    bool leads = false;
    while (!leads) {
        const group_report now = on_group<group_report>([&] { return driver->report(); });
        if (now.role == consensus::role_type::pre_candidate) {
            vote(consensus::message_kind::pre_vote_reply, now.term + 1);
        }
        if (now.role == consensus::role_type::candidate) {
            std::promise<void> gate;
            driver->post([opened = gate.get_future().share()] { opened.wait(); });
            vote(consensus::message_kind::vote_reply, now.term);
            driver->post([&] { served_too_early = served_too_early || (driver->leads() && !told); });
            gate.set_value();
        }
        leads = on_group<bool>([&] { return told; });
    }
    BOOST_TEST(!served_too_early);
    BOOST_TEST(on_group<bool>([&] { return driver->leads() == told; }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
