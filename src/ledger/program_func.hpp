// Lifecycle of programs, shared by the ledger's commands.
#pragma once

#include "ledger/ledger_type.hpp"

namespace guavawick::ledger {

/// Sets a program's time of last use to the group's time and moves its expiry accordingly.
void touch_program(ledger_state& state, program_state& program);
/// Removes a program, refuses its waiting calls and records the upstreams that have to free its engine
/// memory.
/// @param refused receives the calls that were waiting, with their refusal.
void erase_program(ledger_state& state, const program_key& key, std::vector<dequeued_call>& refused);

} // namespace guavawick::ledger
