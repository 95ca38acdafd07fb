// Bytes from outside that are not UTF-8: in messages between processes, stored records and log lines.
#include "base/failure_type.hpp"
#include "caller/problem.hpp"
#include "core/fleet_state.hpp"
#include "small_fleet.hpp"
#include "wire.pb.h"
#include "wire/link_type.hpp"

#include <boost/json.hpp>

#include <fstream>
#include <sstream>

namespace guavawick::tests {

namespace {

const std::string latin1_id = "caf\xe9-1";
constexpr int max_polls = 10000; ///< of a metric that stays as it is
constexpr int probe_calls = 20;  ///< enough that two serving upstreams both get some

template <typename Message>
Message decode(const Message& message)
{
    Message decoded;
    BOOST_TEST(decoded.ParseFromString(message.SerializeAsString()));
    return decoded;
}

/// A fleet with two upstreams, and a process that sends its messages as a control replica of an older version
/// does, which accepts any id.
struct fleet_with_older_replica : small_fleet {
    wire::link older_replica{pool.executor(), link_settings{}, incarnation_id{random_id()}};

    ~fleet_with_older_replica() { older_replica.close(); }

    static void add_record(wire::envelope& message, const std::string& id, const std::string& address,
                           directory::instance_state state)
    {
        wire::instance_record* record = message.mutable_directory()->add_instances();
        record->set_id(id);
        record->set_service("s");
        record->set_address(address);
        record->set_data_centre("a");
        record->set_slots(4);
        record->set_state(static_cast<std::uint32_t>(state));
        record->set_started_ms(1);
        record->set_sequence(5);
    }

    /// Sends one update with an instance whose id is not UTF-8 and the drain of the first upstream, then one
    /// with the second upstream. Returns once the gateway knows the latter.
    void send_updates(const std::string& endpoint)
    {
        wire::envelope drain;
        add_record(drain, latin1_id, "127.0.0.1:9", directory::instance_state::serving);
        add_record(drain, "u1", upstream.address, directory::instance_state::draining);
        older_replica.send(endpoint, drain);
        wire::envelope addition;
        add_record(addition, "u2", second_upstream.address, directory::instance_state::serving);
        older_replica.send(endpoint, addition);
        for (int i = 0; i < max_polls && read_metric("guavawick_gateway_instances") < 2; ++i) {
        }
        upstream.calls = 0;
        for (int i = 0; i < probe_calls; ++i) {
            BOOST_TEST(call("GET", "/safe/x").status == 200);
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(unreadable_text_test)

// Guards against a drain that a gateway never learns, since another record of the same message is not UTF-8.
BOOST_FIXTURE_TEST_CASE(drain_beside_an_unreadable_id_reaches_the_gateway, fleet_with_older_replica)
{
    send_updates(common_settings.link);
    BOOST_TEST(upstream.calls == 0);
    BOOST_TEST(second_upstream.calls == probe_calls);
    BOOST_TEST(read_metric("guavawick_gateway_instances") == 2);
}

// As before, on the way from one control replica to another and from there to the gateway.
BOOST_FIXTURE_TEST_CASE(drain_beside_an_unreadable_id_passes_a_control_replica, fleet_with_older_replica)
{
    send_updates(common_settings.seeds.front());
    BOOST_TEST(upstream.calls == 0);
    BOOST_TEST(second_upstream.calls == probe_calls);
    BOOST_TEST(read_metric("guavawick_gateway_instances") == 2);
}

BOOST_FIXTURE_TEST_CASE(turn_whose_ids_are_not_text_is_kept_and_continued, small_fleet)
{
    upstream.respond = respond_with_events;
    BOOST_TEST(call("POST", "/turn/x", {{"Call", latin1_id}, {"Program", latin1_id}}, "x").status == 200);
    BOOST_TEST(call("POST", "/turn/x", {{"Previous", latin1_id}, {"Program", latin1_id}}, "y").status == 200);
    BOOST_TEST(upstream.last_body == "xone\ntwo\ny");
}

// Guards against messages, log entries and snapshots that can't be decoded for one field's bytes.
BOOST_AUTO_TEST_CASE(message_with_bytes_that_are_not_text_decodes)
{
    wire::envelope message;
    message.mutable_directory()->add_instances()->set_id(latin1_id);
    message.mutable_directory()->add_leaving()->set_id(latin1_id);
    message.mutable_directory()->add_crashes()->set_instance(latin1_id);
    BOOST_TEST(decode(message).directory().instances(0).id() == latin1_id);
    message.mutable_fleet()->mutable_evacuation()->set_data_centre(latin1_id);
    BOOST_TEST(decode(message).fleet().evacuation().data_centre() == latin1_id);
    message.mutable_retire()->set_name(latin1_id);
    BOOST_TEST(decode(message).retire().name() == latin1_id);
    message.mutable_run()->set_content_type(latin1_id);
    message.mutable_run()->set_path("/" + latin1_id);
    BOOST_TEST(decode(message).run().content_type() == latin1_id);
    message.mutable_chunk()->set_content_type(latin1_id);
    BOOST_TEST(decode(message).chunk().content_type() == latin1_id);
    message.mutable_program()->set_program(latin1_id);
    BOOST_TEST(decode(message).program().program() == latin1_id);
    core::fleet_state state;
    state.evacuated_data_centres.insert(latin1_id);
    BOOST_TEST(
        core::decode_fleet_state(core::encode_state(state)).evacuated_data_centres.contains(latin1_id));
}

// A field of type `string` makes the whole message undecodable when its bytes are not UTF-8.
BOOST_AUTO_TEST_CASE(messages_have_no_field_that_must_be_text)
{
    std::ifstream file(std::string(GUAVAWICK_SOURCE_DIR) + "/src/wire/wire.proto");
    std::ostringstream text;
    text << file.rdbuf();
    BOOST_TEST(text.str().find("bytes organisation") != std::string::npos);
    BOOST_TEST(text.str().find("string ") == std::string::npos);
}

// Guards against error bodies that JSON readers refuse, for a path or id of the caller's.
BOOST_AUTO_TEST_CASE(problem_about_unreadable_bytes_is_valid_json)
{
    const refusal_error refusal(failure::not_found, "nothing is served at /" + latin1_id);
    const boost::json::value body = boost::json::parse(caller::problem_body(refusal, latin1_id));
    BOOST_TEST(body.at("detail").as_string() == R"(nothing is served at /caf\xe9-1)");
    BOOST_TEST(body.at("request_id").as_string() == R"(caf\xe9-1)");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
