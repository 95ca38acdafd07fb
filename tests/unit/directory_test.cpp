// Merging of instance announcements that are late, duplicated or from a reused address; quarantine of
// requests.
#include "directory/directory_func.hpp"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

using namespace directory;
using namespace std::chrono_literals;

namespace {

instance_record make_record(const std::string& id, std::uint64_t started, std::uint64_t sequence)
{
    instance_record record;
    record.id = instance_id{id};
    record.service = "s";
    record.address = "10.0.0.1:80";
    record.data_centre = data_centre_name{"a"};
    record.slots = 4;
    record.started_ms = started;
    record.sequence = sequence;
    return record;
}

struct directory_fixture {
    directory::directory known;
    time_point now{1h};

    directory_fixture() { merge(known, make_record("i", 100, 5), now); }
    [[nodiscard]] instance_state state(const std::string& id = "i") const
    {
        return known.instances.at(instance_id{id}).state;
    }
};

/// Crashes of instances that ran the request with hash 7.
struct crashes_fixture {
    crash_table table;
    time_point start{1h};

    bool crash(const std::string& instance, std::uint64_t started_ms, duration sent, duration crashed)
    {
        return record_crash(table, {7, instance_id{instance}, started_ms, start + sent, start + crashed});
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(directory_test)

BOOST_FIXTURE_TEST_CASE(late_announcement_changes_nothing, directory_fixture)
{
    instance_record late = make_record("i", 100, 4);
    late.state = instance_state::draining;
    BOOST_TEST((merge(known, late, now) == merge_result::stale));
    BOOST_TEST((state() == instance_state::serving));
}

BOOST_FIXTURE_TEST_CASE(announcement_with_the_same_content_does_not_change_the_version, directory_fixture)
{
    const std::uint64_t version = known.version;
    BOOST_TEST((merge(known, make_record("i", 100, 6), now + 1s) == merge_result::renewed));
    BOOST_TEST(known.version == version);
}

BOOST_FIXTURE_TEST_CASE(draining_instance_that_announces_serving_stays_draining, directory_fixture)
{
    instance_record announcement = make_record("i", 100, 6);
    announcement.state = instance_state::draining;
    merge(known, announcement, now);
    merge(known, make_record("i", 100, 7), now);
    BOOST_TEST((state() == instance_state::draining));
}

BOOST_FIXTURE_TEST_CASE(late_announcement_of_a_gone_instance_is_stale, directory_fixture)
{
    BOOST_TEST(mark_gone(known, instance_id{"i"}, 100, now));
    BOOST_TEST((merge(known, make_record("i", 100, 9), now) == merge_result::stale));
    BOOST_TEST((state() == instance_state::gone));
}

BOOST_FIXTURE_TEST_CASE(new_incarnation_with_the_same_id_serves_despite_a_lower_sequence, directory_fixture)
{
    mark_gone(known, instance_id{"i"}, 100, now);
    BOOST_TEST((merge(known, make_record("i", 200, 1), now) == merge_result::changed));
    BOOST_TEST((state() == instance_state::serving));
}

BOOST_FIXTURE_TEST_CASE(marking_an_older_incarnation_as_gone_changes_nothing, directory_fixture)
{
    merge(known, make_record("i", 200, 1), now);
    BOOST_TEST(!mark_gone(known, instance_id{"i"}, 100, now));
    BOOST_TEST((state() == instance_state::serving));
}

BOOST_FIXTURE_TEST_CASE(later_instance_displaces_the_older_one_at_its_address, directory_fixture)
{
    merge(known, make_record("j", 200, 1), now);
    BOOST_TEST((state("i") == instance_state::gone));
    BOOST_TEST((state("j") == instance_state::serving));
}

BOOST_FIXTURE_TEST_CASE(late_first_announcement_of_a_displaced_instance_is_gone, directory_fixture)
{
    merge(known, make_record("older", 50, 3), now);
    BOOST_TEST((state("older") == instance_state::gone));
    BOOST_TEST((state("i") == instance_state::serving));
}

BOOST_FIXTURE_TEST_CASE(request_that_crashed_three_instances_is_quarantined, crashes_fixture)
{
    crash("a", 1, 0ms, 100ms);
    BOOST_TEST(!crash("a", 1, 0ms, 100ms)); // reported twice
    crash("b", 1, 200ms, 300ms);
    BOOST_TEST(!is_quarantined(table, 7, start + 300ms));
    crash("c", 1, 400ms, 500ms);
    BOOST_TEST(is_quarantined(table, 7, start + 500ms));
    BOOST_TEST(!is_quarantined(table, 8, start + 500ms));
    BOOST_TEST(!is_quarantined(table, 7, start + 500ms + crash_retention));
}

// Guards against a request that crashes instances for ever: those that came back under the ids that they had
// counted once.
BOOST_FIXTURE_TEST_CASE(request_that_crashed_three_incarnations_of_one_instance_is_quarantined,
                        crashes_fixture)
{
    crash("a", 1, 0ms, 100ms);
    crash("a", 2, 200ms, 300ms);
    crash("a", 3, 400ms, 500ms);
    BOOST_TEST(is_quarantined(table, 7, start + 500ms));
}

// Guards against refusing a request that many callers send: a failure of several instances ends all of them.
BOOST_FIXTURE_TEST_CASE(crashes_of_attempts_that_ran_at_the_same_time_count_once, crashes_fixture)
{
    crash("a", 1, 0ms, 1000ms);
    crash("b", 1, 100ms, 1010ms);
    crash("c", 1, 900ms, 1020ms);
    BOOST_TEST(count_crashes(table, 7) == 1U);
    BOOST_TEST(!is_quarantined(table, 7, start + 1020ms));
}

BOOST_FIXTURE_TEST_CASE(crashes_are_counted_alike_in_any_order_of_arrival, crashes_fixture)
{
    crash("c", 1, 400ms, 500ms);
    crash("a", 1, 0ms, 100ms);
    crash("d", 1, 50ms, 450ms);
    crash("b", 1, 200ms, 300ms);
    BOOST_TEST(count_crashes(table, 7) == 3U);
}

BOOST_FIXTURE_TEST_CASE(request_that_an_instance_ran_to_its_end_is_no_suspect, crashes_fixture)
{
    crash("a", 1, 0ms, 100ms);
    crash("b", 1, 200ms, 300ms);
    BOOST_TEST(clear_suspect(table, 7));
    BOOST_TEST(!clear_suspect(table, 7));
    crash("c", 1, 400ms, 500ms);
    BOOST_TEST(!is_quarantined(table, 7, start + 500ms));
}

BOOST_FIXTURE_TEST_CASE(reports_of_one_request_are_bounded_and_removed_after_their_retention, crashes_fixture)
{
    for (int i = 0; i < 100; ++i) {
        crash("i" + std::to_string(i), 1, i * 10ms, i * 10ms + 5ms);
    }
    BOOST_TEST(table.suspects.at(7).size() == max_reports_per_suspect);
    remove_expired(table, start + crash_retention + 10s);
    BOOST_TEST(table.suspects.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
