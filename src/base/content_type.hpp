// Place of stored bytes on a member's disk.
#pragma once

#include <cstdint>

namespace guavawick {

/// Place of a byte range in a segment store. Members of a group store the same content at different places.
struct content_range {
    std::uint32_t segment = 0;  ///< number of the segment file; the first is 1
    std::uint32_t offset = 0;   ///< bytes
    std::uint32_t size = 0;     ///< bytes
    std::uint32_t checksum = 0; ///< CRC-32C of the bytes

    bool operator==(const content_range&) const = default;
};

} // namespace guavawick
