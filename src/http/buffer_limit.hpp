// Limit of what a connection buffers.
#pragma once

#include <cstddef>

namespace guavawick::http {

/// Bytes that are received on a connection to an upstream and not parsed yet; see max_parse_buffer() for
/// clients. The parser's own limits cover heads and bodies, but not the head of a chunk, which has no end if
/// its sender does not send one.
constexpr std::size_t max_unparsed_bytes = 1U << 20U;

} // namespace guavawick::http
