// Files of one consensus group under the data folder: the log, the hard state and the newest snapshot.
#pragma once

#include "consensus/consensus_func.hpp"

#include <cstdint>
#include <string>

namespace guavawick::replica {

/// The files of one group. Thread safety: one thread at a time.
class log_store {
public:
    /// Opens or creates the folder and reads what it holds; cuts an incomplete record at the log's end.
    /// @throw storage_error if a file can't be read or a record before the end is damaged.
    explicit log_store(std::string folder);
    ~log_store();
    log_store(const log_store&) = delete;
    log_store& operator=(const log_store&) = delete;

    /// @return what was read when the store was opened.
    [[nodiscard]] const consensus::persisted_state& loaded() const { return loaded_; }
    /// @return whether a damaged tail was cut when the store was opened.
    [[nodiscard]] bool tail_truncated() const { return tail_truncated_; }
    /// Writes what an effect asks for and syncs it. @throw storage_error.
    void persist(const consensus::group_state& state, const consensus::effects& wanted);
    /// Writes a snapshot and syncs it, then rewrites the log without what it covers. @throw storage_error.
    void write_snapshot(const consensus::group_state& state);
    /// @return how often the log was synced.
    [[nodiscard]] std::uint64_t syncs() const { return syncs_; }
    /// @return bytes of the log file.
    [[nodiscard]] std::uint64_t log_bytes() const { return log_bytes_; }

private:
    void read_snapshot();
    void read_log();
    void open_log();
    void write_out(const std::string& bytes);
    void sync();
    void rewrite_log(const consensus::group_state& state);

    std::string folder_;
    consensus::persisted_state loaded_;
    bool tail_truncated_ = false;
    int log_fd_ = -1;
    std::uint64_t syncs_ = 0;
    std::uint64_t log_bytes_ = 0;
};

/// Identity of a disk, made at its first use.
struct disk_identity {
    consensus::member_id id; ///< id under which this disk takes part
    bool blank = false;      ///< the folder was empty, so nothing was ever acknowledged from it
};

/// Reads or makes the identity of a data folder. @throw storage_error.
disk_identity open_identity(const std::string& data_folder);

/// Frames bytes as one record: length, CRC-32C, bytes.
std::string frame_record(const std::string& bytes);
/// Reads framed records. @param valid_bytes receives the length of the readable part.
/// @throw storage_error if a damaged record is followed by an intact one.
std::vector<std::string> read_records(const std::string& bytes, std::size_t& valid_bytes);

} // namespace guavawick::replica
