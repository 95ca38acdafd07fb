// Commands on turns, and the encoding of their state. Pure functions; a command is executed once it is
// committed.
#pragma once

#include "turns/turn_type.hpp"

#include <functional>
#include <string_view>

namespace guavawick::wire {
class open_turn;
class close_turn;
class record_stream;
class stream_origin;
} // namespace guavawick::wire

namespace guavawick::turns {

/// Advances the group's time and removes turns and program accounts whose retention has ended.
void advance_time(turn_state& state, group_time now);
/// Opens a turn: reserves its tokens in the program's budget and collects the history that it continues from.
/// While the turn may run, its history and its program's account are kept. A resent request gets the same
/// result. The budget may be exceeded by at most the tokens of one turn.
open_result open_turn(turn_state& state, const open_request& request);
/// Records the origin of a stream for as long as it may be taken up. An origin of a later attempt is kept.
void record_stream(turn_state& state, const stream_request& request);
/// @return the contents of a turn and of those that it continues from, oldest first; empty if one is missing.
std::vector<content_range> find_history(const turn_state& state, const turn_key& last);
/// Selects a part of a history: whole contents, at least one if any is left.
/// @param first index of the first content. @param max_bytes of the part, unless a single content is larger.
std::vector<content_range> select_part(const std::vector<content_range>& history, std::size_t first,
                                       std::uint64_t max_bytes);
/// @return whether close_turn() would store a turn, so that its content must be written first.
bool stores_content(const turn_state& state, const close_request& request);
/// Closes a turn: charges its tokens to the program and stores the turn if requested. A turn is stored only
/// if the whole chain that it continues from is. A resend has no effect.
/// @param content where the turn's content was written. @pre valid if stores_content().
close_result close_turn(turn_state& state, const close_request& request, const content_range& content);

/// @return the serialised state, for snapshots. It names the contents' places on this member's disk.
std::string encode_state(const turn_state& state);
/// Stores bytes and returns where.
using content_writer = std::function<content_range(std::string_view bytes)>;
/// @param write_content stores the contents that a snapshot of version 0.1.0 holds itself.
/// @return the state from a snapshot. @throw decode_error if the bytes are not a valid snapshot.
turn_state decode_state(const std::string& bytes, const content_writer& write_content);
/// Encodes the origin of a stream.
void to_wire(const stream_origin& origin, wire::stream_origin* message);
/// @return the origin in a message.
stream_origin from_wire(const wire::stream_origin& message);
/// @return the request in a message.
open_request from_wire(const wire::open_turn& message);
/// @return the request in a message.
close_request from_wire(const wire::close_turn& message);
/// @return the request in a message.
stream_request from_wire(const wire::record_stream& message);

} // namespace guavawick::turns
