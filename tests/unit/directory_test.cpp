// Announcements of upstream instances: late, doubled, reused and displaced ones.
#include "directory/directory_func.hpp"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

using namespace directory;
using namespace std::chrono_literals;

namespace {

instance_record make_record(const std::string& id, std::uint64_t started, std::uint64_t sequence)
{
    instance_record made;
    made.id = instance_id{id};
    made.service = "s";
    made.address = "10.0.0.1:80";
    made.data_centre = data_centre_name{"a"};
    made.slots = 4;
    made.started_ms = started;
    made.sequence = sequence;
    return made;
}

struct one_instance {
    directory::directory known;
    time_point now{1h};

    one_instance() { merge(known, make_record("i", 100, 5), now); }
    [[nodiscard]] instance_state state(const std::string& id = "i") const
    {
        return known.instances.at(instance_id{id}).state;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(directory_test)

BOOST_FIXTURE_TEST_CASE(word_that_is_late_changes_nothing, one_instance)
{
    instance_record late = make_record("i", 100, 4);
    late.state = instance_state::draining;
    BOOST_TEST((merge(known, late, now) == merge_result::stale));
    BOOST_TEST((state() == instance_state::serving));
}

BOOST_FIXTURE_TEST_CASE(word_with_the_same_content_renews_only, one_instance)
{
    const std::uint64_t version = known.version;
    BOOST_TEST((merge(known, make_record("i", 100, 6), now + 1s) == merge_result::renewed));
    BOOST_TEST(known.version == version);
}

BOOST_FIXTURE_TEST_CASE(draining_instance_with_a_later_ready_word_stays_draining, one_instance)
{
    instance_record word = make_record("i", 100, 6);
    word.state = instance_state::draining;
    merge(known, word, now);
    merge(known, make_record("i", 100, 7), now);
    BOOST_TEST((state() == instance_state::draining));
}

BOOST_FIXTURE_TEST_CASE(left_instance_with_a_late_word_stays_gone, one_instance)
{
    BOOST_TEST(mark_gone(known, instance_id{"i"}, 100, now));
    BOOST_TEST((merge(known, make_record("i", 100, 9), now) == merge_result::stale));
    BOOST_TEST((state() == instance_state::gone));
}

BOOST_FIXTURE_TEST_CASE(new_incarnation_under_the_same_id_serves_with_a_lower_sequence, one_instance)
{
    mark_gone(known, instance_id{"i"}, 100, now);
    BOOST_TEST((merge(known, make_record("i", 200, 1), now) == merge_result::changed));
    BOOST_TEST((state() == instance_state::serving));
}

BOOST_FIXTURE_TEST_CASE(leave_of_an_older_incarnation_changes_nothing, one_instance)
{
    merge(known, make_record("i", 200, 1), now);
    BOOST_TEST(!mark_gone(known, instance_id{"i"}, 100, now));
    BOOST_TEST((state() == instance_state::serving));
}

BOOST_FIXTURE_TEST_CASE(address_with_a_later_instance_displaces_the_older_one, one_instance)
{
    merge(known, make_record("j", 200, 1), now);
    BOOST_TEST((state("i") == instance_state::gone));
    BOOST_TEST((state("j") == instance_state::serving));
}

BOOST_FIXTURE_TEST_CASE(late_first_word_of_a_displaced_instance_does_not_serve, one_instance)
{
    merge(known, make_record("older", 50, 3), now);
    BOOST_TEST((state("older") == instance_state::gone));
    BOOST_TEST((state("i") == instance_state::serving));
}

BOOST_AUTO_TEST_CASE(request_that_killed_three_instances_is_quarantined_for_a_while)
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
