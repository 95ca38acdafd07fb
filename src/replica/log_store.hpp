// Files of one consensus group under the data folder: the log, which includes the hard state, and the newest
// snapshot. Identity of the data folder.
#pragma once

#include "consensus/consensus_func.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace guavawick::replica {

/// The files of one group. Each log record states how much of the log was synced before it was written: after
/// a power loss any part of the last, unsynced write may be missing, while damage before a record that was
/// written after its sync is a fault of the disk.
/// Thread safety: not thread-safe; callers serialise access.
class log_store {
public:
    /// Opens or creates the folder, reads its files and truncates the log at the first incomplete or damaged
    /// record of a write that was not synced.
    /// @throw storage_error if the folder can't be used, the snapshot or the synced part of the log is
    /// damaged, or entries are missing between them.
    explicit log_store(std::string folder);
    /// Marks what was written as synced, so that the next start can tell damage of the last write from a
    /// write that a power loss interrupted.
    ~log_store();
    log_store(const log_store&) = delete;
    log_store& operator=(const log_store&) = delete;

    /// @return the state that was read when the store was opened.
    [[nodiscard]] const consensus::persisted_state& loaded() const { return loaded_; }
    /// @return the state that was read, which this store then no longer holds.
    [[nodiscard]] consensus::persisted_state take_loaded() { return std::exchange(loaded_, {}); }
    /// @return whether a part of an unsynced write was truncated when the store was opened.
    [[nodiscard]] bool tail_truncated() const { return tail_truncated_; }
    /// Writes the log entries, the truncation and the hard state that the effects require, and syncs them.
    /// Writes the snapshot instead if the effects install one. @throw storage_error.
    void persist(const consensus::group_state& state, const consensus::effects& effects);
    /// Writes and syncs the newest snapshot, then rewrites the log with the hard state and the retained
    /// entries.
    /// @throw storage_error.
    void write_snapshot(const consensus::group_state& state);
    /// @return the number of syncs of the log.
    [[nodiscard]] std::uint64_t syncs() const { return syncs_; }
    /// @return the size of the log file in bytes.
    [[nodiscard]] std::uint64_t log_bytes() const { return log_bytes_; }

private:
    void read_snapshot();
    void read_log();
    void check_entries() const;
    void open_log();
    void append_to_log(const std::string& bytes);
    void sync();
    void rewrite_log(const consensus::group_state& state);

    std::string folder_;
    consensus::persisted_state loaded_;
    bool tail_truncated_ = false;
    int log_fd_ = -1;
    bool is_synced_ = false;   ///< every write of the log was followed by a sync that succeeded
    bool is_marked_ = false;   ///< the last record of the log states that all before it is synced
    std::uint32_t log_id_ = 0; ///< in every record, so that a payload is not taken for a record
    std::uint64_t syncs_ = 0;
    std::uint64_t log_bytes_ = 0;
};

/// Identity of a data folder, created at its first use.
struct disk_identity {
    consensus::member_id id; ///< member ID of the replica that uses the folder
    bool blank = false;      ///< the identity is new: no group has acknowledged anything from this folder
};

/// Reads the identity of a data folder, or creates it. @throw storage_error if it can't be read or written,
/// or if the folder contains groups but no identity.
disk_identity open_identity(const std::string& data_folder);

/// @return the bytes as one framed record: length, CRC-32C, bytes. The numbers are little-endian, 4 bytes
/// each.
std::string frame_record(const std::string& bytes);
/// Reads framed records up to the first incomplete or damaged one. @return the records, within `bytes`.
/// @param valid_bytes receives the length of the records read, frames included.
std::vector<std::string_view> read_records(const std::string& bytes, std::size_t& valid_bytes);

} // namespace guavawick::replica
