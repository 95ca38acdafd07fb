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

/// The files of one group. Thread safety: not thread-safe; callers serialise access.
class log_store {
public:
    /// Opens or creates the folder, reads its files and truncates an incomplete record at the end of the log.
    /// @throw storage_error if the folder can't be used, the snapshot is damaged or a damaged log record is
    /// followed by an intact one.
    explicit log_store(std::string folder);
    ~log_store();
    log_store(const log_store&) = delete;
    log_store& operator=(const log_store&) = delete;

    /// @return the state that was read when the store was opened.
    [[nodiscard]] const consensus::persisted_state& loaded() const { return loaded_; }
    /// @return the state that was read, which this store then no longer holds.
    [[nodiscard]] consensus::persisted_state take_loaded() { return std::exchange(loaded_, {}); }
    /// @return whether an incomplete record was truncated when the store was opened.
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
    void open_log();
    void append_to_log(const std::string& bytes);
    void sync();
    void rewrite_log(const consensus::group_state& state);

    std::string folder_;
    consensus::persisted_state loaded_;
    bool tail_truncated_ = false;
    int log_fd_ = -1;
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
/// @throw storage_error if a damaged record is followed by an intact one.
std::vector<std::string_view> read_records(const std::string& bytes, std::size_t& valid_bytes);

} // namespace guavawick::replica
