// Admission of programs to a congested service, in single decisions and under the load of the band
// deployment.
#include "admission_world.hpp"

#include <boost/test/unit_test.hpp>

#include <set>

namespace guavawick::tests {

namespace {

using namespace admission;

/// A service whose turns have taken their least time and now take a multiple of it.
struct observed_service {
    admission_settings settings;
    service_admission service;
    time_point now{1h};

    /// Plays two seconds of turns. @param slow_instances of 20 instances that take `stretch` times as long.
    void observe(double stretch, std::uint64_t slow_instances = 20)
    {
        for (int i = 0; i < 60; ++i) {
            now += 33ms;
            turn_observation turn;
            turn.instance = 1 + static_cast<std::uint64_t>(i) % 20;
            const double factor = turn.instance <= slow_instances ? stretch : 1;
            turn.prompt_tokens = 4'000;
            turn.new_tokens = 700;
            turn.warm = true;
            turn.first_event_ms = 60 * factor;
            turn.stream_ms = 160 * factor;
            turn.events = 11;
            record_first_event(service.congestion, turn, settings.congestion, now);
            record_turn(service.congestion, turn, settings.congestion, now);
            if (i % 7 == 0) {
                record_program_start(service.congestion, settings.congestion, now);
            }
        }
    }

    double stretch() const { return estimate_stretch(service.congestion, settings.congestion, now); }

    start_decision decide(bool may_refuse, double share_use = 1, std::uint32_t priority = 0,
                          double random = 0)
    {
        start_request request;
        request.finish_in = 5s;
        request.time_left = 6s;
        request.share_use = share_use;
        request.priority = priority;
        request.may_refuse = may_refuse;
        request.random = random;
        return decide_start(service, request, settings, now);
    }
};

world_result play(world_settings settings, std::vector<world_result>* by_organisation = nullptr)
{
    admission_world world(settings);
    world.run();
    const world_result total = world.total();
    BOOST_TEST_MESSAGE("load aware " << settings.load_aware << ": asked " << total.asked << ", in time "
                                     << total.in_time << ", late " << total.late << ", refused "
                                     << total.refused << " (later turns " << total.later_refused << ", idle "
                                     << total.idle_refused << "), mean wait " << total.sum_wait / total.asked
                                     << " ms, longest " << total.max_wait << " ms");
    if (by_organisation != nullptr) {
        *by_organisation = world.results;
    }
    return total;
}

double served(const world_result& result)
{
    return (result.in_time + result.late) / result.asked;
}

} // namespace

BOOST_AUTO_TEST_SUITE(admission_test)

// Guards against a service that counts as congested because one instance is slow.
BOOST_FIXTURE_TEST_CASE(slow_minority_of_instances_is_no_congestion, observed_service)
{
    observe(1);
    observe(5, 6);
    BOOST_TEST(stretch() < 1.2);
    observe(3);
    BOOST_TEST(stretch() > 2.5);
}

// Guards against refusals after the load, and the observations, have ended.
BOOST_FIXTURE_TEST_CASE(estimate_ends_with_its_observations, observed_service)
{
    observe(1);
    observe(4);
    BOOST_TEST(stretch() > settings.max_stretch);
    now += settings.congestion.max_sample_age + 1ms;
    BOOST_TEST(stretch() == 1.0);
    BOOST_TEST((decide(true).action == start_action::start));
}

// Guards against an overload that becomes the usual state within its own duration.
BOOST_FIXTURE_TEST_CASE(least_time_outlasts_an_overload_of_twenty_seconds, observed_service)
{
    observe(1);
    for (int i = 0; i < 10; ++i) {
        observe(3);
    }
    BOOST_TEST(stretch() > settings.max_stretch);
}

// Guards against refusals while less than half of the slots are taken and nothing waits.
BOOST_FIXTURE_TEST_CASE(refusals_need_taken_slots_or_waiting_calls, observed_service)
{
    observe(1);
    observe(6);
    BOOST_TEST(!may_refuse({480, 239, 10, 0}, service.congestion, settings, now));
    BOOST_TEST(may_refuse({480, 240, 10, 0}, service.congestion, settings, now));
    BOOST_TEST(may_refuse({480, 20, 10, 1}, service.congestion, settings, now));
    for (int i = 0; i < 200; ++i) {
        const start_decision decision = decide(false, 9, 3);
        BOOST_TEST((decision.action != start_action::refuse));
        BOOST_TEST((decision.hold <= settings.max_hold));
    }
    BOOST_TEST((decide(true).action == start_action::refuse));
}

// Guards against callers that return at once, together, or when their time is over.
BOOST_FIXTURE_TEST_CASE(retry_after_is_spread_and_leaves_time, observed_service)
{
    observe(1);
    observe(6);
    std::set<duration> values;
    for (int i = 0; i < 50; ++i) {
        const start_decision decision = decide(true, 1, 0, i / 50.0);
        if (decision.action == start_action::refuse) {
            BOOST_TEST((decision.retry_after > 0ms));
            BOOST_TEST((decision.retry_after <= 5000ms / 3));
            values.insert(decision.retry_after);
        }
    }
    BOOST_TEST(values.size() > 3U);
    start_request hurried;
    hurried.finish_in = 600ms;
    hurried.time_left = 6s;
    hurried.may_refuse = true;
    BOOST_TEST((decide_start(service, hurried, settings, now).retry_after <= 200ms));
}

// Guards against a hot organisation, or a less urgent kind, that takes the starts of the others.
BOOST_FIXTURE_TEST_CASE(organisation_beyond_its_share_and_lower_priority_are_refused_first, observed_service)
{
    observe(1);
    observe(6);
    const auto count_starts = [this](double share_use, std::uint32_t priority) {
        observed_service copy = *this;
        int starts = 0;
        for (int i = 0; i < 100; ++i) {
            copy.now += 50ms;
            starts += copy.decide(true).action != start_action::refuse ? 1 : 0;
            if (copy.decide(true, share_use, priority).action != start_action::refuse) {
                starts -= 1;
            }
        }
        return starts; // of the one within its share, beyond those of the other
    };
    BOOST_TEST(count_starts(8, 0) > 0);
    BOOST_TEST(count_starts(1, 3) > 0);
}

// Guards against organisations with a large rate that count as beyond their share, and against those without.
BOOST_FIXTURE_TEST_CASE(share_is_weighted_by_rate, observed_service)
{
    record_work(service, "large", 90, 900'000, settings, now);
    record_work(service, "small", 10, 100'000, settings, now);
    BOOST_TEST(share_use(service, "large", settings, now) <= 1.0);
    BOOST_TEST(share_use(service, "small", settings, now) <= 1.0);
    record_work(service, "small", 10, 500'000, settings, now);
    BOOST_TEST(share_use(service, "small", settings, now) > 3.0);
    BOOST_TEST(share_use(service, "unknown", settings, now) == 0.0);
    now += 2min;
    BOOST_TEST(share_use(service, "small", settings, now) <= 1.0);
    BOOST_TEST(service.work.size() == 1U);
}

// Addresses the heaviest day of the band deployment: a burst of 2.3 times for 6 s, and an organisation at 7
// times its usual load for 8 s. Guards against an admission that does not bring more programs to their end in
// time than sending every call at once, and against what callers must not get.
BOOST_AUTO_TEST_CASE(more_programs_end_in_time_under_a_burst_and_a_hot_organisation)
{
    for (const double programs_per_second : {31.0, 40.0}) {
        world_settings settings;
        settings.programs_per_second = programs_per_second;
        settings.load_aware = false;
        const world_result before = play(settings);
        settings.load_aware = true;
        std::vector<world_result> organisations;
        const world_result after = play(settings, &organisations);
        BOOST_TEST(after.asked == before.asked);
        BOOST_TEST(after.in_time > 1.15 * before.in_time);
        BOOST_TEST(after.later_refused == 0);
        BOOST_TEST(after.idle_refused < 0.02 * after.asked);
        BOOST_TEST(after.max_wait <= 500);
        double sum = 0;
        for (const world_result& one : organisations) {
            sum += served(one);
        }
        const double mean = sum / static_cast<double>(organisations.size());
        for (const world_result& one : organisations) {
            BOOST_TEST(served(one) >= mean / 4);
        }
        BOOST_TEST(served(organisations.front()) < mean); // the hot one is refused first
    }
}

// Guards against refusals while engines keep up, also if one of them is slow.
BOOST_AUTO_TEST_CASE(usual_load_is_neither_refused_nor_held)
{
    world_settings settings;
    settings.programs_per_second = 20;
    settings.burst = 1;
    settings.hot_factor = 1;
    for (const std::size_t slow_engine : {std::size_t{1'000}, std::size_t{3}}) {
        settings.slow_engine = slow_engine;
        const world_result result = play(settings);
        BOOST_TEST(result.refused == 0);
        BOOST_TEST(result.sum_wait / result.asked < 1);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
