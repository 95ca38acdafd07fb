// Which instances host a replica of the control group, and what the group survives.
#include "gateway/control_roster.hpp"
#include "small_control_group.hpp"
#include "wire.pb.h"

#include <condition_variable>
#include <mutex>

namespace guavawick::tests {

using tcp = asio::ip::tcp;

BOOST_AUTO_TEST_SUITE(control_host_test)

// Guards against a configuration that is lost with two disks, where two control replicas were a majority.
BOOST_FIXTURE_TEST_CASE(configuration_survives_the_loss_of_as_many_disks_as_the_fleet_tolerates,
                        small_control_group)
{
    BOOST_TEST_REQUIRE(publish(0, 1));
    for (int polls = 0; polls < max_polls && read_voters(2) < 5; ++polls) {
    }
    BOOST_TEST(read_voters(2) == 5);
    BOOST_TEST_REQUIRE(publish(0, 2));
    lose_control(0);
    lose_control(1);
    BOOST_TEST(publish(2, 3));
}

// Guards against a gateway that counts members which the group has removed, so that no instance takes the
// place of one that is gone for good.
BOOST_FIXTURE_TEST_CASE(successor_of_a_hosting_instance_hosts_a_replica_once_the_former_one_is_removed,
                        small_control_group)
{
    BOOST_TEST_REQUIRE(publish(0, 1));
    BOOST_TEST_REQUIRE(become_whole());
    constexpr std::size_t successor = 3; // another address and an empty disk
    lose_gateway(2, 2);
    start_gateway(2, successor);
    for (int polls = 0; polls < max_polls && !hosts_replica(successor); ++polls) {
        read_voters(0);
    }
    BOOST_TEST(hosts_replica(successor));
}

// Guards against a group that ends with the disks of a control process and of a gateway's replica.
BOOST_FIXTURE_TEST_CASE(
    configuration_survives_the_loss_of_the_disks_of_a_control_process_and_of_a_hosted_replica,
    small_control_group)
{
    BOOST_TEST_REQUIRE(publish(0, 1));
    BOOST_TEST_REQUIRE(become_whole());
    BOOST_TEST_REQUIRE(publish(0, 2));
    lose_control(0);
    lose_gateway(1, 1);
    BOOST_TEST(publish(2, 3));
    start_gateway(1, 1);
    BOOST_TEST(become_whole());
    BOOST_TEST(publish(2, 4));
}

/// A gateway's link that subscribes without a plan and keeps the versions that replicas pass off as
/// confirmed.
struct scripted_subscriber {
    runtime::worker_pool pool{1};
    std::string endpoint = "tcp://" + find_free_address();
    wire::link link{pool.executor(), core::make_link_settings(), incarnation_id{random_id()}};
    std::mutex mutex; ///< guards the members below
    std::condition_variable received;
    std::map<std::string, std::uint64_t> confirmed; ///< version by sender
    std::map<std::string, int> hellos;              ///< by sender

    scripted_subscriber()
    {
        link.listen(endpoint, [this](const wire::reply_target&, const wire::envelope_ptr& message) {
            const std::lock_guard lock(mutex);
            if (message->has_hello()) {
                ++hellos[message->hello().sender()];
            }
            if (message->has_view() && message->view().confirmed()) {
                confirmed[message->view().sender()] = message->view().version();
            }
            received.notify_all();
        });
    }

    ~scripted_subscriber()
    {
        pool.stop();
        link.close();
    }

    void subscribe(const std::string& control)
    {
        wire::envelope message;
        message.mutable_subscribe()->set_endpoint(endpoint);
        message.mutable_subscribe()->set_role("entry");
        link.send(control, message);
    }
};

// Guards against an outdated plan from a former leader that transferred its leadership: its lease ends with
// the transfer, not with the time for which it was granted.
BOOST_FIXTURE_TEST_CASE(replica_that_transferred_its_leadership_confirms_no_plan, small_control_group)
{
    BOOST_TEST_REQUIRE(publish(0, 1));
    scripted_subscriber subscriber;
    std::string leader;
    while (leader.empty()) {
        for (const std::string& seed : common.seeds) {
            subscriber.subscribe(seed);
        }
        std::unique_lock lock(subscriber.mutex);
        subscriber.received.wait(lock);
        for (const auto& [sender, version] : subscriber.confirmed) {
            leader = version == 1 ? sender : leader;
        }
    }
    const auto found = std::find(common.seeds.begin(), common.seeds.end(), leader);
    BOOST_TEST_REQUIRE((found != common.seeds.end()));
    const auto number = static_cast<std::size_t>(found - common.seeds.begin());
    controls.at(number).process->stop();
    scripted_subscriber late;
    late.subscribe(leader);
    late.subscribe(leader);
    std::unique_lock lock(late.mutex);
    late.received.wait(lock, [&] { return late.hellos[leader] >= 2; });
    BOOST_TEST(late.confirmed.count(leader) == 0);
}

BOOST_AUTO_TEST_CASE(instance_is_needed_until_the_group_has_its_voters_and_a_standby)
{
    std::set<std::string> members{"tcp://10.0.0.1:1", "tcp://10.0.0.2:1", "tcp://10.0.0.3:1"};
    BOOST_TEST(gateway::needs_control_replica(members, "tcp://10.0.0.9:2", 2));
    members.insert({"tcp://10.0.0.4:2", "tcp://10.0.0.5:2", "tcp://10.0.0.6:2"});
    BOOST_TEST(!gateway::needs_control_replica(members, "tcp://10.0.0.9:2", 2));
    BOOST_TEST(gateway::needs_control_replica(members, "tcp://10.0.0.6:2", 2)); // had one before
}

// Guards against a second replica beside the control process of an instance.
BOOST_AUTO_TEST_CASE(former_replica_is_not_needed_beside_another_one_of_the_instance)
{
    const std::set<std::string> members{"tcp://10.0.0.1:1", "tcp://10.0.0.1:2"};
    BOOST_TEST(!gateway::needs_control_replica(members, "tcp://10.0.0.1:2", 2));
}

struct hosting_instance {
    fs::path data_folder = fs::temp_directory_path() / ("guavawick-test-" + to_hex(random_id()));
    runtime::worker_pool pool{1};
    core::fleet_settings settings;
    std::unique_ptr<gateway::control_host> host;

    hosting_instance()
    {
        settings.node = "node";
        settings.data_centre = "a";
        settings.tolerated_failures = 2;
        settings.data_folder = data_folder.string();
        settings.replica_link = "tcp://" + find_free_address();
        host = std::make_unique<gateway::control_host>(settings, pool);
    }

    ~hosting_instance()
    {
        host->stop();
        pool.stop();
        host->close();
        host.reset();
        fs::remove_all(data_folder);
    }

    [[nodiscard]] bool hosts() const { return fs::exists(data_folder / "group-0"); }

    /// Leaves the files of a replica, as a restart finds them.
    void create_files() const
    {
        replica::open_identity(settings.data_folder);
        const replica::log_store store(settings.data_folder + "/group-0");
    }

    [[nodiscard]] tcp::endpoint replica_endpoint() const
    {
        const std::string address = settings.replica_link.substr(std::string("tcp://").size());
        const std::size_t colon = address.rfind(':');
        return {asio::ip::make_address(address.substr(0, colon)),
                static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
    }

    /// @return whether the replica listens.
    [[nodiscard]] bool listens() const
    {
        asio::io_context io;
        tcp::socket socket(io);
        boost::system::error_code error;
        socket.connect(replica_endpoint(), error);
        return !error;
    }
};

// Guards against a group that waits for a replica whose disk was lost until two more disks may be lost.
BOOST_FIXTURE_TEST_CASE(replica_that_lost_its_disk_returns_without_a_delay, hosting_instance)
{
    const std::set<std::string> members{"tcp://10.0.0.1:1", settings.replica_link};
    host->consider(members, runtime_clock::now());
    BOOST_TEST(hosts());
}

BOOST_FIXTURE_TEST_CASE(further_replica_starts_only_after_the_delay, hosting_instance)
{
    const std::set<std::string> members{"tcp://10.0.0.1:1", "tcp://10.0.0.2:1"};
    const time_point now = runtime_clock::now();
    host->consider(members, now);
    BOOST_TEST(!hosts());
    host->consider(members, now + 10s);
    BOOST_TEST(hosts());
}

// Guards against a fleet that tolerates fewer failures than stated for longer than an instance counts as new.
BOOST_FIXTURE_TEST_CASE(further_replica_starts_sooner_while_the_group_lacks_voters, hosting_instance)
{
    std::set<std::string> members{"tcp://10.0.0.1:1", "tcp://10.0.0.2:1", "tcp://10.0.0.3:1",
                                  "tcp://10.0.0.4:1", "tcp://10.0.0.5:1"};
    const time_point now = runtime_clock::now();
    host->consider(members, now);
    host->consider(members, now + 1s);
    BOOST_TEST(!hosts());
    members.erase("tcp://10.0.0.5:1");
    host->consider(members, now + 1s);
    BOOST_TEST(hosts());
}

BOOST_FIXTURE_TEST_CASE(stopped_host_starts_no_replica, hosting_instance)
{
    host->stop();
    host->consider({"tcp://10.0.0.1:1", settings.replica_link}, runtime_clock::now());
    BOOST_TEST(!hosts());
}

// Guards against a voter that stays away until its gateway restarts, because its port was held for a moment.
BOOST_FIXTURE_TEST_CASE(replica_whose_port_was_held_starts_once_the_port_is_free, hosting_instance)
{
    create_files();
    asio::io_context io;
    tcp::acceptor holder(io, replica_endpoint());
    const time_point now = runtime_clock::now();
    host->start();
    host->consider({}, now + 10s);
    holder.close();
    BOOST_TEST(!listens());
    host->consider({}, now + 20s);
    BOOST_TEST(listens());
}

// Guards against a group that lacks a quorum for good: without a leader nobody reports the members, and the
// replica was tried again only once they were known.
BOOST_FIXTURE_TEST_CASE(replica_whose_files_could_not_be_opened_starts_once_they_can, hosting_instance)
{
    create_files();
    const fs::path log = data_folder / "group-0" / "log";
    fs::remove(log);
    fs::create_directory(log);
    const time_point now = runtime_clock::now();
    host->start();
    BOOST_TEST(!listens());
    fs::remove(log);
    host->consider({}, now + 1ms);
    BOOST_TEST(!listens()); // not each time that it is considered
    host->consider({}, now + 10s);
    BOOST_TEST(listens());
}

wire::control_hello make_report(const std::string& sender, const std::vector<std::string>& members)
{
    wire::control_hello hello;
    hello.set_sender(sender);
    for (const std::string& member : members) {
        hello.add_control(member);
    }
    return hello;
}

// Guards against members that count for as long as the gateway runs.
BOOST_AUTO_TEST_CASE(member_that_the_group_has_removed_is_not_listed)
{
    gateway::control_roster roster;
    const time_point now = runtime_clock::now();
    record_report(roster, make_report("a", {"a", "b", "c", "d"}), now);
    record_report(roster, make_report("b", {"a", "b", "c", "d"}), now);
    BOOST_TEST(list_members(roster, now).size() == 4U);
    record_report(roster, make_report("a", {"a", "b", "c"}), now);
    record_report(roster, make_report("b", {"a", "b", "c"}), now);
    BOOST_TEST((list_members(roster, now) == std::set<std::string>{"a", "b", "c"}));
}

BOOST_AUTO_TEST_CASE(report_of_a_removed_replica_or_of_a_blank_one_is_outvoted)
{
    gateway::control_roster roster;
    const time_point now = runtime_clock::now();
    record_report(roster, make_report("a", {"a", "b", "c"}), now);
    record_report(roster, make_report("b", {"a", "b", "c"}), now);
    record_report(roster, make_report("former", {"a", "former"}), now);
    record_report(roster, make_report("blank", {}), now);
    BOOST_TEST((list_members(roster, now) == std::set<std::string>{"a", "b", "c"}));
}

BOOST_AUTO_TEST_CASE(report_counts_for_as_long_as_its_replica_confirms_it)
{
    gateway::control_roster roster;
    const time_point now = runtime_clock::now();
    record_report(roster, make_report("a", {"a", "b"}), now);
    wire::control_hello unchanged;
    unchanged.set_sender("a");
    unchanged.set_unchanged(true);
    record_report(roster, unchanged, now + 2s);
    BOOST_TEST(list_members(roster, now + 4s).size() == 2U);
    BOOST_TEST(list_members(roster, now + 6s).empty());
}

BOOST_AUTO_TEST_CASE(instance_with_another_replica_or_without_news_is_not_needed)
{
    const std::set<std::string> members{"tcp://10.0.0.1:1", "tcp://10.0.0.2:1", "tcp://10.0.0.3:1"};
    BOOST_TEST(!gateway::needs_control_replica(members, "tcp://10.0.0.1:2", 2));
    BOOST_TEST(!gateway::needs_control_replica({}, "tcp://10.0.0.9:2", 2));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
