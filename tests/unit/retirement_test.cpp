// Retirement of stores: what a control replica may refuse.
#include "small_fleet.hpp"

#include <optional>

namespace guavawick::tests {

BOOST_AUTO_TEST_SUITE(retirement_test)

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
