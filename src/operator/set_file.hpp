// Configuration sets as TOML files.
#pragma once

#include "configuration/configuration_type.hpp"

#include <map>
#include <string>

namespace guavawick::operators {

/// A set read from a file, with the line of each object and field for messages.
struct set_file {
    configuration::object_set objects;
    std::map<std::string, std::uint32_t> lines; ///< "kind.name" or "kind.name.field" to line
};

/// Reads a set file. @throw settings_error naming file, key and line.
set_file read_set(const std::string& path);
/// Reads a set given as text. @param path the name that errors show.
set_file parse_set(const std::string& text, const std::string& path);
/// @return a fault with the file's name and line in front.
std::string describe_fault(const set_file& file, const std::string& path, const configuration::fault& one);

} // namespace guavawick::operators
