// The files of one consensus group and the identity of a data folder.
#include "replica/log_store.hpp"

#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "replica/consensus_codec.hpp"
#include "replica/file_func.hpp"
#include "wire.pb.h"

#include <algorithm>
#include <fcntl.h>
#include <filesystem>
#include <sys/stat.h>
#include <unistd.h>

namespace guavawick::replica {
namespace {

constexpr std::size_t frame_header_size = 8;         ///< bytes: length and CRC, 4 each
constexpr std::uint32_t max_record_size = 1U << 30U; ///< bytes; a greater length means damage
constexpr mode_t file_mode = 0600;

void append_u32(std::string& into, std::uint32_t value)
{
    for (unsigned shift = 0; shift < 32; shift += 8) {
        into.push_back(static_cast<char>((value >> shift) & 0xFFU));
    }
}

std::uint32_t read_u32(const std::string& from, std::size_t offset)
{
    std::uint32_t value = 0;
    for (unsigned i = 0; i < 4; ++i) {
        value |= static_cast<std::uint32_t>(static_cast<unsigned char>(from[offset + i])) << (8 * i);
    }
    return value;
}

/// @return the bytes that the frame at `offset` delimits, which may be damaged; empty if it can't be a frame.
std::string_view framed_bytes(const std::string& bytes, std::size_t offset)
{
    if (offset + frame_header_size > bytes.size()) {
        return {};
    }
    const std::uint32_t size = read_u32(bytes, offset);
    if (size > max_record_size || offset + frame_header_size + size > bytes.size()) {
        return {};
    }
    return std::string_view(bytes).substr(offset + frame_header_size, size);
}

/// @return whether an intact record starts at `offset`.
bool is_intact(const std::string& bytes, std::size_t offset)
{
    const std::string_view framed = framed_bytes(bytes, offset);
    return !framed.empty() && crc32c(framed) == read_u32(bytes, offset + 4);
}

template <typename Message>
bool parse(std::string_view bytes, Message& into)
{
    return into.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

/// What each record states of the log that it belongs to.
struct record_stamp {
    std::uint32_t log_id = 0;       ///< 0 in records of older versions
    std::uint64_t synced_bytes = 0; ///< length of the log that is synced before the record is written
};

/// Appends a framed record, without a copy of its bytes.
void append_record(std::string& into, wire::log_file_record& record, const record_stamp& stamp)
{
    record.set_synced_bytes(stamp.synced_bytes);
    record.set_log_id(stamp.log_id);
    const std::size_t begin = into.size();
    append_u32(into, 0); // replaced once the record is encoded
    append_u32(into, 0);
    record.AppendToString(&into);
    const std::string_view encoded = std::string_view(into).substr(begin + frame_header_size);
    std::string header;
    append_u32(header, static_cast<std::uint32_t>(encoded.size()));
    append_u32(header, crc32c(encoded));
    into.replace(begin, frame_header_size, header);
}

void append_hard_state(std::string& into, const consensus::group_state& state, const record_stamp& stamp)
{
    wire::log_file_record record;
    record.mutable_hard_state()->set_term(state.term);
    record.mutable_hard_state()->set_voted_for(state.voted_for.value);
    append_record(into, record, stamp);
}

void append_entry(std::string& into, const consensus::log_entry& entry, const record_stamp& stamp)
{
    wire::log_file_record record;
    to_wire(entry, record.mutable_entry());
    append_record(into, record, stamp);
}

void append_truncation(std::string& into, consensus::log_index after, const record_stamp& stamp)
{
    wire::log_file_record record;
    record.set_truncate_after(after);
    append_record(into, record, stamp);
}

/// Appends a record that states only how much of the log is synced.
void append_sync_mark(std::string& into, const record_stamp& stamp)
{
    wire::log_file_record record;
    append_record(into, record, stamp);
}

/// @return whether the encoded record at `offset` states that the byte at `damaged` was synced before it was
/// written. A record of an older version doesn't tell; it counts as a proof, since an acknowledged entry
/// could be lost otherwise.
bool proves_synced(std::string_view encoded, std::size_t offset, std::size_t damaged)
{
    wire::log_file_record record;
    if (!parse(encoded, record)) {
        return false;
    }
    return !record.has_synced_bytes() || (record.synced_bytes() > damaged && record.synced_bytes() <= offset);
}

/// @return whether a record after the damaged one shows that the damaged one was synced. The damage may be in
/// a length, so the records after it are searched for at every byte. Callers choose the payloads, but don't
/// know the ID of the log, so a payload that looks like a record is not taken for one.
/// @param log_id of the records before the damage.
bool is_synced_part_damaged(const std::string& bytes, std::size_t damaged, std::uint32_t log_id)
{
    std::string encoded_id;
    append_u32(encoded_id, log_id);
    for (std::size_t offset = damaged + 1; offset < bytes.size(); ++offset) {
        const std::string_view framed = framed_bytes(bytes, offset);
        if (log_id != 0 && !framed.ends_with(encoded_id)) {
            continue;
        }
        if (is_intact(bytes, offset) && proves_synced(framed, offset, damaged)) {
            return true;
        }
    }
    return false;
}

/// @return a random ID that is not 0.
std::uint32_t make_log_id()
{
    const auto id = static_cast<std::uint32_t>(random_id());
    return id == 0 ? 1 : id;
}

void load_record(wire::log_file_record& record, consensus::persisted_state& into)
{
    switch (record.body_case()) {
    case wire::log_file_record::kEntry:
        into.entries.push_back(from_wire(std::move(*record.mutable_entry())));
        return;
    case wire::log_file_record::kHardState:
        into.term = record.hard_state().term();
        into.voted_for = consensus::member_id{record.hard_state().voted_for()};
        return;
    case wire::log_file_record::kTruncateAfter:
        std::erase_if(into.entries, [&](const consensus::log_entry& entry) {
            return entry.index > record.truncate_after();
        });
        return;
    case wire::log_file_record::BODY_NOT_SET:
        return;
    }
}

} // namespace

std::string frame_record(const std::string& bytes)
{
    std::string frame;
    frame.reserve(bytes.size() + frame_header_size);
    append_u32(frame, static_cast<std::uint32_t>(bytes.size()));
    append_u32(frame, crc32c(bytes));
    return frame + bytes;
}

std::vector<std::string_view> read_records(const std::string& bytes, std::size_t& valid_bytes)
{
    std::vector<std::string_view> records;
    std::size_t offset = 0;
    while (is_intact(bytes, offset)) {
        const std::uint32_t size = read_u32(bytes, offset);
        records.push_back(std::string_view(bytes).substr(offset + frame_header_size, size));
        offset += frame_header_size + size;
    }
    valid_bytes = offset;
    return records;
}

log_store::log_store(std::string folder) : folder_(std::move(folder))
{
    create_folder(folder_);
    // Without its name in the data folder, a group's files are lost with the power though they are synced.
    sync_folder(std::filesystem::path(folder_).parent_path().string());
    read_snapshot();
    read_log();
    check_entries();
    open_log();
}

log_store::~log_store()
{
    if (log_fd_ < 0) {
        return;
    }
    if (is_synced_ && !is_marked_) {
        std::string mark;
        append_sync_mark(mark, {log_id_, log_bytes_});
        // A mark that is not written only leaves damage of the last write without a proof.
        [[maybe_unused]] const ssize_t ignored = ::write(log_fd_, mark.data(), mark.size());
    }
    ::close(log_fd_);
}

void log_store::read_snapshot()
{
    const std::string path = folder_ + "/snapshot";
    if (!std::filesystem::exists(path)) {
        return;
    }
    const std::string bytes = read_file(path);
    std::size_t valid_bytes = 0;
    const std::vector<std::string_view> records = read_records(bytes, valid_bytes);
    wire::snapshot_record record;
    if (records.size() != 1 || valid_bytes != bytes.size() || !parse(records.front(), record)) {
        throw storage_error(path + ": damaged");
    }
    loaded_.newest_snapshot = from_wire(record);
}

void log_store::read_log()
{
    const std::string path = folder_ + "/log";
    const std::string bytes = read_file(path);
    std::size_t valid_bytes = 0;
    const std::vector<std::string_view> records = read_records(bytes, valid_bytes);
    for (const std::string_view encoded : records) {
        wire::log_file_record record;
        if (!parse(encoded, record)) {
            throw storage_error(path + ": a record cannot be decoded");
        }
        log_id_ = record.log_id();
        load_record(record, loaded_);
    }
    if (valid_bytes < bytes.size() && is_synced_part_damaged(bytes, valid_bytes, log_id_)) {
        throw storage_error(path + ": damaged at byte " + std::to_string(valid_bytes) +
                            ", before records that were written later");
    }
    if (valid_bytes < bytes.size()) {
        tail_truncated_ = true;
        if (::truncate(path.c_str(), static_cast<off_t>(valid_bytes)) != 0) {
            throw_storage_error(path, "truncate");
        }
    }
    log_bytes_ = valid_bytes;
    if (log_id_ == 0) {
        log_id_ = make_log_id();
    }
}

void log_store::check_entries() const
{
    consensus::log_index last = loaded_.newest_snapshot ? loaded_.newest_snapshot->index : 0;
    for (const consensus::log_entry& entry : loaded_.entries) {
        if (entry.index > last + 1) {
            throw storage_error(folder_ + ": neither the snapshot nor the log contains the entries " +
                                std::to_string(last + 1) + " to " + std::to_string(entry.index - 1));
        }
        last = std::max(last, entry.index);
    }
}

void log_store::open_log()
{
    const std::string path = folder_ + "/log";
    log_fd_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, file_mode);
    if (log_fd_ < 0) {
        throw_storage_error(path, "open");
    }
    sync();
    sync_folder(folder_);
}

void log_store::append_to_log(const std::string& bytes)
{
    is_synced_ = false;
    is_marked_ = false;
    write_all(log_fd_, bytes, folder_ + "/log");
    log_bytes_ += bytes.size();
}

void log_store::sync()
{
    if (::fdatasync(log_fd_) != 0) {
        throw_storage_error(folder_ + "/log", "sync");
    }
    is_synced_ = true;
    ++syncs_;
}

void log_store::persist(const consensus::group_state& state, const consensus::effects& effects)
{
    if (effects.install) {
        write_snapshot(state);
        return;
    }
    const record_stamp stamp{log_id_, log_bytes_};
    std::string bytes;
    if (effects.truncate_after) {
        append_truncation(bytes, *effects.truncate_after, stamp);
    }
    for (const consensus::log_entry& entry : effects.appended) {
        append_entry(bytes, entry, stamp);
    }
    if (effects.hard_state_changed) {
        append_hard_state(bytes, state, stamp);
    }
    if (bytes.empty()) {
        return;
    }
    append_to_log(bytes);
    sync();
}

void log_store::write_snapshot(const consensus::group_state& state)
{
    wire::snapshot_record record;
    to_wire(*state.newest_snapshot, &record);
    replace_file(folder_, "snapshot", frame_record(record.SerializeAsString()));
    rewrite_log(state);
}

void log_store::rewrite_log(const consensus::group_state& state)
{
    // The file gets its name only when all of it is synced.
    std::string bytes;
    log_id_ = make_log_id();
    append_hard_state(bytes, state, {log_id_, 0});
    for (const consensus::log_entry& entry : state.entries) {
        append_entry(bytes, entry, {log_id_, bytes.size()});
    }
    append_sync_mark(bytes, {log_id_, bytes.size()});
    replace_file(folder_, "log", bytes);
    ::close(log_fd_);
    log_bytes_ = bytes.size();
    is_marked_ = true;
    open_log();
}

disk_identity open_identity(const std::string& data_folder)
{
    create_folder(data_folder);
    const std::string path = data_folder + "/identity";
    const std::string bytes = read_file(path);
    if (!bytes.empty()) {
        std::size_t valid_bytes = 0;
        const std::vector<std::string_view> records = read_records(bytes, valid_bytes);
        wire::hard_state_record record;
        if (records.size() != 1 || !parse(records.front(), record) || record.voted_for() == 0) {
            throw storage_error(path + ": damaged");
        }
        return {consensus::member_id{record.voted_for()}, false};
    }
    // If the identity is missing, the groups' files can't be trusted either.
    std::error_code ignored;
    for (const auto& entry : std::filesystem::directory_iterator(data_folder, ignored)) {
        if (entry.path().filename().string().rfind("group-", 0) == 0) {
            throw storage_error(
                data_folder +
                ": contains groups but no identity; empty the folder to join with a blank disk");
        }
    }
    wire::hard_state_record record;
    record.set_voted_for(random_id());
    replace_file(data_folder, "identity", frame_record(record.SerializeAsString()));
    return {consensus::member_id{record.voted_for()}, true};
}

} // namespace guavawick::replica
