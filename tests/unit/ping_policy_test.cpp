// How often a link pings a peer.
#include "wire/ping_policy.hpp"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

using namespace wire;

BOOST_AUTO_TEST_SUITE(ping_policy_test)

// Load that it answers: 92 gateways and 36 stores that report to 5 control replicas.
BOOST_AUTO_TEST_CASE(control_replica_of_a_large_fleet_sends_no_more_pings_than_status_messages)
{
    constexpr int peers = 92 + 36 + 4;
    constexpr duration never_called = 24h;
    const auto pings_a_second = peers * (duration{1s} / ping_interval(never_called));
    const auto status_messages_a_second = 92 * 2 + 36 * 3;
    BOOST_TEST(pings_a_second <= status_messages_a_second);
}

BOOST_AUTO_TEST_CASE(connection_that_carries_calls_is_pinged_often_and_may_not_be_silent_longer)
{
    BOOST_TEST((ping_interval(0s) == call_ping_interval));
    BOOST_TEST((ping_interval(9s) == call_ping_interval));
    BOOST_TEST((silence_margin(9s) == duration{}));
}

BOOST_AUTO_TEST_CASE(connection_without_calls_may_be_silent_for_its_longer_interval)
{
    BOOST_TEST((ping_interval(10s) == idle_ping_interval));
    BOOST_TEST((silence_margin(10s) == idle_ping_interval - call_ping_interval));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
