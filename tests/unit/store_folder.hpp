// A data folder with the files of one group, for the tests of log_store.
#pragma once

#include "base/hash_func.hpp"
#include "consensus/consensus_func.hpp"

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <utility>

namespace guavawick::tests {

struct temporary_folder {
    std::filesystem::path path =
        std::filesystem::temp_directory_path() / ("guavawick-test-" + to_hex(random_id()));

    temporary_folder() = default;
    ~temporary_folder() { std::filesystem::remove_all(path); }
    temporary_folder(const temporary_folder&) = delete;
    temporary_folder& operator=(const temporary_folder&) = delete;
    [[nodiscard]] std::string group() const { return (path / "group-0").string(); }
    [[nodiscard]] std::string log() const { return group() + "/log"; }
};

inline std::string read_bytes(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

inline void write_bytes(const std::string& path, const std::string& bytes)
{
    std::ofstream(path, std::ios::binary | std::ios::trunc) << bytes;
}

/// @return effects that append `count` entries and change the hard state.
inline consensus::effects make_entries(consensus::log_index first, std::size_t count,
                                       const std::string& payload = "payload ")
{
    consensus::effects effects;
    for (std::size_t i = 0; i < count; ++i) {
        consensus::log_entry entry;
        entry.term = 1;
        entry.index = first + i;
        entry.kind = consensus::entry_kind::command;
        entry.payload = payload + std::to_string(first + i);
        effects.appended.push_back(entry);
    }
    effects.hard_state_changed = true;
    return effects;
}

inline consensus::group_state make_group()
{
    consensus::group_state state;
    state.term = 1;
    state.voted_for = consensus::member_id{9};
    return state;
}

} // namespace guavawick::tests
