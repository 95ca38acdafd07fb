// Append-only segment files that hold the bytes a state machine refers to by their place.
#pragma once

#include "base/content_type.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace guavawick::replica {

/// Sizes of a segment store.
struct segment_limits {
    std::uint32_t segment_bytes = 4U << 20U; ///< a segment is closed once it would grow above this
    std::size_t buffer_bytes = 64U << 10U; ///< bytes of the open segment that are kept until they are written
};

/// Segment files in one folder. Bytes are durable only after sync(): the log that they come from is replayed
/// after a crash, so a caller syncs before it persists a snapshot that refers to them.
/// Thread safety: not thread-safe; callers serialise access.
class segment_store {
public:
    /// Opens the folder or creates it. Existing segments can be read but are never appended to.
    /// @throw storage_error if the folder can't be used.
    explicit segment_store(std::string folder, const segment_limits& limits = {});
    ~segment_store();
    segment_store(const segment_store&) = delete;
    segment_store& operator=(const segment_store&) = delete;

    /// Appends bytes. @return their place. @throw storage_error.
    content_range append(std::string_view bytes);
    /// Appends the bytes at a place to `into`.
    /// @throw storage_error if the place does not exist or its bytes do not match their checksum.
    void read(const content_range& range, std::string& into) const;
    /// Writes and syncs everything that was appended. @throw storage_error.
    void sync();
    /// Removes every closed segment that is not in `used`. @throw storage_error.
    void remove_unused(const std::set<std::uint32_t>& used);
    /// @return the size of all segments, in bytes.
    [[nodiscard]] std::uint64_t size() const { return size_; }

private:
    struct segment {
        int fd = -1;
        std::uint64_t size = 0; ///< bytes, with those that are only in the buffer
        bool synced = true;
    };

    void open_existing();
    void open_next();
    void flush();
    [[nodiscard]] std::string path_of(std::uint32_t number) const;

    std::string folder_;
    segment_limits limits_;
    std::map<std::uint32_t, segment> segments_;
    std::uint32_t open_segment_ = 0; ///< segment that is appended to; 0 if there is none
    std::uint32_t last_number_ = 0;  ///< highest number in use since the store was opened
    std::string buffer_;             ///< end of the open segment that is not written yet
    bool folder_synced_ = true;
    std::uint64_t size_ = 0;
};

} // namespace guavawick::replica
