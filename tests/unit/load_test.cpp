// Learned speed and reported pace of instances.
#include "load/load_func.hpp"

#include <boost/test/unit_test.hpp>

#include <cmath>

namespace guavawick::tests {

using namespace load;

namespace {

/// One instance of a service whose other instances respond as usual.
struct one_of_many {
    instance_timing instance;
    instance_timing others;
    service_timing service;
    load_settings settings;
    time_point now{1h};

    one_of_many()
    {
        for (int i = 0; i < 50; ++i) {
            record(others, 1);
        }
    }

    /// Records a streamed call of 11 events that takes `factor` times the usual time.
    void record(instance_timing& target, int factor)
    {
        call_timing call;
        call.first_event = 100ms * factor;
        call.all_pauses = 200ms * factor;
        call.events = 11;
        call.response = 300ms * factor;
        record_call(target, service, call, settings, now);
    }

    double slowness() { return recent_slowness(instance, settings, now); }
};

} // namespace

BOOST_AUTO_TEST_SUITE(load_test)

BOOST_FIXTURE_TEST_CASE(slow_instance_is_recognised_within_some_calls_and_forgotten_in_10_s, one_of_many)
{
    for (int i = 0; i < 6; ++i) {
        record(instance, 4);
        record(others, 1);
        now += 100ms;
    }
    BOOST_TEST(slowness() > 2);
    BOOST_TEST(recent_slowness(others, settings, now) < 1.2);
    now += 10s;
    BOOST_TEST(slowness() < 1.2);
}

BOOST_FIXTURE_TEST_CASE(single_outlier_changes_little, one_of_many)
{
    record(instance, 1000);
    BOOST_TEST(slowness() < 1.6);
    record(instance, 1);
    record(instance, 1);
    BOOST_TEST(slowness() < 1.3);
}

// Guards against all instances being avoided when the whole service becomes slower.
BOOST_FIXTURE_TEST_CASE(slowness_of_the_whole_service_is_the_new_usual, one_of_many)
{
    for (int i = 0; i < 200; ++i) {
        record(instance, 3);
        record(others, 3);
        now += 50ms;
    }
    BOOST_TEST(slowness() < 1.1);
}

BOOST_FIXTURE_TEST_CASE(plain_service_is_compared_by_its_response_time, one_of_many)
{
    call_timing call;
    call.response = 100ms;
    for (int i = 0; i < 20; ++i) {
        record_call(others, service, call, settings, now);
    }
    call.response = 500ms;
    for (int i = 0; i < 5; ++i) {
        record_call(instance, service, call, settings, now);
    }
    BOOST_TEST(slowness() > 2);
}

BOOST_FIXTURE_TEST_CASE(pace_is_bounded_and_halves_its_distance_from_the_usual, one_of_many)
{
    record_pace(instance, 400, settings, now);
    BOOST_TEST(recent_pace(instance, settings, now) == 4);
    BOOST_TEST(std::abs(recent_pace(instance, settings, now + 300ms) - 2) < 1e-6);
    BOOST_TEST(recent_pace(instance, settings, now + 5s) < 1.01);
    record_pace(instance, 0, settings, now);
    BOOST_TEST(recent_pace(instance, settings, now) == settings.min_pace);
    record_pace(instance, 4'000'000'000U, settings, now);
    BOOST_TEST(std::abs(recent_pace(instance, settings, now) - settings.max_pace) < 1e-6);
    BOOST_TEST(recent_pace(instance_timing{}, settings, now) == 1);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
