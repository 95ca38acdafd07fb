// Failures reported to callers and peers, and the exceptions of the project.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

namespace guavawick {

/// Whether an upstream executed a call.
enum class ran_state : std::uint8_t { no, yes, unknown };

/// Every failure that is reported to a caller or a peer. Numbers are part of the protocol: append only.
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

/// Base class of the exceptions of this project.
struct error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

/// A request was refused; the caller gets the failure in its problem document.
struct refusal_error : error {
    failure kind;                     ///< the failure that the caller gets
    ran_state ran;                    ///< whether the call was executed
    std::uint32_t retry_after_ms = 0; ///< when to retry; 0 if a retry would not help

    refusal_error(failure failure_kind, const std::string& detail);
    refusal_error(failure failure_kind, const std::string& detail, ran_state call_ran);
    refusal_error(failure failure_kind, const std::string& detail, std::uint32_t retry_delay_ms);
};

/// A file of the data folder can't be read or written.
struct storage_error : error {
    using error::error;
};

/// Bytes from outside the process can't be decoded.
struct decode_error : error {
    using error::error;
};

/// A settings file or an operator's file is invalid; what() names file, key and line.
struct settings_error : error {
    using error::error;
};

/// Another process of the system can't be reached or did not answer in time, or an address can't be bound.
struct link_error : error {
    using error::error;
};

/// An operator's order was not executed: its sender no longer waits for the answer, or a later order may have
/// reversed it.
struct stale_order_error : error {
    using error::error;
};

/// One row of the failure catalogue.
struct failure_row {
    failure kind;        ///< the failure
    const char* name;    ///< stable name; the last part of the `type` of a problem document
    int status;          ///< HTTP status
    ran_state ran;       ///< whether the call was executed; default of refusal_error::ran
    const char* meaning; ///< one sentence; the title of the problem document
};

/// @return the catalogue row of a failure; the row of `bad_request` for an unknown number.
const failure_row& find_failure(failure kind) noexcept;
/// @return the failure with a number received from a peer; `bad_request` for an unknown number.
failure to_failure(std::uint32_t number) noexcept;
/// @return "no", "yes" or "unknown".
const char* to_string(ran_state ran) noexcept;

} // namespace guavawick
