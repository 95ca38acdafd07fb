// Rollouts without a network: decisions under simulated calls, the limit on exposure, and the state machine.
#include "core/fleet_state.hpp"
#include "directory/directory_func.hpp"
#include "simulated_rollout.hpp"
#include "wire.pb.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace guavawick::tests {

using namespace rollout;

namespace {

constexpr std::uint64_t seed_count = 12;

using setup = std::function<void(simulated_rollout&)>;

/// Simulates a rollout that must be completed before 0.96 of its duration. Doesn't check that no calls run at
/// old upstreams then: with a lost leader, the bound of the duration may end them.
void check_completed(const setup& prepare)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        simulated_rollout simulated(seed);
        prepare(simulated);
        simulated.run();
        BOOST_TEST(to_string(simulated.record().current) == std::string("completed"),
                   "seed " << seed << ": " << simulated.reason);
        BOOST_TEST(to_seconds(simulated.ended_at_age) < 0.96 * to_seconds(simulated.length));
    }
}

/// Simulates a rollout that must be rolled back, within the limits on calls to a bad version.
void check_rolled_back(const setup& prepare)
{
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        simulated_rollout simulated(seed);
        prepare(simulated);
        simulated.run();
        BOOST_TEST(to_string(simulated.record().current) == std::string("rolled_back"), "seed " << seed);
        BOOST_TEST(simulated.within_exposure_limit(), "seed " << seed << ": " << simulated.target_calls
                                                              << " of " << simulated.calls << " calls");
        if (simulated.fiftieth_bad_at != time_point::max()) {
            BOOST_TEST((simulated.last_target_call_at - simulated.fiftieth_bad_at < 5s), "seed " << seed);
        }
    }
}

setup with_failures(double share, std::function<bool(const attempt_conditions&)> when, double rate = 400)
{
    return [=](simulated_rollout& simulated) {
        simulated.rate = rate;
        simulated.target = [&simulated, share, when](const attempt_conditions& conditions) {
            return attempt_outcome{when(conditions) && simulated.draw() < share, 1};
        };
    };
}

setup with_slowness(double factor, std::function<bool(const attempt_conditions&)> when)
{
    return [=](simulated_rollout& simulated) {
        simulated.target = [factor, when](const attempt_conditions& conditions) {
            return attempt_outcome{false, when(conditions) ? factor : 1};
        };
    };
}

bool always(const attempt_conditions&)
{
    return true;
}

core::fleet_state state_with_rollout()
{
    core::fleet_state state;
    wire::fleet_command command;
    command.mutable_start_rollout()->set_service("s");
    command.mutable_start_rollout()->set_target("v2");
    command.mutable_start_rollout()->set_duration_ms(12000);
    core::execute(state, command);
    return state;
}

bool change(core::fleet_state& state, stage next, std::uint64_t age_ms = 0)
{
    wire::fleet_command command;
    command.mutable_change_rollout()->set_service("s");
    command.mutable_change_rollout()->set_number(state.rollouts.at("s").number);
    command.mutable_change_rollout()->set_stage_changes(true);
    command.mutable_change_rollout()->set_stage(static_cast<std::uint32_t>(next));
    command.mutable_change_rollout()->set_age_ms(age_ms);
    return core::execute(state, command);
}

} // namespace

BOOST_AUTO_TEST_SUITE(rollout_test)

// Guards against a good version that is rolled back for failures that the old ones have as well.
BOOST_AUTO_TEST_CASE(good_version_is_completed_under_noise)
{
    check_completed([](simulated_rollout&) {});
    check_completed([](simulated_rollout& simulated) { simulated.old_failures = 0.06; });
    check_completed([](simulated_rollout& simulated) { simulated.rate = 20; });
}

BOOST_AUTO_TEST_CASE(good_version_is_completed_though_the_leader_is_replaced_in_any_stage)
{
    for (const duration lost_at : {200ms, 4000ms, 6500ms, 8500ms, 9000ms, 9700ms}) {
        check_completed([lost_at](simulated_rollout& simulated) { simulated.leader_losses = {lost_at}; });
    }
}

BOOST_AUTO_TEST_CASE(version_that_is_bad_at_once_is_rolled_back)
{
    check_rolled_back(with_failures(0.3, always));
    check_rolled_back(with_failures(0.15, always));
    check_rolled_back(with_failures(0.3, always, 40));
    check_rolled_back(with_slowness(3, always));
    check_rolled_back([](simulated_rollout& simulated) {
        with_failures(0.3, always)(simulated);
        simulated.leader_losses = {1000ms};
    });
}

BOOST_AUTO_TEST_CASE(version_that_becomes_bad_is_rolled_back)
{
    for (const duration begin : {4000ms, 7000ms}) {
        const auto later = [begin](const attempt_conditions& now) { return now.age > begin; };
        check_rolled_back(with_failures(0.3, later));
        check_rolled_back(with_slowness(4, later));
    }
}

BOOST_AUTO_TEST_CASE(version_that_is_bad_on_one_route_is_rolled_back)
{
    const auto narrow = [](const attempt_conditions& now) { return now.route == "narrow"; };
    check_rolled_back(with_failures(0.3, narrow));
    check_rolled_back(with_slowness(4, narrow));
}

BOOST_AUTO_TEST_CASE(version_that_is_bad_under_load_is_rolled_back)
{
    const auto loaded = [](const attempt_conditions& now) { return now.load > 0.25; };
    check_rolled_back(with_failures(0.4, loaded));
    check_rolled_back(with_failures(0.4, loaded, 100));
    check_rolled_back(with_slowness(4, loaded));
}

// Guards against gateways that go on exposing calls while control can't be reached.
BOOST_AUTO_TEST_CASE(gateway_that_is_cut_off_exposes_no_calls_once_its_lease_has_ended)
{
    exposure_use use;
    const time_point start{1h};
    const lease lent{1, 0.5, 0, 0s, start, start + lease_time};
    const exposure_limits limits{1, 1000, 12s};
    std::uint64_t exposed = 0;
    for (time_point now = start; now < start + 10s; now += 10ms) {
        const bool chosen = choose_exposure(use, lent, limits, "r", 0, now);
        exposed += chosen ? 1 : 0;
        BOOST_TEST((!chosen || now < start + lease_time));
    }
    BOOST_TEST(exposed > 100U);
}

// Guards against a sum over the gateways above the limit, whichever shares the leaders lend.
RC_BOOST_PROP(exposure_stays_within_the_limit, (std::vector<std::uint8_t> shares, std::uint8_t route_count))
{
    exposure_use use;
    const exposure_limits limits{0.1, 3, 12s};
    const time_point start{1h};
    for (std::size_t i = 0; i < shares.size(); ++i) {
        const time_point now = start + 10ms * static_cast<int>(i);
        const lease lent{1, shares[i] / 255.0, 0, now - start, now, now + lease_time};
        choose_exposure(use, lent, limits, std::to_string(i % (route_count + 1)), 0.9, now);
        RC_ASSERT(static_cast<double>(use.exposed) <= 0.1 * static_cast<double>(use.calls) + 3);
    }
}

// Guards against evidence that depends on the order, loss or repetition of reports, which differ between the
// replicas and thus between leaders.
RC_BOOST_PROP(evidence_does_not_depend_on_the_order_of_reports, (std::vector<std::uint8_t> order))
{
    std::vector<std::pair<std::uint64_t, gateway_report>> reports;
    for (std::uint64_t incarnation = 1; incarnation <= 3; ++incarnation) {
        for (std::uint64_t sequence = 1; sequence <= 4; ++sequence) {
            gateway_report message;
            message.sequence = sequence;
            message.received_at = time_point{1h};
            service_evidence& evidence = message.services["s"];
            evidence.number = 1;
            evidence.calls = 10 * incarnation * sequence;
            evidence.outcomes[{"r", true}].failures = incarnation * sequence;
            evidence.outcomes[{"r", true}].durations[3] = 2 * incarnation * sequence;
            reports.emplace_back(incarnation, message);
        }
    }
    evidence_table expected;
    for (const auto& [incarnation, message] : reports) {
        merge_report(expected, incarnation, message);
    }
    evidence_table shuffled;
    std::vector<std::pair<std::uint64_t, gateway_report>> sent = reports;
    for (const std::uint8_t position : order) {
        const auto& repeated = reports[position % reports.size()];
        sent.insert(sent.begin() + static_cast<std::ptrdiff_t>(position % sent.size()), repeated);
    }
    for (const auto& [incarnation, message] : sent) {
        merge_report(shuffled, incarnation, message);
    }
    const evidence_totals left = sum_evidence(expected, "s", 1, time_point{1h});
    const evidence_totals right = sum_evidence(shuffled, "s", 1, time_point{1h});
    RC_ASSERT(left.calls == right.calls);
    RC_ASSERT(left.outcomes.at({"r", true}).failures == right.outcomes.at({"r", true}).failures);
    RC_ASSERT(left.outcomes.at({"r", true}).durations == right.outcomes.at({"r", true}).durations);
    RC_ASSERT(sum_evidence(shuffled, "s", 2, time_point{1h}).calls == 0U);
}

// Guards against commands of a former leader that revert a stage.
BOOST_AUTO_TEST_CASE(stage_is_never_reverted)
{
    core::fleet_state state = state_with_rollout();
    BOOST_TEST(!change(state, stage::completed));
    BOOST_TEST(change(state, stage::switching));
    BOOST_TEST(!change(state, stage::probing));
    BOOST_TEST(change(state, stage::completed));
    BOOST_TEST(!change(state, stage::rolling_back));
    state = state_with_rollout();
    BOOST_TEST(change(state, stage::rolling_back));
    BOOST_TEST(!change(state, stage::switching));
    BOOST_TEST(change(state, stage::rolled_back));
    BOOST_TEST(!change(state, stage::rolled_back));
}

BOOST_AUTO_TEST_CASE(requests_are_idempotent_and_one_rollout_runs_at_a_time)
{
    record_table table;
    BOOST_TEST((start(table, "s", "v2", 12s, 5) == start_result::started));
    BOOST_TEST((start(table, "s", "v2", 12s, 6) == start_result::repeated));
    BOOST_TEST((start(table, "s", "v3", 12s, 7) == start_result::conflict));
    BOOST_TEST(table.at("s").number == 5U);
    change_stage(table, "s", 5, stage::rolling_back, 8);
    BOOST_TEST((start(table, "s", "v3", 12s, 9) == start_result::conflict));
    change_stage(table, "s", 5, stage::rolled_back, 10);
    // Sent again after the end, it must not begin anew.
    BOOST_TEST((start(table, "s", "v2", 12s, 11) == start_result::repeated));
    BOOST_TEST((start(table, "s", "v3", 12s, 12) == start_result::started));
    BOOST_TEST(!accepts_version(table.at("s"), false, "v2"));
    BOOST_TEST(accepts_version(table.at("s"), false, "v1"));
    BOOST_TEST(!accepts_version(table.at("s"), false, "v3"));
}

// Guards against a rollout that leaves no version for the calls that don't go to its target: one to the
// version of the last completed rollout after another one was rolled back.
RC_BOOST_PROP(calls_have_an_old_version_until_a_rollout_is_completed, (std::vector<std::uint8_t> commands))
{
    record_table table;
    std::uint64_t revision = 1;
    for (const std::uint8_t command : commands) {
        const std::string target = "v" + std::to_string(1 + command % 3);
        const bool good = command / 3 % 2 == 0;
        start(table, "s", target, 12s, ++revision);
        const std::uint64_t number = table.at("s").number;
        for (const stage next : {stage::probing, stage::switching,
                                 good ? stage::completed : stage::rolling_back, stage::rolled_back}) {
            change_stage(table, "s", number, next, ++revision);
            const record& rollout = table.at("s");
            const bool accepted =
                accepts_version(rollout, false, "v0") || accepts_version(rollout, false, "v1") ||
                accepts_version(rollout, false, "v2") || accepts_version(rollout, false, "v3");
            RC_ASSERT(rollout.current == stage::completed || accepted);
        }
    }
}

// Guards against a return to the accepted version that is reported as anything but completed.
BOOST_AUTO_TEST_CASE(rollout_to_the_version_in_use_is_completed_at_once)
{
    record_table table;
    start(table, "s", "v2", 12s, 5);
    change_stage(table, "s", 5, stage::switching, 6);
    change_stage(table, "s", 5, stage::completed, 7);
    start(table, "s", "v3", 12s, 8);
    change_stage(table, "s", 8, stage::rolling_back, 9);
    change_stage(table, "s", 8, stage::rolled_back, 10);
    BOOST_TEST((start(table, "s", "v2", 12s, 11) == start_result::started));
    BOOST_TEST((table.at("s").current == stage::completed));
    BOOST_TEST(accepts_version(table.at("s"), true, "v2"));
    BOOST_TEST((start(table, "s", "v2", 12s, 12) == start_result::repeated));
    BOOST_TEST((start(table, "s", "v4", 12s, 13) == start_result::started));
    BOOST_TEST(accepts_version(table.at("s"), false, "v2"));
    BOOST_TEST(!accepts_version(table.at("s"), false, "v3"));
}

BOOST_AUTO_TEST_CASE(only_the_completed_version_is_the_old_one_of_the_next_rollout)
{
    record_table table;
    start(table, "s", "v2", 12s, 5);
    change_stage(table, "s", 5, stage::switching, 6);
    change_stage(table, "s", 5, stage::completed, 7);
    start(table, "s", "v3", 12s, 8);
    BOOST_TEST(accepts_version(table.at("s"), false, "v2"));
    BOOST_TEST(!accepts_version(table.at("s"), false, "v1"));
    BOOST_TEST(accepts_version(table.at("s"), true, "v3"));
}

BOOST_AUTO_TEST_CASE(snapshots_hold_rollouts_and_older_ones_are_read)
{
    core::fleet_state state = state_with_rollout();
    change(state, stage::switching, 8000);
    state.rollouts.at("s").baseline = "v1";
    state.rollouts.at("s").rejected = {"v0"};
    const core::fleet_state restored = core::decode_fleet_state(core::encode_state(state));
    const record& rollout = restored.rollouts.at("s");
    BOOST_TEST((rollout.current == stage::switching));
    BOOST_TEST((rollout.length == 12s));
    BOOST_TEST((rollout.age == 8s));
    BOOST_TEST(rollout.target == "v2");
    BOOST_TEST(rollout.baseline == "v1");
    BOOST_TEST(rollout.rejected.contains("v0"));
    BOOST_TEST(rollout.number == state.rollouts.at("s").number);
    BOOST_TEST(rollout.changed_at == state.rollouts.at("s").changed_at);
    wire::fleet_snapshot older;
    older.set_revision(7);
    BOOST_TEST(core::decode_fleet_state(older.SerializeAsString()).rollouts.empty());
}

// Guards against a change of version that gateways never learn of.
BOOST_AUTO_TEST_CASE(another_version_is_a_change_of_the_instance)
{
    directory::directory known;
    directory::instance_record announced;
    announced.id = directory::instance_id{"i"};
    announced.sequence = 1;
    directory::merge(known, announced, time_point{1h});
    announced.sequence = 2;
    announced.version = "v2";
    BOOST_TEST((directory::merge(known, announced, time_point{1h}) == directory::merge_result::changed));
}

// Guards against a rollout that is completed, so that the old upstreams stop, although no new one serves.
BOOST_AUTO_TEST_CASE(rollout_without_serving_target_is_not_completed)
{
    record running;
    running.service = "s";
    running.target = "v2";
    running.number = 1;
    running.length = 12s;
    running.current = stage::switching;
    const evidence_totals totals;
    judgement judged;
    const decision early = decide(judged, {running, totals, 10s, 3s, false, true}, 50);
    BOOST_TEST(!early.next.has_value());
    const decision late = decide(judged, {running, totals, 11900ms, 5s, false, true}, 50);
    BOOST_TEST((late.next == stage::rolling_back));
    const decision serving = decide(judged, {running, totals, 11900ms, 5s, true, true}, 50);
    BOOST_TEST((serving.next == stage::completed));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
