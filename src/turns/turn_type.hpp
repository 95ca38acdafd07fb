// Turns of programs: what was said, and how many tokens a program may still generate. State of a ledger
// group.
#pragma once

#include "base/id_type.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace guavawick::turns {

using namespace std::chrono_literals;

/// Time of a group: the leader's wall clock, never running backwards through hand-overs.
using group_time = std::chrono::milliseconds;

/// Names a turn of one organisation. Two organisations never meet in one history.
struct turn_key {
    organisation_name organisation;
    request_name request;

    auto operator<=>(const turn_key&) const = default;
};

/// A turn that ended whole. Several turns may continue from the same one.
struct turn {
    request_name previous;   ///< the turn that it continues from; empty for the first
    std::string input;       ///< bytes that the caller sent
    std::string output;      ///< data of the events, each followed by a line feed
    std::string upstream;    ///< instance that ran it, whose cache is warm
    group_time keep_until{}; ///< dropped after this
};

/// Names a program of one organisation.
struct program_key {
    organisation_name organisation;
    program_name program;

    auto operator<=>(const program_key&) const = default;
};

/// What a program has generated and may be generating.
struct program_account {
    std::uint64_t spent = 0;                        ///< tokens of turns that ended
    std::map<request_name, std::uint64_t> reserved; ///< most tokens of turns that may be running
    std::set<request_name> settled;                 ///< turns that ended, so that a resend settles nothing
    std::map<std::string, std::string> upstream_by_line; ///< where each line of turns last ran
    std::string last_upstream;                           ///< where any of them last ran
    group_time used_at{};
};

/// Everything that a ledger group holds of turns.
struct turn_state {
    group_time now{};
    std::map<turn_key, turn> turns;
    std::map<program_key, program_account> programs;
};

/// Wish to run a turn.
struct open_request {
    organisation_name organisation;
    request_name request;
    program_name program;            ///< empty: no budget binds
    std::uint64_t budget_tokens = 0; ///< of the whole program
    std::uint64_t max_tokens = 0;    ///< of this turn
    request_name previous;           ///< empty: starts a chain
    std::string line;                ///< the line of turns that it belongs to
    bool has_history = false;        ///< the asking entry holds the chain's bytes
};

/// Whether a turn may run.
enum class open_outcome : std::uint8_t { granted, budget_spent, unknown_turn };

/// Answer to a wish.
struct open_result {
    open_outcome outcome = open_outcome::granted;
    std::string history;     ///< everything before the new input, oldest first; empty where the entry has it
    std::string upstream;    ///< where the cache of the line, or of its program, is warm; empty if unknown
    std::uint64_t spent = 0; ///< tokens, for logs
    std::uint64_t reserved = 0; ///< tokens, for logs
};

/// How a turn ended.
struct close_request {
    organisation_name organisation;
    request_name request;
    program_name program;
    std::uint64_t used_tokens = 0;
    bool keep = false; ///< it ended whole and can be continued from
    request_name previous;
    std::string input;
    std::string output;
    std::string upstream;
    std::chrono::milliseconds retention{};
    std::string line;
};

constexpr std::chrono::milliseconds account_retention = 120s; ///< a program unused for this long is forgotten
constexpr std::chrono::milliseconds retention_slack =
    5s; ///< kept longer than promised, for clocks that differ
constexpr std::chrono::milliseconds sweep_interval = 1s; ///< how often what is old is looked for
constexpr std::size_t max_chain_length = 4096;           ///< turns of one chain

} // namespace guavawick::turns
