// When the control group acknowledges an operator's order.
#include "small_control_group.hpp"

namespace guavawick::tests {

BOOST_AUTO_TEST_SUITE(acknowledgement_test)

// Guards against gateways that reach most control processes and serve an outdated plan: the control process
// that acknowledged the newest one formed a quorum with replicas that gateways host.
BOOST_FIXTURE_TEST_CASE(plan_that_most_control_processes_lack_is_in_force_but_not_acknowledged,
                        small_control_group)
{
    BOOST_TEST_REQUIRE(publish(0, 1));
    BOOST_TEST_REQUIRE(become_whole());
    // To the others, a process that has ended looks like one that is cut off from them.
    controls.at(0).end();
    controls.at(1).end();
    bool acknowledged = false;
    for (int i = 0; i < max_publications && !acknowledged && read_version(2) != 2; ++i) {
        acknowledged = publish_once(2, 2);
    }
    BOOST_TEST(read_version(2) == 2);
    BOOST_TEST(!acknowledged);
    controls.at(0) = {};
    start_control(0, common.seeds.at(0));
    BOOST_TEST(publish(2, 2));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
