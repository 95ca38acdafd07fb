// The kinds of failure that callers and peers are told.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

namespace guavawick {

/// Whether a call reached an upstream's work.
enum class ran_state : std::uint8_t { no, yes, unknown };

/// Every failure that is told to a caller or a peer. Numbers are part of the protocol: append only.
enum class failure : std::uint32_t {
    none = 0,
    bad_request = 1,
    key_missing = 2,
    key_unknown = 3,
    route_unknown = 4,
    route_forbidden = 5,
    program_unknown = 6,
    program_ended = 7,
    request_mismatch = 8,
    budget_exhausted = 9,
    rate_exceeded = 10,
    overloaded = 11,
    no_upstream = 12,
    configuration_stale = 13,
    ledger_unavailable = 14,
    request_quarantined = 15,
    outcome_unknown = 16,
    upstream_lost = 17,
    upstream_failed = 18,
    incarnation_mismatch = 19,
    leaving = 20,
    too_large = 21,
    timeout = 22,
    tombstoned = 23,
    cancelled = 24,
    revision_conflict = 25,
    configuration_invalid = 26,
    operator_unknown = 27,
    fencing_old = 28,
    not_leader = 29,
    busy = 30,
    not_found = 31,
};

/// Base of every exception of this project.
struct error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// A request was refused, with a type that the caller is told.
struct refusal_error : error {
    failure kind;                     ///< what the caller is told
    ran_state ran;                    ///< whether the call ran
    std::uint32_t retry_after_ms = 0; ///< when to come back, 0 if that would not help

    refusal_error(failure why, const std::string& detail);
    refusal_error(failure why, const std::string& detail, ran_state ran_already);
    refusal_error(failure why, const std::string& detail, std::uint32_t retry_ms);
};

/// A file of the data folder can't be read or written.
struct storage_error : error {
    using error::error;
};

/// Bytes from outside do not decode.
struct decode_error : error {
    using error::error;
};

/// Settings or an operator's file are wrong; the text names file, key and line.
struct settings_error : error {
    using error::error;
};

/// A call to another process of the system got no answer in time.
struct link_error : error {
    using error::error;
};

/// One row of the failure catalogue.
struct failure_row {
    failure kind;        ///< the failure
    const char* name;    ///< stable name, the last part of the problem's `type`
    int status;          ///< HTTP status
    ran_state ran;       ///< whether the call ran, unless the place that fails knows better
    const char* meaning; ///< one sentence for the caller
};

/// @return the catalogue's row of a failure; an unknown number gives the row of `bad_request`.
const failure_row& find_failure(failure kind) noexcept;
/// @return the failure for a number from the wire.
failure to_failure(std::uint32_t number) noexcept;
/// @return "no", "yes" or "unknown".
const char* to_string(ran_state ran) noexcept;

} // namespace guavawick
