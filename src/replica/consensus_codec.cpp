// Conversions between consensus structs and wire messages.
#include "replica/consensus_codec.hpp"

#include "base/failure_type.hpp"
#include "wire.pb.h"

namespace guavawick::replica {

void to_wire(const consensus::log_entry& from, wire::log_record* into)
{
    into->set_term(from.term);
    into->set_index(from.index);
    into->set_kind(static_cast<std::uint32_t>(from.kind));
    into->set_payload(from.payload);
}

consensus::log_entry from_wire(const wire::log_record& from)
{
    consensus::log_entry entry;
    entry.term = from.term();
    entry.index = from.index();
    entry.kind = static_cast<consensus::entry_kind>(from.kind());
    entry.payload = from.payload();
    return entry;
}

void to_wire(const consensus::membership& from, wire::membership* into)
{
    for (const consensus::member& one : from.members) {
        wire::member* made = into->add_members();
        made->set_id(one.id.value);
        made->set_name(one.name);
        made->set_endpoint(one.endpoint);
        made->set_voter(one.voter);
        made->set_learner_target(one.learner_target);
        made->set_data_centre(one.data_centre);
    }
}

void to_wire(const consensus::snapshot& from, wire::snapshot_record* into)
{
    into->set_index(from.index);
    into->set_term(from.term);
    to_wire(from.members, into->mutable_members());
    into->set_state(from.state);
}

std::shared_ptr<const consensus::snapshot> from_wire(const wire::snapshot_record& from)
{
    auto made = std::make_shared<consensus::snapshot>();
    made->index = from.index();
    made->term = from.term();
    for (const wire::member& one : from.members().members()) {
        made->members.members.push_back({consensus::member_id{one.id()}, one.name(), one.endpoint(),
                                         one.voter(), one.learner_target(), one.data_centre()});
    }
    made->state = from.state();
    return made;
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
    consensus::message made;
    made.kind = static_cast<consensus::message_kind>(from.kind());
    made.from = consensus::member_id{from.from()};
    made.to = consensus::member_id{from.to()};
    made.term = from.term();
    made.index = from.index();
    made.log_term = from.log_term();
    made.commit = from.commit();
    made.reject = from.reject();
    made.transfer = from.transfer();
    made.sent_at = from.sent_at();
    for (const wire::log_record& entry : from.entries()) {
        made.entries.push_back(from_wire(entry));
    }
    if (from.has_snapshot()) {
        made.state = from_wire(from.snapshot());
    }
    return made;
}

} // namespace guavawick::replica
