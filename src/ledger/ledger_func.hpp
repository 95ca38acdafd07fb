// Commands and queries on a shard's ledger state. Deterministic: the same commands, in the same order, give
// the same state on every replica.
#pragma once

#include "ledger/ledger_type.hpp"

namespace guavawick::ledger {

/// Opens a call, or returns why it can't be opened.
/// @pre state.now is the command's group time.
open_result open_call(ledger_state& state, const open_request& request);
/// Chooses the upstream at which a program's next call is expected to end soonest, counting the prefill of
/// history that is not cached there. Pure.
/// @param program nullptr for a program without history.
/// @return an index into `choices`; nothing if it is empty.
std::optional<std::size_t> choose_upstream(const program_state* program,
                                           const std::vector<upstream_choice>& choices);
/// Closes a call. Reports of attempts other than the one that the call is assigned to are rejected; a
/// repeated report of a closed call is accepted again.
close_result close_call(ledger_state& state, const close_request& report);
/// Ends a program and its sub-agents.
/// @param refused receives the calls that were waiting, with their refusal.
/// @return false if there is no such program.
bool end_program(ledger_state& state, const program_key& key, std::vector<dequeued_call>& refused);
/// Ends every program that was idle for longer than its limit and drops aliases that are no longer used.
/// @param refused receives the calls that were waiting, with their refusal.
void expire_programs(ledger_state& state, std::vector<dequeued_call>& refused);
/// Ends every program of an organisation.
/// @param refused receives the calls that were waiting, with their refusal.
void withdraw_organisation(ledger_state& state, const organisation_name& organisation,
                           std::vector<dequeued_call>& refused);
/// Records that an upstream freed the engine memory of a program that has ended.
void record_memory_freed(ledger_state& state, const program_key& key, const upstream_name& upstream);
/// Records that an upstream's incarnation was lost, and with it all engine memory that it held.
void record_upstream_lost(ledger_state& state, const upstream_name& upstream);
/// Returns whether the expiry of at least one program is due.
bool has_expired(const ledger_state& state);
/// @return the program, or nullptr.
const program_state* find_program(const ledger_state& state, const program_key& key);
/// @return the root in whose shard a program lives, if the program is an alias.
std::optional<program_name> find_alias(const ledger_state& state, const program_key& key);
/// @return the shard of a root program, from 0 to `shards` - 1.
/// @pre shards > 0.
std::uint32_t shard_of(const organisation_name& organisation, const program_name& root, std::uint32_t shards);
/// Moves the group's time forward; it never goes back.
void advance_time(ledger_state& state, group_time now);

/// Encodes the whole state for a snapshot.
std::string encode_state(const ledger_state& state);
/// Decodes a snapshot.
/// @throw decode_error if the bytes are not an encoded ledger state.
ledger_state decode_state(const std::string& bytes);

} // namespace guavawick::ledger
