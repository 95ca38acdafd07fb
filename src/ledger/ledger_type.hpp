// Types of the ledger: programs, their calls, histories and budgets. The state is that of one shard. No I/O.
#pragma once

#include "base/clock_type.hpp"
#include "base/failure_type.hpp"
#include "base/id_type.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavawick::ledger {

/// Time of a consensus group. It advances only while the group has a leader, so that time without a leader
/// does not shorten a lease.
using group_time = std::chrono::milliseconds;

/// Identity of a program. The organisation is part of it, so that programs of two organisations never share a
/// history.
struct program_key {
    organisation_name organisation;
    program_name program;

    auto operator<=>(const program_key&) const = default;
};

struct program_key_hash {
    std::size_t operator()(const program_key& key) const noexcept
    {
        return std::hash<organisation_name>{}(key.organisation) * 31 + std::hash<program_name>{}(key.program);
    }
};

/// One message of a program's history.
struct chat_message {
    std::string role;
    std::string content;

    bool operator==(const chat_message&) const = default;
};

/// Limits of a root program and all its sub-agents together; 0 means no limit.
struct budget_limits {
    std::uint64_t calls = 0;
    std::uint64_t tokens = 0;
    std::uint64_t seconds = 0;      ///< since the first call
    std::uint64_t idle_seconds = 0; ///< 0: default_idle_seconds
};

constexpr std::uint64_t default_idle_seconds = 3600;
constexpr std::size_t max_closed_calls = 32; ///< per program; their outcomes answer resends

/// The answer of a call, stored for resends.
struct stored_answer {
    std::uint32_t status = 0; ///< HTTP status
    std::string content_type;
    std::string body;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t completion_tokens = 0;
};

enum class call_status : std::uint8_t { waiting = 0, running = 1, closed = 2 };

/// How a call ended.
enum class call_outcome : std::uint8_t {
    done = 0,         ///< the upstream answered
    failed = 1,       ///< the upstream answered with an error; the history stays as it was
    not_executed = 2, ///< it never started and never will; a resend may run
    unknown = 3,      ///< it may have run and never runs again; a resend is refused
    abandoned = 4,    ///< it is repeatable and was cut off; a resend may run
};

/// The attempt of a call, and the upstream and the entry that it is assigned to.
struct call_assignment {
    attempt_id attempt;
    upstream_name upstream;
    incarnation_id upstream_incarnation;
    std::string upstream_endpoint; ///< of the upstream's sidecar
    incarnation_id entry;          ///< entry that serves the caller
};

/// One call of a program.
struct call_state {
    request_name request_id; ///< idempotency key, or a random id
    call_status status = call_status::waiting;
    call_assignment assignment; ///< the only attempt that may run and close the call
    bool repeatable = false;
    bool keep_answer = false; ///< the answer is stored, since the caller may resend the request
    body_hash body;
    std::uint64_t reserved_tokens = 0;  ///< reserved from the root's budget while the call runs
    std::vector<chat_message> messages; ///< the caller's messages, appended to the history once it is done
    call_outcome outcome = call_outcome::done;
    stored_answer answer;
};

/// One program.
struct program_state {
    program_key key;
    program_name parent;               ///< empty for a root
    program_name root;                 ///< itself for a root
    bool ephemeral = false;            ///< erased as soon as it has no open call
    budget_limits budget;              ///< roots only
    std::uint64_t calls = 0;           ///< roots: calls of the root and its sub-agents, also running ones
    std::uint64_t tokens = 0;          ///< roots: tokens used by the root and its sub-agents
    std::uint64_t reserved_tokens = 0; ///< roots: tokens reserved by running calls
    std::uint64_t attained_tokens = 0; ///< service that this program attained so far, for queue order
    group_time opened_at{};
    group_time used_at{};
    std::vector<chat_message> history;
    std::uint64_t history_tokens = 0;    ///< prompt and answer of the last call, as its engine counted
    upstream_name last_upstream;         ///< upstream of the last call, where the history is cached
    std::deque<call_state> open_calls;   ///< the first one runs, the others wait in order of arrival
    std::deque<call_state> closed_calls; ///< newest last
    std::set<upstream_name> held_by;     ///< upstreams whose engine may hold memory of the program
    std::set<program_name> children;     ///< roots: sub-agents in the root's shard
};

/// A program that lives in the shard of its root.
struct alias_state {
    program_name root;
    group_time used_at{};
};

/// State of one shard.
struct ledger_state {
    group_time now{};
    std::unordered_map<program_key, program_state, program_key_hash> programs;
    std::unordered_map<program_key, alias_state, program_key_hash> aliases;
    std::set<std::pair<group_time, program_key>> expiries; ///< when each program expires if it stays idle
    std::map<program_key, std::set<upstream_name>> memory_to_free; ///< engine memory of ended programs
    group_time aliases_checked_at{};                               ///< when unused aliases were last dropped
};

/// A request to open a call.
struct open_request {
    program_key key;
    program_name parent;
    program_name root; ///< empty for a program that lives in its own shard
    request_name request_id;
    call_assignment assignment; ///< proposed; the call gets it when it is granted
    body_hash body;
    std::uint64_t max_tokens = 0; ///< upper limit of the tokens that the call uses; reserved while it runs
    bool repeatable = false;
    bool ephemeral = false;
    bool keep_answer = false;
    bool alias_only = false; ///< only records that `key` lives in the shard of `root`
    budget_limits budget;
    attempt_id replaces; ///< a settled attempt of the same call that this one replaces
    std::vector<chat_message> messages;
};

/// An upstream that an entry offers for a call.
struct upstream_choice {
    upstream_name upstream;
    incarnation_id incarnation;
    std::string endpoint;
    double seconds = 0; ///< expected time until the call ends, without the prefill of the history
    double prefill_tokens_per_second = 1000;
};

enum class open_outcome : std::uint8_t {
    granted = 0, ///< run it at the assigned upstream
    waiting = 1, ///< an earlier call of the program runs
    stored = 2,  ///< the same request was answered; its answer is in `answer`
    running = 3, ///< the same request runs; join it
    refused = 4, ///< see `error`
    moved = 5,   ///< the program lives in the shard of `root`
    settle = 6,  ///< the entry of an earlier call is gone; settle its attempt first
};

struct open_result {
    open_outcome outcome = open_outcome::refused;
    failure error = failure::none;
    call_assignment assignment;        ///< granted, running, settle: the attempt
    bool repeatable = false;           ///< settle, running: of the assigned call
    std::vector<chat_message> history; ///< granted: messages before the new ones
    std::uint64_t attained_tokens = 0;
    stored_answer answer; ///< stored
    program_name root;    ///< moved
};

/// A report of how an attempt ended.
struct close_request {
    program_key key;
    attempt_id attempt;
    call_outcome outcome = call_outcome::done;
    std::uint64_t prompt_tokens = 0;
    std::uint64_t completion_tokens = 0;
    stored_answer answer;
    std::vector<chat_message> messages; ///< messages of the answer, for the history
};

/// A call that left its program's queue, granted or refused.
struct dequeued_call {
    program_key key;
    request_name request_id;
    open_result result;
};

struct close_result {
    bool accepted = false; ///< the call was closed by this attempt, now or earlier
    std::vector<dequeued_call> dequeued;
};

} // namespace guavawick::ledger
