// Fuzz tests of the decoders of external input: arbitrary or damaged bytes give a value or a typed error,
// never a crash.
#include "base/failure_type.hpp"
#include "base/settings_type.hpp"
#include "caller/chat.hpp"
#include "configuration/directory_codec.hpp"
#include "ledger/ledger_func.hpp"
#include "operator/operator_json.hpp"
#include "operator/set_file.hpp"
#include "replica/consensus_codec.hpp"
#include "replica/log_store.hpp"
#include "wire.pb.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace guavawick::tests {
namespace {

/// Runs a decoder. @return true if it gave a value or a typed error; any other exception escapes.
template <typename Decoder>
bool gives_value_or_typed_error(const Decoder& decode)
{
    try {
        decode();
    }
    catch (const error&) {
        return true;
    }
    return true; // any other exception propagates and fails the property
}

std::string damage(std::string bytes, std::uint32_t position, std::uint8_t value)
{
    if (!bytes.empty()) {
        bytes[position % bytes.size()] = static_cast<char>(value);
    }
    return bytes;
}

std::string valid_ledger_state()
{
    ledger::ledger_state state;
    ledger::open_request request;
    request.key = {organisation_name{"o"}, program_name{"p"}};
    request.request_id = request_name{"r"};
    request.assignment.attempt = attempt_id{4};
    request.messages = {{"user", "text"}};
    ledger::open_call(state, request);
    return ledger::encode_state(state);
}

const std::string valid_settings = "data_centre = \"dc1\"\n[[replicas]]\nname = \"r1\"\nendpoint = "
                                   "\"tcp://127.0.0.1:1\"\n[entry]\nqueue_limit = \"30s\"\n";
const std::string valid_set =
    "[organisation.a]\nrate = 1.5\nburst = 2\n[key.k]\norganisation = \"a\"\nsha256 = \"00\"\n";
const std::string valid_chat = R"({"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":5})";

} // namespace

BOOST_AUTO_TEST_SUITE(decoder_test)

RC_BOOST_PROP(settings_of_arbitrary_text_are_read_or_refused, (const std::string& text))
{
    RC_ASSERT(gives_value_or_typed_error([&] { parse_settings(text, "f", role_kind::entry); }));
}

RC_BOOST_PROP(damaged_settings_are_read_or_refused, (std::uint32_t position, std::uint8_t value))
{
    RC_ASSERT(gives_value_or_typed_error(
        [&] { parse_settings(damage(valid_settings, position, value), "f", role_kind::entry); }));
}

RC_BOOST_PROP(damaged_set_files_are_read_or_refused, (std::uint32_t position, std::uint8_t value))
{
    RC_ASSERT(gives_value_or_typed_error(
        [&] { operators::parse_configuration(damage(valid_set, position, value), "f"); }));
}

RC_BOOST_PROP(damaged_chat_requests_are_read_or_refused,
              (std::uint32_t position, std::uint8_t value, const std::string& text))
{
    RC_ASSERT(
        gives_value_or_typed_error([&] { caller::parse_chat_request(damage(valid_chat, position, value)); }));
    RC_ASSERT(gives_value_or_typed_error([&] { caller::parse_chat_request(text); }));
    caller::completion_builder builder;
    builder.feed(damage(valid_chat, position, value));
    RC_ASSERT(!builder.body().empty());
}

RC_BOOST_PROP(damaged_publish_requests_are_read_or_refused, (std::uint32_t position, std::uint8_t value))
{
    const std::string valid =
        R"({"expect_revision":1,"request_id":"r","objects":{"organisation":{"a":{"rate":"1"}}}})";
    wire::apply_request into;
    RC_ASSERT(gives_value_or_typed_error(
        [&] { operators::decode_apply_request(damage(valid, position, value), &into); }));
}

RC_BOOST_PROP(damaged_ledger_snapshots_are_read_or_refused, (std::uint32_t position, std::uint8_t value))
{
    static const std::string valid = valid_ledger_state();
    RC_ASSERT(gives_value_or_typed_error([&] { ledger::decode_state(damage(valid, position, value)); }));
}

RC_BOOST_PROP(arbitrary_control_snapshots_are_read_or_refused, (const std::string& bytes))
{
    configuration::configuration_state published;
    configuration::directory_state directory;
    RC_ASSERT(gives_value_or_typed_error(
        [&] { configuration::decode_control_state(bytes, published, directory); }));
}

RC_BOOST_PROP(arbitrary_wire_messages_are_read_or_refused, (const std::string& bytes))
{
    wire::envelope message;
    if (message.ParseFromString(bytes) && message.has_consensus()) {
        RC_ASSERT(gives_value_or_typed_error([&] { replica::from_wire(message.consensus()); }));
    }
    RC_ASSERT(gives_value_or_typed_error([&] { consensus::decode_membership(bytes); }));
}

RC_BOOST_PROP(consensus_message_survives_its_encoding,
              (std::uint64_t term, std::uint64_t index, const std::string& payload, bool reject))
{
    consensus::message sent;
    sent.kind = consensus::message_kind::append_request;
    sent.from = consensus::member_id{1};
    sent.to = consensus::member_id{2};
    sent.term = term;
    sent.index = index;
    sent.reject = reject;
    sent.entries.push_back({term, index + 1, consensus::entry_kind::command, payload});
    wire::consensus_message encoded;
    replica::to_wire(sent, 3, &encoded);
    const consensus::message read = replica::from_wire(encoded);
    RC_ASSERT(read.term == term && read.index == index && read.reject == reject);
    RC_ASSERT(read.entries.size() == 1U && read.entries[0].payload == payload);
}

RC_BOOST_PROP(damaged_log_records_never_change_an_intact_prefix,
              (const std::vector<std::string>& payloads, std::uint32_t position, std::uint8_t value))
{
    std::string bytes;
    std::vector<std::string> records;
    for (const std::string& payload : payloads) {
        records.push_back(payload + "x");
        bytes += replica::frame_record(records.back());
    }
    const std::string damaged = damage(bytes, position, value);
    std::size_t valid = 0;
    try {
        const std::vector<std::string_view> read = replica::read_records(damaged, valid);
        RC_ASSERT(read.size() <= records.size());
        for (std::size_t i = 0; i < read.size(); ++i) {
            RC_ASSERT(read[i] == records[i]);
        }
    }
    catch (const storage_error&) {
        RC_ASSERT(damaged != bytes);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
