// Configuration sets as TOML files.
#pragma once

#include "configuration/configuration_type.hpp"

#include <map>
#include <string>

namespace guavawick::operators {

/// A set read from a file, with the line of each object and field for messages.
struct parsed_configuration {
    configuration::object_set objects;
    std::map<std::string, std::uint32_t> lines; ///< "kind.name" or "kind.name.field" to line
};

/// Reads a set file. @throw settings_error naming file, key and line.
parsed_configuration read_configuration(const std::string& path);
/// Reads a set given as text. @param path the name that errors show.
parsed_configuration parse_configuration(const std::string& text, const std::string& path);
/// @return a fault with the file's name and line in front.
std::string describe_fault(const parsed_configuration& file, const std::string& path,
                           const configuration::fault& one);

} // namespace guavawick::operators
