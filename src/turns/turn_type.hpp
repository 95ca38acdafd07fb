// Types of the turns of programs: the stored conversation history and the token budgets. State of a ledger
// group.
#pragma once

#include "base/content_type.hpp"
#include "base/id_type.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace guavawick::turns {

using namespace std::chrono_literals;

/// Time of a group: counted by the leader's steady clock from the group time at which it became leader.
using group_time = std::chrono::milliseconds;

constexpr std::chrono::milliseconds account_retention = 120s;  ///< accounts unused for this long are removed
constexpr std::chrono::milliseconds retention_slack = 5s;      ///< additional retention, as clocks may differ
constexpr std::chrono::milliseconds default_run_timeout = 30s; ///< of gateways that do not state one
constexpr std::chrono::milliseconds sweep_interval =
    1s;                                        ///< interval between removals of old turns and accounts
constexpr std::size_t max_chain_length = 4096; ///< maximum number of turns in a history

/// Identifies a turn of one organisation. Histories of different organisations are never mixed.
struct turn_key {
    organisation_name organisation;
    request_name request;

    auto operator<=>(const turn_key&) const = default;
};

/// A stored turn that ended successfully. Several turns may continue from the same one.
struct turn {
    request_name previous;   ///< the turn that it continues from; empty for the first
    content_range content;   ///< the bytes that the caller sent, then the data of each event and a line feed
    std::string upstream;    ///< instance that ran it and has its prompt cached
    group_time keep_until{}; ///< the turn is removed after this
};

/// Identifies a program of one organisation.
struct program_key {
    organisation_name organisation;
    program_name program;

    auto operator<=>(const program_key&) const = default;
};

/// Token account of a program.
struct program_account {
    std::uint64_t spent = 0;                        ///< tokens of closed turns
    std::map<request_name, std::uint64_t> reserved; ///< maximum tokens of each turn that may be running
    std::set<request_name> settled; ///< closed turns, which are charged once and not opened again
    std::map<std::string, std::string> upstream_by_line; ///< instance that ran the latest turn of each line
    std::string last_upstream;                           ///< instance that ran the latest turn of any line
    group_time used_at{};
    group_time keep_until{}; ///< the account is not removed before this
};

/// The upstream software that began a stream. The events of two versions can't be joined to one stream.
struct stream_origin {
    std::string service;
    std::string version;       ///< of the software; empty if the service's instances announce none
    std::uint32_t attempt = 0; ///< of the call, from 1; 0 if it was recorded when the turn was opened
    group_time keep_until{};   ///< the origin is removed after this
};

/// Turns, program accounts and origins of streams of a ledger group.
struct turn_state {
    group_time now{};
    std::map<turn_key, stream_origin> streams; ///< by the request that got the stream's first event
    std::map<turn_key, turn> turns;
    std::map<program_key, program_account> programs;
};

/// Request to open a turn.
struct open_request {
    organisation_name organisation;
    request_name request;
    program_name program;            ///< empty if no budget applies
    std::uint64_t budget_tokens = 0; ///< token budget of the whole program
    std::uint64_t max_tokens = 0;    ///< maximum tokens of this turn
    request_name previous;           ///< turn to continue from; empty if there is none
    std::string line;                ///< sequence of turns within the program that this turn belongs to
    bool has_history = false;        ///< the requesting gateway already has the bytes of the history
    std::chrono::milliseconds run_timeout = default_run_timeout; ///< time left until the call's deadline
    std::optional<stream_origin> origin; ///< of a stream that may be taken up, if it is known already
    request_name resumes;                ///< request whose stream the call takes up; empty if there is none
};

/// Whether a turn may run.
enum class open_outcome : std::uint8_t {
    granted,
    budget_spent,
    unknown_turn,
    closed ///< it was closed before; its request arrives late or again
};

/// Result of opening a turn.
struct open_result {
    open_outcome outcome = open_outcome::granted;
    std::vector<content_range>
        history; ///< contents of the earlier turns, oldest first; empty if the gateway has them
    std::string
        upstream; ///< instance that has the prompt of the line, or of its program, cached; empty if unknown
    request_name missing;       ///< turn of the chain that is not stored, if the outcome is unknown_turn
    std::uint64_t spent = 0;    ///< tokens of closed turns, for logs
    std::uint64_t reserved = 0; ///< tokens reserved for running turns, for logs
    std::optional<stream_origin> origin; ///< of the stream that the call takes up; nothing if it is unknown
};

/// Request to record the origin of a stream.
struct stream_request {
    organisation_name organisation;
    request_name request;
    stream_origin origin;
    std::chrono::milliseconds run_timeout = default_run_timeout; ///< time left until the call's deadline
};

/// Request to close a turn.
struct close_request {
    organisation_name organisation;
    request_name request;
    program_name program;
    std::uint64_t used_tokens = 0;
    bool keep = false; ///< it ended successfully, and turns may continue from it
    request_name previous;
    std::string upstream;
    std::chrono::milliseconds retention{};
    std::string line;
};

/// Result of closing a turn.
struct close_result {
    bool accepted = true; ///< false: the turn was to be stored, but a turn that it continues from is gone
    request_name missing; ///< that turn
};

} // namespace guavawick::turns
