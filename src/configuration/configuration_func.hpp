// Functions on the published configuration. Pure: no I/O, no clock.
#pragma once

#include "configuration/configuration_type.hpp"

namespace guavawick::configuration {

/// Validates a whole set.
/// @return all faults: unknown fields, invalid values, values out of range, dangling references, duplicates.
std::vector<fault> check_set(const object_set& objects);
/// @return the result that publishing would have now, without publishing.
publish_result check_publication(const configuration_state& state, const publish_request& request);
/// Publishes a set if it is valid and based on the current revision. A resend of an accepted request id gets
/// the first result again.
publish_result publish(configuration_state& state, const publish_request& request);
/// @return the differences between two sets, one line per changed field. Hashes of keys are shortened.
std::vector<std::string> describe_changes(const object_set& before, const object_set& after);
/// @return the objects that changed after a revision, or nullopt if the state no longer holds the deltas.
std::optional<std::map<object_key, std::optional<object_fields>>>
changes_since(const configuration_state& state, revision_number after);
/// Applies changes to a set. Objects without fields are removed.
void apply_changes(object_set& objects, const std::map<object_key, std::optional<object_fields>>& changed);
/// Builds the typed form of a set.
/// @pre check_set(objects) is empty.
view_ptr make_view(revision_number revision, const object_set& objects);

/// @return the section name of a kind.
const char* to_string(object_kind kind);
/// @return the kind of a section name, or nullopt.
std::optional<object_kind> to_object_kind(const std::string& name);
/// @return "kind.name".
std::string to_string(const object_key& key);
/// Splits a comma-separated list of references in canonical text.
std::vector<std::string> split_list(const std::string& text);

/// @return the organisation that an API key belongs to, or nullptr.
const organisation* find_organisation_by_key(const view& published, const std::string& api_key);
/// Finds the route of a model or a service by the route's name or by the name that it serves.
/// @return nullptr if there is none.
const route* find_route(const view& published, service_kind kind, const std::string& name);
/// Returns whether an organisation may use a route.
/// @param caller nullptr if the request has no API key.
bool is_authorised(const route& requested, const organisation* caller);
/// @return the budget of an organisation's programs; without limits if none is configured.
budget find_budget(const view& published, const organisation& owner);
/// Returns whether an upstream may get new work: neither it nor its data centre is taken out of service.
bool accepts_new_work(const view& published, const data_centre_name& location, const upstream_name& upstream);

} // namespace guavawick::configuration
