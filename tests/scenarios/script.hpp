// The scenario language: one statement a line, words and key=value options.
#pragma once

#include "base/clock_type.hpp"
#include "base/failure_type.hpp"

#include <map>
#include <string>
#include <vector>

namespace guavawick::scenarios {

/// A scenario file is wrong; the text names file and line.
struct script_error : error {
    using error::error;
};

/// A scenario did not hold; the text names file and line.
struct scenario_failure : error {
    using error::error;
};

/// One statement.
struct statement {
    std::string file;
    int line = 0;
    std::string verb;
    std::vector<std::string> words;             ///< without the verb and the options
    std::map<std::string, std::string> options; ///< key=value
    duration within = std::chrono::seconds(10); ///< bound of an expectation
    std::string text;                           ///< the whole line

    /// @return an option's value.
    [[nodiscard]] std::string option(const std::string& name, const std::string& otherwise = "") const
    {
        const auto found = options.find(name);
        return found == options.end() ? otherwise : found->second;
    }
    /// @return "file:line: ".
    [[nodiscard]] std::string place() const { return file + ":" + std::to_string(line) + ": "; }
};

/// Reads a scenario file; `include` and `repeat` are expanded. @throw script_error.
std::vector<statement> read_script(const std::string& path);

} // namespace guavawick::scenarios
