// Append-only segment files.
#include "replica/segment_store.hpp"

#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "replica/file_func.hpp"

#include <charconv>
#include <fcntl.h>
#include <filesystem>
#include <sys/stat.h>
#include <unistd.h>

namespace guavawick::replica {
namespace {

constexpr mode_t segment_file_mode = 0600;

/// @return the number of a segment file, or 0 if the name is not one of a segment.
std::uint32_t segment_number(const std::string& file_name)
{
    std::uint32_t number = 0;
    const char* end = file_name.data() + file_name.size();
    const auto [parsed_end, error] = std::from_chars(file_name.data(), end, number);
    return error == std::errc{} && parsed_end == end ? number : 0;
}

} // namespace

segment_store::segment_store(std::string folder, const segment_limits& limits)
    : folder_(std::move(folder)), limits_(limits)
{
    create_folder(folder_);
    sync_folder(std::filesystem::path(folder_).parent_path().string());
    open_existing();
}

segment_store::~segment_store()
{
    for (const auto& [number, opened] : segments_) {
        ::close(opened.fd);
    }
}

std::string segment_store::path_of(std::uint32_t number) const
{
    return folder_ + "/" + std::to_string(number);
}

void segment_store::open_existing()
{
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(folder_, error)) {
        const std::uint32_t number = segment_number(entry.path().filename().string());
        if (number == 0) {
            continue;
        }
        const std::string path = path_of(number);
        segment existing;
        existing.fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
        struct stat status = {};
        if (existing.fd < 0 || ::fstat(existing.fd, &status) != 0) {
            throw_storage_error(path, "open");
        }
        existing.size = static_cast<std::uint64_t>(status.st_size);
        size_ += existing.size;
        last_number_ = std::max(last_number_, number);
        segments_[number] = existing;
    }
    if (error) {
        throw storage_error(folder_ + ": can't be listed: " + error.message());
    }
}

void segment_store::open_next()
{
    flush();
    open_segment_ = ++last_number_;
    const std::string path = path_of(open_segment_);
    segment opened;
    opened.fd = ::open(path.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, segment_file_mode);
    if (opened.fd < 0) {
        throw_storage_error(path, "open");
    }
    segments_[open_segment_] = opened;
    folder_synced_ = false;
}

content_range segment_store::append(std::string_view bytes)
{
    if (open_segment_ == 0 || segments_.at(open_segment_).size + bytes.size() > limits_.segment_bytes) {
        open_next();
    }
    segment& opened = segments_.at(open_segment_);
    const content_range range{open_segment_, static_cast<std::uint32_t>(opened.size),
                              static_cast<std::uint32_t>(bytes.size()), crc32c(bytes)};
    opened.size += bytes.size();
    opened.synced = false;
    size_ += bytes.size();
    if (bytes.size() >= limits_.buffer_bytes) {
        flush();
        write_all(opened.fd, bytes, path_of(open_segment_));
        return range;
    }
    buffer_ += bytes;
    if (buffer_.size() >= limits_.buffer_bytes) {
        flush();
    }
    return range;
}

void segment_store::flush()
{
    if (buffer_.empty()) {
        return;
    }
    write_all(segments_.at(open_segment_).fd, buffer_, path_of(open_segment_));
    buffer_.clear();
}

void segment_store::read(const content_range& range, std::string& into) const
{
    const std::string path = path_of(range.segment);
    const auto found = segments_.find(range.segment);
    if (found == segments_.end() || std::uint64_t{range.offset} + range.size > found->second.size) {
        throw storage_error(path + ": has no bytes " + std::to_string(range.offset) + " to " +
                            std::to_string(std::uint64_t{range.offset} + range.size));
    }
    const std::size_t begin = into.size();
    const std::uint64_t written = found->second.size - (range.segment == open_segment_ ? buffer_.size() : 0);
    if (range.offset >= written) {
        into.append(buffer_, range.offset - written, range.size);
    }
    else {
        into.resize(begin + range.size);
        read_all(found->second.fd, into.data() + begin, range.size, range.offset, path);
    }
    if (crc32c({into.data() + begin, range.size}) != range.checksum) {
        throw storage_error(path + ": damaged at byte " + std::to_string(range.offset));
    }
}

void segment_store::sync()
{
    flush();
    for (auto& [number, written] : segments_) {
        if (!written.synced && ::fdatasync(written.fd) != 0) {
            throw_storage_error(path_of(number), "sync");
        }
        written.synced = true;
    }
    if (!folder_synced_) {
        sync_folder(folder_);
        folder_synced_ = true;
    }
}

void segment_store::remove_unused(const std::set<std::uint32_t>& used)
{
    for (auto entry = segments_.begin(); entry != segments_.end();) {
        const std::uint32_t number = entry->first;
        if (number == open_segment_ || used.contains(number)) {
            ++entry;
            continue;
        }
        ::close(entry->second.fd);
        size_ -= entry->second.size;
        entry = segments_.erase(entry);
        if (::unlink(path_of(number).c_str()) != 0) {
            throw_storage_error(path_of(number), "remove");
        }
    }
}

} // namespace guavawick::replica
