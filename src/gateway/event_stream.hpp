// Splits a stream of server-sent events into whole events. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace guavawick::gateway {

/// One event of a stream.
struct stream_event {
    std::string bytes;               ///< as received, with the empty line that ends it
    std::optional<std::uint64_t> id; ///< its id, where it has one
    std::string data;                ///< its data lines, joined by line feeds
};

/// The bytes of a stream that have arrived and are not yet a whole event.
struct event_splitter {
    std::string pending;
};

/// Takes bytes in. @return the events that are whole now.
std::vector<stream_event> split_events(event_splitter& splitter, const std::string& bytes);

} // namespace guavawick::gateway
