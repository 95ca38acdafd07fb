// Parser of the scenario language: one statement per line, with words and key=value options.
#pragma once

#include "base/clock_type.hpp"
#include "base/failure_type.hpp"

#include <map>
#include <string>
#include <vector>

namespace guavawick::scenarios {

/// A scenario file is malformed; the text names file and line.
struct script_error : error {
    using error::error;
};

/// A scenario failed; the text names file and line.
struct scenario_failure : error {
    using error::error;
};

/// One statement of a scenario.
struct script_statement {
    std::string file;
    int line = 0;
    std::string keyword;
    std::vector<std::string> words;              ///< without the keyword and the options
    std::map<std::string, std::string> options;  ///< key=value
    duration timeout = std::chrono::seconds(10); ///< time that a statement which waits may take
    std::string text;                            ///< the whole line

    /// @return an option's value, or the default if it is not given.
    [[nodiscard]] std::string option(const std::string& name, const std::string& default_value = "") const
    {
        const auto found = options.find(name);
        return found == options.end() ? default_value : found->second;
    }
    /// @return "file:line: ".
    [[nodiscard]] std::string location() const { return file + ":" + std::to_string(line) + ": "; }
};

/// Reads a scenario file and expands `include` and `repeat`.
/// @throw script_error if a file can't be opened or is malformed.
std::vector<script_statement> read_script(const std::string& path);

} // namespace guavawick::scenarios
