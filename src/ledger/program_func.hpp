// Life of a program, shared by the ledger's commands.
#pragma once

#include "ledger/ledger_type.hpp"

namespace guavawick::ledger {

/// Notes use of a program, which moves its expiry.
void touch_program(ledger_state& state, program_state& program);
/// Removes a program, refuses its waiting calls and remembers whose engine memory has to be freed.
void erase_program(ledger_state& state, const program_key& key, std::vector<dequeued_call>& refused);

} // namespace guavawick::ledger
