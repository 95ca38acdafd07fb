// Types of the published configuration, a set of named objects that refer to each other.
#pragma once

#include "base/clock_type.hpp"
#include "base/failure_type.hpp"
#include "base/id_type.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace guavawick::configuration {

using revision_number = std::uint64_t;

/// Kinds of objects that operators publish. The numbers are part of the protocol: only append to them.
enum class object_kind : std::uint8_t {
    organisation = 1,
    key = 2,
    upstream = 3,
    data_centre = 4,
    budget = 5,
    route = 6
};

/// Identity of one object.
struct object_key {
    object_kind kind = object_kind::organisation; ///< kind of the object
    std::string name;                             ///< unique within the kind

    auto operator<=>(const object_key&) const = default;
};

using object_fields = std::map<std::string, std::string>; ///< canonical text by field name
using object_set = std::map<object_key, object_fields>;   ///< a complete configuration

/// A validation error of a configuration.
struct fault {
    std::string object; ///< "kind.name"
    std::string field;  ///< empty if the fault concerns the object itself
    std::string reason; ///< what is wrong or what was expected
};

/// An operator's request to publish a set.
struct publish_request {
    revision_number expect_revision = 0; ///< revision that the operator's set is based on
    std::string request_id;              ///< idempotency key: a resend has the same id
    std::string operator_name;           ///< who publishes
    object_set objects;                  ///< complete set
    std::int64_t unix_ms = 0;            ///< wall-clock time, for the audit trail
};

/// Result of a request to publish.
struct publish_result {
    failure error = failure::none;    ///< none if the set was published
    revision_number revision = 0;     ///< new revision, or the current one after a refusal
    std::string published_by;         ///< revision_conflict: operator of the current revision
    std::vector<fault> faults;        ///< configuration_invalid: all faults of the set
    std::vector<std::string> changes; ///< differences to the previous revision
};

/// Audit record of one published revision.
struct audit_entry {
    revision_number revision = 0;
    std::string operator_name;
    std::string request_id;
    std::int64_t unix_ms = 0;         ///< wall clock of the leader; for display only
    std::vector<std::string> changes; ///< one line per changed field
};

/// Difference of a revision to the previous one.
struct delta {
    revision_number revision = 0;
    std::map<object_key, std::optional<object_fields>> changed; ///< nullopt: the object was removed
};

/// The replicated state of the configuration.
struct configuration_state {
    revision_number revision = 0;
    object_set objects;
    std::vector<audit_entry> audit;
    std::map<std::string, publish_result> answers; ///< results of the latest requests, by request id
    std::deque<std::string> answer_order;          ///< request ids of `answers`, oldest first
    std::deque<delta> deltas;                      ///< latest ones, for processes that are slightly behind
    std::set<std::string> withdrawn; ///< names of removed organisations, whose programs have to end
};

struct organisation {
    organisation_name name;
    double rate = 0;    ///< requests per second
    double burst = 0;   ///< bucket size in requests
    double weight = 1;  ///< relative share of the upstreams under contention
    std::string budget; ///< name of its programs' budget; empty: no limits
};

struct budget {
    std::uint64_t calls = 0;        ///< 0: no limit
    std::uint64_t tokens = 0;       ///< 0: no limit
    std::uint64_t seconds = 0;      ///< 0: no limit
    std::uint64_t idle_seconds = 0; ///< 0: default_idle_seconds of the ledger
};

enum class service_kind : std::uint8_t { model = 1, service = 2 };

struct route {
    std::string name;
    service_kind kind = service_kind::model;
    std::string serves;                        ///< name of the model or service
    std::set<organisation_name> organisations; ///< organisations that may use it; empty: all
    bool allow_anonymous = false;              ///< may be used without an API key
    bool repeatable = true;                    ///< calls may run more than once
    duration deadline{};                       ///< 0: no deadline
    std::uint64_t max_tokens = 0;              ///< reserved for a call whose caller sets no limit; 0: default
};

struct upstream_policy {
    bool leaving = false;         ///< gets no new work
    std::uint64_t max_window = 0; ///< upper limit of the concurrency window; 0: none configured
};

struct data_centre {
    std::string region;
    bool out = false; ///< gets no new work
};

/// A validated set in typed form, immutable once built.
struct view {
    revision_number revision = 0;
    std::unordered_map<std::string, organisation> organisations;
    std::unordered_map<std::string, organisation_name> keys; ///< by SHA-256 in lower-case hex
    std::unordered_map<std::string, upstream_policy> upstreams;
    std::unordered_map<std::string, data_centre> data_centres;
    std::unordered_map<std::string, budget> budgets;
    std::unordered_map<std::string, route> routes; ///< by name
};

using view_ptr = std::shared_ptr<const view>;

} // namespace guavawick::configuration
