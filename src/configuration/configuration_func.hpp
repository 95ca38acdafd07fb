// Functions over the published configuration. Pure: no I/O, no clock.
#pragma once

#include "configuration/configuration_type.hpp"

namespace guavawick::configuration {

/// Checks a whole set. @return every fault: unknown fields, wrong values, absurd limits, dangling references.
std::vector<fault> check_set(const object_set& objects);
/// Tells what publishing would answer, without effect.
publish_result check_publication(const configuration_state& state, const publish_request& wish);
/// Checks, then publishes. A resend of a request id gets its first answer.
publish_result publish(configuration_state& state, const publish_request& wish);
/// Lists the differences between two sets, one text a changed field; keys' hashes are shortened.
std::vector<std::string> describe_changes(const object_set& before, const object_set& after);
/// @return what changed after a revision, oldest first, or nullopt if that is no longer known.
std::optional<std::map<object_key, std::optional<object_fields>>>
changes_since(const configuration_state& state, revision_number after);
/// Applies a difference to a set.
void apply_changes(object_set& objects, const std::map<object_key, std::optional<object_fields>>& changed);
/// Builds the typed form. @pre check_set(objects) is empty.
view_ptr make_view(revision_number revision, const object_set& objects);

/// @return the section name of a kind.
const char* to_string(object_kind kind);
/// @return the kind of a section name, or nullopt.
std::optional<object_kind> to_object_kind(const std::string& name);
/// @return "kind.name".
std::string to_string(const object_key& key);
/// Splits a canonical list of references.
std::vector<std::string> split_list(const std::string& text);

/// Finds the organisation that a presented key belongs to. @return nullptr if there is none.
const organisation* find_organisation_by_key(const view& published, const std::string& presented);
/// Finds the route of a model or a service. @return nullptr if there is none.
const route* find_route(const view& published, service_kind kind, const std::string& name);
/// Tells whether an organisation may use a route; `caller` is nullptr where no key was presented.
bool is_authorised(const route& wanted, const organisation* caller);
/// @return the budget of an organisation's programs; no limits where none is set.
budget find_budget(const view& published, const organisation& owner);
/// Tells whether a data centre or an upstream may get new work.
bool accepts_new_work(const view& published, const data_centre_name& where, const upstream_name& who);

} // namespace guavawick::configuration
