// The typed form of the published configuration and look-ups in it.
#include "configuration/configuration_func.hpp"

#include "base/hash_func.hpp"
#include "table/object_table.hpp"

#include <cstdlib>

namespace guavawick::configuration {
namespace {

std::string get_text(const object_fields& fields, const char* name, const std::string& default_value = "")
{
    const auto found = fields.find(name);
    return found == fields.end() ? default_value : found->second;
}

double get_number(const object_fields& fields, const char* name, double default_value)
{
    const auto found = fields.find(name);
    return found == fields.end() ? default_value : std::strtod(found->second.c_str(), nullptr);
}

std::uint64_t get_whole_number(const object_fields& fields, const char* name)
{
    return static_cast<std::uint64_t>(get_number(fields, name, 0));
}

bool get_boolean(const object_fields& fields, const char* name, bool default_value)
{
    const auto found = fields.find(name);
    return found == fields.end() ? default_value : found->second == "true";
}

organisation make_organisation(const std::string& name, const object_fields& fields)
{
    organisation result;
    result.name = organisation_name{name};
    result.rate = get_number(fields, "rate", 0);
    result.burst = get_number(fields, "burst", 0);
    result.weight = get_number(fields, "weight", 1);
    result.budget = get_text(fields, "budget");
    return result;
}

route make_route(const std::string& name, const object_fields& fields)
{
    route result;
    result.name = name;
    result.kind = get_text(fields, "kind") == "service" ? service_kind::service : service_kind::model;
    result.serves = get_text(fields, "serves");
    for (const std::string& allowed : split_list(get_text(fields, "organisations"))) {
        result.organisations.insert(organisation_name{allowed});
    }
    result.allow_anonymous = get_boolean(fields, "open", false);
    result.repeatable = get_boolean(fields, "repeatable", result.kind == service_kind::model);
    result.deadline = std::chrono::milliseconds(get_whole_number(fields, "deadline_ms"));
    result.max_tokens = get_whole_number(fields, "most_tokens");
    return result;
}

void add_to_view(view& published, const object_key& key, const object_fields& fields)
{
    switch (key.kind) {
    case object_kind::organisation:
        published.organisations.emplace(key.name, make_organisation(key.name, fields));
        return;
    case object_kind::key:
        published.keys.emplace(get_text(fields, "sha256"),
                               organisation_name{get_text(fields, "organisation")});
        return;
    case object_kind::upstream:
        published.upstreams.emplace(key.name, upstream_policy{get_boolean(fields, "leaving", false),
                                                              get_whole_number(fields, "max_window")});
        return;
    case object_kind::data_centre:
        published.data_centres.emplace(
            key.name, data_centre{get_text(fields, "region"), get_boolean(fields, "out", false)});
        return;
    case object_kind::budget:
        published.budgets.emplace(
            key.name, budget{get_whole_number(fields, "calls"), get_whole_number(fields, "tokens"),
                             get_whole_number(fields, "seconds"), get_whole_number(fields, "idle_seconds")});
        return;
    case object_kind::route:
        published.routes.emplace(key.name, make_route(key.name, fields));
        return;
    }
}

} // namespace

const char* to_string(object_kind kind)
{
    for (const kind_row& row : kind_table) {
        if (row.kind == kind) {
            return row.name;
        }
    }
    return "unknown";
}

std::optional<object_kind> to_object_kind(const std::string& name)
{
    for (const kind_row& row : kind_table) {
        if (name == row.name) {
            return row.kind;
        }
    }
    return std::nullopt;
}

std::string to_string(const object_key& key)
{
    return std::string(to_string(key.kind)) + "." + key.name;
}

std::vector<std::string> split_list(const std::string& text)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start < text.size()) {
        const std::size_t end = std::min(text.find(',', start), text.size());
        parts.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    return parts;
}

view_ptr make_view(revision_number revision, const object_set& objects)
{
    auto result = std::make_shared<view>();
    result->revision = revision;
    for (const auto& [key, fields] : objects) {
        add_to_view(*result, key, fields);
    }
    return result;
}

const organisation* find_organisation_by_key(const view& published, const std::string& api_key)
{
    const std::string digest = sha256_hex(api_key);
    const auto found = published.keys.find(digest);
    if (found == published.keys.end() || !equal_in_constant_time(found->first, digest)) {
        return nullptr;
    }
    const auto owner = published.organisations.find(found->second.value);
    return owner == published.organisations.end() ? nullptr : &owner->second;
}

const route* find_route(const view& published, service_kind kind, const std::string& name)
{
    const auto by_name = published.routes.find(name);
    if (by_name != published.routes.end() && by_name->second.kind == kind) {
        return &by_name->second;
    }
    for (const auto& [route_name, candidate] : published.routes) {
        if (candidate.kind == kind && candidate.serves == name) {
            return &candidate;
        }
    }
    return nullptr;
}

bool is_authorised(const route& requested, const organisation* caller)
{
    if (caller == nullptr) {
        return requested.allow_anonymous;
    }
    return requested.allow_anonymous || requested.organisations.empty() ||
           requested.organisations.count(caller->name) != 0;
}

budget find_budget(const view& published, const organisation& owner)
{
    const auto found = published.budgets.find(owner.budget);
    return found == published.budgets.end() ? budget{} : found->second;
}

bool accepts_new_work(const view& published, const data_centre_name& location, const upstream_name& upstream)
{
    const auto centre = published.data_centres.find(location.value);
    if (centre != published.data_centres.end() && centre->second.out) {
        return false;
    }
    const auto policy = published.upstreams.find(upstream.value);
    return policy == published.upstreams.end() || !policy->second.leaving;
}

} // namespace guavawick::configuration
