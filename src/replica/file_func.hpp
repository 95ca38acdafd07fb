// File operations of the durable state. Every failure is a storage_error that names the file and the action.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace guavawick::replica {

/// Throws a storage_error with the text of `errno`.
[[noreturn]] void throw_storage_error(const std::string& path, const char* action);
/// @return the contents of a file; empty if it does not exist. @throw storage_error if it can't be read.
std::string read_file(const std::string& path);
/// Writes all bytes at the file's position. @param path for the error. @throw storage_error.
void write_all(int fd, std::string_view bytes, const std::string& path);
/// Reads exactly `size` bytes from an offset. @param path for the error.
/// @throw storage_error if the file is shorter.
void read_all(int fd, char* into, std::size_t size, std::uint64_t offset, const std::string& path);
/// Syncs the names in a folder. @throw storage_error.
void sync_folder(const std::string& folder);
/// Replaces a file atomically: writes and syncs a new file, then renames it. @throw storage_error.
void replace_file(const std::string& folder, const std::string& name, std::string_view bytes);
/// Creates a folder and its parents, and syncs the name of each one that is new. @throw storage_error.
void create_folder(const std::string& folder);

} // namespace guavawick::replica
