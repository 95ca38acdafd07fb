// File operations of the durable state.
#include "replica/file_func.hpp"

#include "base/failure_type.hpp"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sys/stat.h>
#include <unistd.h>

namespace guavawick::replica {
namespace {

constexpr mode_t file_mode = 0600;

} // namespace

void throw_storage_error(const std::string& path, const char* action)
{
    throw storage_error(path + ": " + action + ": " + std::strerror(errno));
}

std::string read_file(const std::string& path)
{
    const int fd = ::open(path.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0 && errno == ENOENT) {
        return {};
    }
    struct stat status = {};
    if (fd < 0 || ::fstat(fd, &status) != 0) {
        throw_storage_error(path, "open");
    }
    std::string bytes(static_cast<std::size_t>(status.st_size), '\0');
    read_all(fd, bytes.data(), bytes.size(), 0, path);
    ::close(fd);
    return bytes;
}

void write_all(int fd, std::string_view bytes, const std::string& path)
{
    std::size_t total = 0;
    while (total < bytes.size()) {
        const ssize_t written = ::write(fd, bytes.data() + total, bytes.size() - total);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written < 0) {
            throw_storage_error(path, "write");
        }
        total += static_cast<std::size_t>(written);
    }
}

void read_all(int fd, char* into, std::size_t size, std::uint64_t offset, const std::string& path)
{
    std::size_t total = 0;
    while (total < size) {
        const ssize_t count = ::pread(fd, into + total, size - total, static_cast<off_t>(offset + total));
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0) {
            throw_storage_error(path, "read");
        }
        if (count == 0) {
            throw storage_error(path + ": ends at byte " + std::to_string(offset + total));
        }
        total += static_cast<std::size_t>(count);
    }
}

void sync_folder(const std::string& folder)
{
    const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0 || ::fsync(fd) != 0) {
        throw_storage_error(folder, "sync");
    }
    ::close(fd);
}

void replace_file(const std::string& folder, const std::string& name, std::string_view bytes)
{
    const std::string path = folder + "/" + name;
    const std::string temporary_path = path + ".new";
    const int fd = ::open(temporary_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, file_mode);
    if (fd < 0) {
        throw_storage_error(temporary_path, "open");
    }
    write_all(fd, bytes, temporary_path);
    if (::fsync(fd) != 0) {
        throw_storage_error(temporary_path, "sync");
    }
    ::close(fd);
    if (::rename(temporary_path.c_str(), path.c_str()) != 0) {
        throw_storage_error(path, "rename");
    }
    sync_folder(folder);
}

void create_folder(const std::string& folder)
{
    std::error_code error;
    if (std::filesystem::is_directory(folder, error)) {
        return;
    }
    const std::string parent = std::filesystem::absolute(folder).parent_path().string();
    create_folder(parent);
    std::filesystem::create_directory(folder, error);
    if (error) {
        throw storage_error(folder + ": can't be created: " + error.message());
    }
    sync_folder(parent);
}

} // namespace guavawick::replica
