// Conversion of places of stored bytes to and from messages.
#pragma once

#include "base/content_type.hpp"

namespace guavawick::wire {
class content_place;

/// Writes a place to a message. Thread safety: any thread.
void to_wire(const content_range& from, content_place* into);
/// @return the place in a message. Thread safety: any thread.
content_range from_wire(const content_place& from);

} // namespace guavawick::wire
