// Types of the published configuration: named objects that refer to one another.
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

/// Kinds of objects that operators publish. Numbers are part of the protocol: append only.
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

using object_fields = std::map<std::string, std::string>; ///< field name to canonical text
using object_set = std::map<object_key, object_fields>;   ///< a whole configuration

/// One fault of a configuration.
struct fault {
    std::string object; ///< "kind.name"
    std::string field;  ///< empty where the whole object is meant
    std::string reason; ///< what was expected
};

/// An operator's wish to publish a set.
struct publish_request {
    revision_number expect_revision = 0; ///< the revision that the operator started from
    std::string request_id;              ///< the same for a resend
    std::string operator_name;           ///< who publishes
    object_set objects;                  ///< the whole set
    std::int64_t unix_ms = 0;            ///< time for the audit trail
};

/// Answer to a publication.
struct publish_result {
    failure error = failure::none;    ///< none if the set was accepted
    revision_number revision = 0;     ///< the new revision, or the present one of a refusal
    std::string published_by;         ///< revision_conflict: who published the present revision
    std::vector<fault> faults;        ///< configuration_invalid: every fault
    std::vector<std::string> changes; ///< what differs from the revision before
};

/// One line of the audit trail.
struct audit_entry {
    revision_number revision = 0;
    std::string operator_name;
    std::string request_id;
    std::int64_t unix_ms = 0;         ///< wall clock of the leader, for people
    std::vector<std::string> changes; ///< one text a changed field
};

/// A set's difference to the revision before.
struct delta {
    revision_number revision = 0;
    std::map<object_key, std::optional<object_fields>> changed; ///< nullopt: removed
};

/// The replicated state of the configuration.
struct configuration_state {
    revision_number revision = 0;
    object_set objects;
    std::vector<audit_entry> audit;
    std::map<std::string, publish_result> answers; ///< by request id, the newest
    std::deque<std::string> answer_order;          ///< request ids, oldest first
    std::deque<delta> deltas;                      ///< the newest, for processes that are slightly behind
    std::set<std::string> withdrawn;               ///< organisations that were removed
};

struct organisation {
    organisation_name name;
    double rate = 0;    ///< requests a second
    double burst = 0;   ///< requests at once
    double weight = 1;  ///< share of upstreams under contention
    std::string budget; ///< name of the budget of its programs; empty for none
};

struct budget {
    std::uint64_t calls = 0;        ///< 0: no limit
    std::uint64_t tokens = 0;       ///< 0: no limit
    std::uint64_t seconds = 0;      ///< 0: no limit
    std::uint64_t idle_seconds = 0; ///< 0: the default
};

enum class service_kind : std::uint8_t { model = 1, service = 2 };

struct route {
    std::string name;
    service_kind kind = service_kind::model;
    std::string serves;                        ///< the model's or the service's name
    std::set<organisation_name> organisations; ///< empty: every organisation
    bool open = false;                         ///< needs no key
    bool repeatable = true;                    ///< calls may run more than once
    duration deadline{};                       ///< 0: none
    std::uint64_t max_tokens = 0;              ///< tokens reserved where the caller names no limit
};

struct upstream_policy {
    bool leaving = false;         ///< takes no new work
    std::uint64_t max_window = 0; ///< 0: no limit from the configuration
};

struct data_centre {
    std::string region;
    bool out = false; ///< takes no new work
};

/// A checked set in typed form, immutable once built.
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
