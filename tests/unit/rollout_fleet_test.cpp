// Rollouts through a real gateway and control replica over loopback, with scripted upstreams of two versions.
#include "small_fleet.hpp"

namespace guavawick::tests {

namespace {

constexpr duration rollout_length = 5s;

asio::awaitable<void> respond_failed(http::responder& responder)
{
    http::response response = http::make_response(500, "text/plain", "broken");
    response.headers["Signature"] = "s";
    co_await responder.send(std::move(response));
}

/// A fleet with an upstream of version v1 and one of v2.
struct two_versions : small_fleet {
    std::uint64_t calls_made = 0;
    std::uint64_t heartbeat = 2;

    two_versions() : small_fleet({true, false})
    {
        announce(upstream, "u1", 2, directory::instance_state::serving, "v1");
        announce(second_upstream, "u2", 1, directory::instance_state::serving, "v2");
    }

    /// Requests the rollout until it is acknowledged, as the operator does.
    bool request(const std::string& target)
    {
        while (true) {
            try {
                return run(control->start_rollout("s", target, rollout_length));
            }
            catch (const error&) {
                BOOST_TEST_MESSAGE("the request is sent again");
            }
        }
    }

    rollout::stage read_stage()
    {
        while (true) {
            try {
                return run(control->query_rollout("s")).value().current;
            }
            catch (const error&) {
                BOOST_TEST_MESSAGE("the query is sent again");
            }
        }
    }

    /// Calls until a stage is reached. @return the numbers of failed calls.
    int call_until(rollout::stage expected)
    {
        int failed = 0;
        while (true) {
            for (int i = 0; i < 20; ++i, ++calls_made) {
                failed += call("GET", "/once/x").status == 200 ? 0 : 1;
            }
            const rollout::stage current = read_stage();
            const bool ended = current == rollout::stage::completed || current == rollout::stage::rolled_back;
            if (current == expected || ended) {
                BOOST_TEST((current == expected));
                return failed;
            }
        }
    }

    /// Restarts control, whose directory is built anew by the upstreams' next heartbeats.
    void restart_leader()
    {
        restart_control();
        ++heartbeat;
        announce(upstream, "u1", heartbeat, directory::instance_state::serving, "v1");
        announce(second_upstream, "u2", heartbeat, directory::instance_state::serving, "v2");
    }

    void check_only_called(scripted_upstream& called, scripted_upstream& other)
    {
        called.calls = 0;
        other.calls = 0;
        for (int i = 0; i < 30; ++i) {
            BOOST_TEST(call("GET", "/once/x").status == 200);
        }
        BOOST_TEST(called.calls.load() == 30);
        BOOST_TEST(other.calls.load() == 0);
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(rollout_fleet_test)

BOOST_FIXTURE_TEST_CASE(good_version_gets_all_calls_once_it_is_completed, two_versions)
{
    BOOST_TEST(request("v2"));
    BOOST_TEST(request("v2"));
    BOOST_TEST(!request("v3"));
    BOOST_TEST(call_until(rollout::stage::completed) == 0);
    check_only_called(second_upstream, upstream);
}

BOOST_FIXTURE_TEST_CASE(bad_version_is_rolled_back_within_the_limit_on_its_calls, two_versions)
{
    second_upstream.respond = respond_failed;
    BOOST_TEST(request("v2"));
    second_upstream.calls = 0;
    call_until(rollout::stage::rolled_back);
    BOOST_TEST(second_upstream.calls.load() > 0);
    BOOST_TEST(second_upstream.calls.load() <= 50 + static_cast<int>(calls_made) / 10);
    check_only_called(upstream, second_upstream);
}

// Guards against a stage that is lost or reverted with the leader of control, and against a rollout that no
// leader continues.
BOOST_FIXTURE_TEST_CASE(rollout_survives_restarts_of_control_in_each_stage, two_versions)
{
    BOOST_TEST(request("v2"));
    call_until(rollout::stage::probing);
    restart_leader();
    call_until(rollout::stage::switching);
    restart_leader();
    BOOST_TEST((read_stage() != rollout::stage::probing));
    call_until(rollout::stage::completed);
    restart_leader();
    BOOST_TEST((read_stage() == rollout::stage::completed));
    check_only_called(second_upstream, upstream);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
