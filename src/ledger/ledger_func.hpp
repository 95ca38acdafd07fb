// The ledger's decisions. Deterministic: the same commands give the same state on every replica.
#pragma once

#include "ledger/ledger_type.hpp"

namespace guavawick::ledger {

/// Opens a call, or tells why not. @pre state.now is the command's group time.
open_result open_call(ledger_state& state, const open_request& wish);
/// Chooses where a program's next call ends soonest, with the prefill of what is not cached there. Pure.
/// @return the place among the choices; nothing if there are none.
std::optional<std::size_t> choose_upstream(const program_state* program,
                                           const std::vector<upstream_choice>& choices);
/// Closes a call. Only the attempt that the call is bound to is heard; a repeated report is accepted again.
close_result close_call(ledger_state& state, const close_request& report);
/// Ends a program. @return the calls that were waiting, with their refusal; false if there is no such
/// program.
bool end_program(ledger_state& state, const program_key& key, std::vector<dequeued_call>& refused);
/// Ends every program that was idle for longer than its limit.
void expire_programs(ledger_state& state, std::vector<dequeued_call>& refused);
/// Ends every program of an organisation.
void withdraw_organisation(ledger_state& state, const organisation_name& who,
                           std::vector<dequeued_call>& refused);
/// Notes that an upstream freed the memory of a program that is gone.
void record_memory_freed(ledger_state& state, const program_key& key, const upstream_name& upstream);
/// Notes that an upstream's incarnation is gone and with it all memory that it held.
void record_upstream_lost(ledger_state& state, const upstream_name& upstream);
/// Tells whether a program would expire now.
bool has_expired(const ledger_state& state);
/// @return the program, or nullptr.
const program_state* find_program(const ledger_state& state, const program_key& key);
/// @return the root that a program lives with, if it is an alias.
std::optional<program_name> find_alias(const ledger_state& state, const program_key& key);
/// @return the shard of a program among `shards`, from 0.
std::uint32_t shard_of(const organisation_name& organisation, const program_name& root, std::uint32_t shards);
/// Moves the group's time forward; it never goes back.
void advance_time(ledger_state& state, group_time now);

/// Encodes the whole state for a snapshot.
std::string encode_state(const ledger_state& state);
/// @throw decode_error if the bytes are no ledger state.
ledger_state decode_state(const std::string& bytes);

} // namespace guavawick::ledger
