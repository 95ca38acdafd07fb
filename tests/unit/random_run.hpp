// Seeds and lengths of randomised tests, printed so that a run can be repeated.
#pragma once

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <cstdlib>
#include <string>
#include <vector>

namespace guavawick::tests {

/// @return the value of an option after `--` on the command line.
inline std::uint64_t read_option(const std::string& name, std::uint64_t otherwise)
{
    const auto& suite = boost::unit_test::framework::master_test_suite();
    for (int i = 1; i + 1 < suite.argc; ++i) {
        if (suite.argv[i] == "--" + name) {
            return std::strtoull(suite.argv[i + 1], nullptr, 10);
        }
    }
    return otherwise;
}

/// @return the seeds of a run: the fixed ones, or the one of `--seed`.
inline std::vector<std::uint64_t> seeds(std::vector<std::uint64_t> fixed)
{
    const std::uint64_t chosen = read_option("seed", 0);
    return chosen == 0 ? fixed : std::vector<std::uint64_t>{chosen};
}

} // namespace guavawick::tests
