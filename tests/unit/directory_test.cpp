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

BOOST_AUTO_TEST_CASE(request_that_crashed_three_instances_is_quarantined)
{
    crash_table table;
    const time_point now{1h};
    record_crash(table, 7, "a", now);
    record_crash(table, 7, "a", now);
    record_crash(table, 7, "b", now);
    BOOST_TEST(!is_quarantined(table, 7, now));
    record_crash(table, 7, "c", now);
    BOOST_TEST(is_quarantined(table, 7, now));
    BOOST_TEST(!is_quarantined(table, 8, now));
    BOOST_TEST(!is_quarantined(table, 7, now + crash_retention));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
