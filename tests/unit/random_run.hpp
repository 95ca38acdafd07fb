// Command-line options of randomised tests: seed and duration.
#pragma once

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

namespace guavawick::tests {

/// @return the value of the option `--name`, given after a `--` on the command line, or `fallback`.
inline std::uint64_t read_option(const std::string& name, std::uint64_t fallback)
{
    const auto& suite = boost::unit_test::framework::master_test_suite();
    for (int i = 1; i + 1 < suite.argc; ++i) {
        if (suite.argv[i] == "--" + name) {
            return std::strtoull(suite.argv[i + 1], nullptr, 10);
        }
    }
    return fallback;
}

/// @return the seeds to run: the one given by `--seed`, or else the default ones.
inline std::vector<std::uint64_t> seeds(std::vector<std::uint64_t> defaults)
{
    const std::uint64_t chosen = read_option("seed", 0);
    return chosen == 0 ? defaults : std::vector<std::uint64_t>{chosen};
}

} // namespace guavawick::tests
