// Tests of publishing (validation of whole sets, racing operators, resends, differences) and of the upstream
// directory with its quarantines.
#include "configuration/configuration_codec.hpp"
#include "configuration/configuration_func.hpp"
#include "configuration/directory_codec.hpp"
#include "configuration/directory_func.hpp"
#include "random_run.hpp"

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

publish_request make_request(revision_number expect_revision, const std::string& request_id,
                             const std::string& operator_name, object_set objects)
{
    return {expect_revision, request_id, operator_name, std::move(objects), 0};
}

struct published_once {
    configuration_state state;

    published_once()
    {
        BOOST_REQUIRE((publish(state, make_request(0, "first", "ops", small_set())).error == failure::none));
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_test)

BOOST_AUTO_TEST_CASE(refusal_of_an_invalid_set_lists_all_its_faults)
{
    object_set objects = small_set();
    objects[{object_kind::key, "bad"}] = {{"organisation", "nobody"}, {"sha256", "xyz"}};
    objects[{object_kind::organisation, "greedy"}] = {
        {"rate", "99999999"}, {"burst", "0"}, {"colour", "red"}};
    objects[{object_kind::route, "again"}] = {{"kind", "model"}, {"serves", "m"}};
    objects[{object_kind::organisation, "two words"}] = {{"rate", "1"}};
    configuration_state state;
    const publish_result result = publish(state, make_request(0, "r", "ops", objects));
    BOOST_TEST((result.error == failure::configuration_invalid));
    BOOST_TEST(result.faults.size() ==
               8U); // reference, hash, rate, burst, unknown field, duplicate route, name, missing burst
    BOOST_TEST(state.revision == 0U);
}

BOOST_FIXTURE_TEST_CASE(second_of_two_racing_operators_is_refused_with_the_name_of_the_first, published_once)
{
    BOOST_TEST((publish(state, make_request(1, "a", "ann", small_set())).error == failure::none));
    const publish_result second = publish(state, make_request(1, "b", "ben", small_set()));
    BOOST_TEST((second.error == failure::revision_conflict));
    BOOST_TEST(second.published_by == "ann");
    BOOST_TEST(second.revision == 2U);
}

BOOST_FIXTURE_TEST_CASE(resend_of_an_accepted_request_gets_its_first_result_after_later_revisions,
                        published_once)
{
    BOOST_REQUIRE((publish(state, make_request(1, "a", "ann", small_set())).error == failure::none));
    const publish_result resend = publish(state, make_request(0, "first", "ops", small_set()));
    BOOST_TEST((resend.error == failure::none));
    BOOST_TEST(resend.revision == 1U);
    BOOST_TEST(state.revision == 2U);
}

BOOST_FIXTURE_TEST_CASE(state_restored_from_a_snapshot_answers_resends_and_keeps_the_audit_trail,
                        published_once)
{
    directory_state directory;
    configuration_state restored;
    directory_state restored_directory;
    decode_control_state(encode_control_state(state, directory), restored, restored_directory);
    BOOST_TEST(publish(restored, make_request(0, "first", "ops", small_set())).revision == 1U);
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
    BOOST_TEST(
        (publish(state, make_request(1, "a", "ann", objects)).error == failure::configuration_invalid));
    objects.erase({object_kind::key, "k"});
    BOOST_TEST((publish(state, make_request(1, "b", "ann", objects)).error == failure::none));
    BOOST_TEST(state.withdrawn.count("demo") == 1U);
}

BOOST_AUTO_TEST_CASE(reader_that_missed_changes_catches_up_by_differences)
{
    for (const std::uint64_t seed : seeds({11, 12, 13})) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            std::uint64_t random = seed;
            configuration_state state;
            object_set objects = small_set();
            object_set reader;
            revision_number reader_revision = 0;
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
                    publish(state, make_request(state.revision, "q" + std::to_string(i), "ops", objects));
                BOOST_REQUIRE((result.error == failure::none));
                if (next_random(random) % 20 == 0) {
                    const auto changed = changes_since(state, reader_revision);
                    BOOST_REQUIRE(changed.has_value());
                    apply_changes(reader, *changed);
                    reader_revision = state.revision;
                    BOOST_TEST((reader == state.objects));
                }
            }
            apply_changes(reader, *changes_since(state, reader_revision));
            BOOST_TEST((reader == state.objects));
        }
    }
}

BOOST_FIXTURE_TEST_CASE(organisation_is_found_by_its_api_key_and_not_by_the_hash_of_it, published_once)
{
    const view_ptr published = make_view(1, state.objects);
    BOOST_REQUIRE(find_organisation_by_key(*published, "demo-key") != nullptr);
    BOOST_TEST(find_organisation_by_key(*published, "demo-key")->name.value == "demo");
    BOOST_TEST(find_organisation_by_key(*published, sha256_hex("demo-key")) == nullptr);
    BOOST_TEST(find_organisation_by_key(*published, "") == nullptr);
}

BOOST_AUTO_TEST_CASE(removal_of_an_earlier_incarnation_of_an_upstream_is_ignored)
{
    directory_state state;
    upstream_record record;
    record.name = upstream_name{"eng-a"};
    record.incarnation = incarnation_id{1};
    BOOST_TEST(announce(state, record));
    upstream_record removal = record;
    removal.removed = true;
    record.incarnation = incarnation_id{2};
    BOOST_TEST(announce(state, record));
    BOOST_TEST(!announce(state, removal));
    BOOST_TEST(!state.upstreams.at(record.name).removed);
}

BOOST_AUTO_TEST_CASE(body_is_quarantined_after_two_lost_incarnations_unless_its_request_finished_before)
{
    directory_state state;
    const body_hash crashing_body{7};
    const body_hash finished_body{8};
    BOOST_TEST(
        record_loss(state, upstream_name{"a"}, incarnation_id{1}, {crashing_body, finished_body}).empty());
    BOOST_TEST(record_loss(state, upstream_name{"a"}, incarnation_id{1}, {crashing_body})
                   .empty()); // a repeated report of the same loss counts once
    clear_suspicion(state, finished_body);
    BOOST_TEST(state.suspicions.count(finished_body) == 0U);
    BOOST_TEST(record_loss(state, upstream_name{"b"}, incarnation_id{2}, {crashing_body}).size() == 1U);
    clear_suspicion(state, crashing_body); // a request that finishes later does not lift the quarantine
    BOOST_TEST(state.suspicions.at(crashing_body).lost_incarnations.size() == quarantine_threshold);
    state.now += quarantine_duration;
    BOOST_TEST(has_expired_suspicion(state, state.now));
    drop_expired_suspicions(state);
    BOOST_TEST(state.suspicions.empty());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
