// Reads configuration sets from TOML files.
#pragma once

#include "configuration/configuration_type.hpp"

#include <map>
#include <string>

namespace guavawick::operators {

/// The objects of a configuration file, with the line of each object and field for error messages.
struct parsed_configuration {
    configuration::object_set objects;
    std::map<std::string, std::uint32_t> lines; ///< line of each "kind.name" and "kind.name.field"
};

/// Reads a configuration file. Does not check the set; configuration::check_set() does.
/// @throw settings_error naming file and line.
parsed_configuration read_configuration(const std::string& path);
/// Parses a configuration file's text. @param path the file name shown in errors. @throw settings_error
/// naming file and line.
parsed_configuration parse_configuration(const std::string& text, const std::string& path);
/// @return a fault's text, preceded by the file's path and line.
std::string describe_fault(const parsed_configuration& file, const std::string& path,
                           const configuration::fault& fault);

} // namespace guavawick::operators
