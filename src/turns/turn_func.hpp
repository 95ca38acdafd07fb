// Commands on turns and their encoding. Pure; a command runs once it is committed.
#pragma once

#include "turns/turn_type.hpp"

namespace guavawick::wire {
class open_turn;
class close_turn;
} // namespace guavawick::wire

namespace guavawick::turns {

/// Brings the group's time forward and drops what is no longer kept.
void advance_time(turn_state& state, group_time now);
/// Reserves tokens for a turn and collects what it continues from. A resend gets the same answer.
/// The budget may be exceeded by at most one turn's tokens.
open_result open_turn(turn_state& state, const open_request& wish);
/// Settles a turn and keeps it where asked. A resend changes nothing.
void close_turn(turn_state& state, const close_request& ended);

/// @return the state as bytes, for snapshots.
std::string encode_state(const turn_state& state);
/// @throw decode_error if the bytes are no state.
turn_state decode_state(const std::string& bytes);
/// @return the wish in a message.
open_request from_wire(const wire::open_turn& message);
/// @return the end of a turn in a message.
close_request from_wire(const wire::close_turn& message);

} // namespace guavawick::turns
