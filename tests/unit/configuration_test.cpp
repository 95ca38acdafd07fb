// Publishing: whole-set checks, racing operators, resends, differences.
#include "configuration/configuration_codec.hpp"
#include "configuration/configuration_func.hpp"
#include "configuration/directory_codec.hpp"
#include "configuration/directory_func.hpp"
#include "random_test_options.hpp"

#include "base/hash_func.hpp"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

using namespace configuration;

namespace {

object_set small_set()
{
    object_set objects;
    objects[{object_kind::organisation, "demo"}] = {{"rate", "10"}, {"burst", "5"}};
    objects[{object_kind::key, "k"}] = {{"organisation", "demo"}, {"sha256", sha256_hex("demo-key")}};
    objects[{object_kind::route, "chat"}] = {{"kind", "model"}, {"serves", "m"}};
    return objects;
}

publication wish(revision_number expected, const std::string& request, const std::string& who,
                 object_set objects)
{
    return {expected, request, who, std::move(objects), 0};
}

struct published_once {
    configuration_state state;

    published_once()
    {
        BOOST_REQUIRE((publish(state, wish(0, "first", "ops", small_set())).why == failure::none));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_test)

BOOST_AUTO_TEST_CASE(set_with_several_faults_is_refused_with_every_fault)
{
    object_set objects = small_set();
    objects[{object_kind::key, "bad"}] = {{"organisation", "nobody"}, {"sha256", "xyz"}};
    objects[{object_kind::organisation, "greedy"}] = {
        {"rate", "99999999"}, {"burst", "0"}, {"colour", "red"}};
    objects[{object_kind::route, "again"}] = {{"kind", "model"}, {"serves", "m"}};
    objects[{object_kind::organisation, "two words"}] = {{"rate", "1"}};
    configuration_state state;
    const publish_result result = publish(state, wish(0, "r", "ops", objects));
    BOOST_TEST((result.why == failure::configuration_invalid));
    BOOST_TEST(result.faults.size() ==
               8U); // reference, hash, rate, burst, unknown field, route twice, name, missing burst
    BOOST_TEST(state.revision == 0U);
}

BOOST_FIXTURE_TEST_CASE(operators_with_equal_revisions_race_and_the_second_is_told_by_whom, published_once)
{
    BOOST_TEST((publish(state, wish(1, "a", "ann", small_set())).why == failure::none));
    const publish_result second = publish(state, wish(1, "b", "ben", small_set()));
    BOOST_TEST((second.why == failure::revision_conflict));
    BOOST_TEST(second.published_by == "ann");
    BOOST_TEST(second.revision == 2U);
}

BOOST_FIXTURE_TEST_CASE(resend_of_an_accepted_request_gets_its_first_answer_after_later_revisions,
                        published_once)
{
    BOOST_REQUIRE((publish(state, wish(1, "a", "ann", small_set())).why == failure::none));
    const publish_result again = publish(state, wish(0, "first", "ops", small_set()));
    BOOST_TEST((again.why == failure::none));
    BOOST_TEST(again.revision == 1U);
    BOOST_TEST(state.revision == 2U);
}

BOOST_FIXTURE_TEST_CASE(state_restored_from_a_snapshot_answers_resends_and_keeps_the_audit_trail,
                        published_once)
{
    directory_state directory;
    configuration_state restored;
    directory_state restored_directory;
    decode_control_state(encode_control_state(state, directory), restored, restored_directory);
    BOOST_TEST(publish(restored, wish(0, "first", "ops", small_set())).revision == 1U);
    BOOST_REQUIRE(restored.audit.size() == 1U);
    BOOST_TEST(restored.audit.front().operator_name == "ops");
    BOOST_TEST(!restored.audit.front().changes.empty());
}

BOOST_FIXTURE_TEST_CASE(audit_trail_never_shows_a_whole_key_hash, published_once)
{
    for (const std::string& change : state.audit.front().changes) {
        BOOST_TEST(change.find(sha256_hex("demo-key")) == std::string::npos);
    }
}

BOOST_FIXTURE_TEST_CASE(key_of_a_withdrawn_organisation_is_refused_as_a_dangling_reference, published_once)
{
    object_set objects = small_set();
    objects.erase({object_kind::organisation, "demo"});
    BOOST_TEST((publish(state, wish(1, "a", "ann", objects)).why == failure::configuration_invalid));
    objects.erase({object_kind::key, "k"});
    BOOST_TEST((publish(state, wish(1, "b", "ann", objects)).why == failure::none));
    BOOST_TEST(state.withdrawn.count("demo") == 1U);
}

BOOST_AUTO_TEST_CASE(reader_that_missed_500_changes_catches_up_by_differences_or_whole)
{
    for (const std::uint64_t seed : seeds({11, 12, 13})) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::uint64_t random = seed;
            configuration_state state;
            object_set objects = small_set();
            object_set reader;
            revision_number seen = 0;
            for (int i = 0; i < 500; ++i) {
                const std::string name = "o" + std::to_string(next_random(random) % 40);
                const object_key key{object_kind::organisation, name};
                if (next_random(random) % 3 == 0) {
                    objects.erase(key);
                }
                else {
                    objects[key] = {{"rate", std::to_string(1 + next_random(random) % 50)}, {"burst", "5"}};
                }
                const publish_result result =
                    publish(state, wish(state.revision, "q" + std::to_string(i), "ops", objects));
                BOOST_REQUIRE((result.why == failure::none));
                if (next_random(random) % 20 == 0) {
                    const auto changed = changes_since(state, seen);
                    BOOST_REQUIRE(changed.has_value());
                    apply_changes(reader, *changed);
                    seen = state.revision;
                    BOOST_TEST((reader == state.objects));
                }
            }
            apply_changes(reader, *changes_since(state, seen));
            BOOST_TEST((reader == state.objects));
        }
    }
}

BOOST_FIXTURE_TEST_CASE(key_is_found_by_its_hash_only, published_once)
{
    const view_ptr view = make_view(1, state.objects);
    BOOST_REQUIRE(find_by_key(*view, "demo-key") != nullptr);
    BOOST_TEST(find_by_key(*view, "demo-key")->name.value == "demo");
    BOOST_TEST(find_by_key(*view, sha256_hex("demo-key")) == nullptr);
    BOOST_TEST(find_by_key(*view, "") == nullptr);
}

BOOST_AUTO_TEST_CASE(removal_of_an_upstream_that_came_back_under_a_new_incarnation_is_ignored)
{
    directory_state state;
    upstream_record record;
    record.name = upstream_name{"eng-a"};
    record.incarnation = incarnation_id{1};
    BOOST_TEST(announce(state, record));
    upstream_record gone = record;
    gone.removed = true;
    record.incarnation = incarnation_id{2};
    BOOST_TEST(announce(state, record));
    BOOST_TEST(!announce(state, gone));
    BOOST_TEST(!state.upstreams.at(record.name).removed);
}

BOOST_AUTO_TEST_CASE(body_is_quarantined_after_two_lost_incarnations_and_bystanders_clear_themselves)
{
    directory_state state;
    const body_hash killer{7};
    const body_hash bystander{8};
    BOOST_TEST(note_loss(state, upstream_name{"a"}, incarnation_id{1}, {killer, bystander}).empty());
    BOOST_TEST(note_loss(state, upstream_name{"a"}, incarnation_id{1}, {killer})
                   .empty()); // the same loss told again
    clear_suspicion(state, bystander);
    BOOST_TEST(state.suspicions.count(bystander) == 0U);
    BOOST_TEST(note_loss(state, upstream_name{"b"}, incarnation_id{2}, {killer}).size() == 1U);
    clear_suspicion(state, killer); // a late success does not lift a quarantine
    BOOST_TEST(state.suspicions.at(killer).lost.size() == quarantine_losses);
    state.now += quarantine_limit;
    BOOST_TEST(has_lapsed_quarantine(state, state.now));
    drop_lapsed_quarantines(state);
    BOOST_TEST(state.suspicions.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
