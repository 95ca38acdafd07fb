// Splits a stream of server-sent events into complete events. Pure.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace guavawick::gateway {

/// One event of a stream.
struct stream_event {
    std::string bytes;               ///< as received, including the empty line that ends it
    std::optional<std::uint64_t> id; ///< unset if the event has no id or one that is not a number
    std::string data;                ///< its data lines, joined by line feeds
};

constexpr std::size_t max_event_bytes = 1U << 20U; ///< of one event, so that one without end is not buffered

/// Buffers the received bytes of an event that is not complete yet.
struct event_splitter {
    std::string pending;
    std::size_t searched = 0; ///< bytes of `pending` in which no event ends
    bool overflowed = false;  ///< an event was longer than max_event_bytes; its bytes were dropped
};

/// @return whether a stream that ends now ends inside an event, so that it was broken off. Comments and empty
/// lines belong to no event.
bool is_inside_event(const event_splitter& splitter);
/// Appends received bytes to the pending ones. @return the events that are now complete, in order.
std::vector<stream_event> split_events(event_splitter& splitter, const std::string& bytes);

} // namespace guavawick::gateway
