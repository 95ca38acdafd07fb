// Conversions between the structs of the consensus algorithm and wire messages.
#include "replica/consensus_codec.hpp"

#include "base/failure_type.hpp"
#include "wire.pb.h"

namespace guavawick::replica {

void to_wire(const consensus::log_entry& from, wire::log_record* into)
{
    into->set_term(from.term);
    into->set_index(from.index);
    into->set_kind(static_cast<std::uint32_t>(from.kind));
    into->set_payload(from.payload.str());
}

consensus::log_entry from_wire(wire::log_record&& from)
{
    consensus::log_entry entry;
    entry.term = from.term();
    entry.index = from.index();
    entry.kind = static_cast<consensus::entry_kind>(from.kind());
    entry.payload = std::move(*from.mutable_payload());
    return entry;
}

void to_wire(const consensus::membership& from, wire::membership* into)
{
    for (const consensus::member& member : from.members) {
        wire::member* member_message = into->add_members();
        member_message->set_id(member.id.value);
        member_message->set_name(member.name);
        member_message->set_endpoint(member.endpoint);
        member_message->set_voter(member.voter);
        member_message->set_learner_target(member.learner_target);
        member_message->set_data_centre(member.data_centre);
        member_message->set_auxiliary(member.auxiliary);
    }
}

void to_wire(const consensus::snapshot& from, wire::snapshot_record* into)
{
    into->set_index(from.index);
    into->set_term(from.term);
    to_wire(from.members, into->mutable_members());
    into->set_state(from.state);
    into->set_offered_bytes(from.offered_bytes);
}

std::shared_ptr<const consensus::snapshot> from_wire(const wire::snapshot_record& from)
{
    auto snapshot = std::make_shared<consensus::snapshot>();
    snapshot->index = from.index();
    snapshot->term = from.term();
    for (const wire::member& member : from.members().members()) {
        snapshot->members.members.push_back({consensus::member_id{member.id()}, member.name(),
                                             member.endpoint(), member.voter(), member.learner_target(),
                                             member.data_centre(), member.auxiliary()});
    }
    snapshot->state = from.state();
    snapshot->offered_bytes = from.offered_bytes();
    return snapshot;
}

void to_wire(const consensus::message& from, std::uint32_t group, wire::consensus_message* into)
{
    into->set_group(group);
    into->set_kind(static_cast<std::uint32_t>(from.kind));
    into->set_from(from.from.value);
    into->set_to(from.to.value);
    into->set_term(from.term);
    into->set_index(from.index);
    into->set_log_term(from.log_term);
    into->set_commit(from.commit);
    into->set_reject(from.reject);
    into->set_transfer(from.transfer);
    into->set_sent_at(from.sent_at);
    for (const consensus::log_entry& entry : from.entries) {
        to_wire(entry, into->add_entries());
    }
    if (from.state) {
        to_wire(*from.state, into->mutable_snapshot());
    }
}

consensus::message from_wire(const wire::consensus_message& from)
{
    if (from.kind() > static_cast<std::uint32_t>(consensus::message_kind::timeout_now)) {
        throw decode_error("unknown kind of consensus message");
    }
    consensus::message message;
    message.kind = static_cast<consensus::message_kind>(from.kind());
    message.from = consensus::member_id{from.from()};
    message.to = consensus::member_id{from.to()};
    message.term = from.term();
    message.index = from.index();
    message.log_term = from.log_term();
    message.commit = from.commit();
    message.reject = from.reject();
    message.transfer = from.transfer();
    message.sent_at = from.sent_at();
    for (const wire::log_record& entry : from.entries()) {
        message.entries.push_back(from_wire(wire::log_record(entry)));
    }
    if (from.has_snapshot()) {
        message.state = from_wire(from.snapshot());
    }
    return message;
}

} // namespace guavawick::replica
