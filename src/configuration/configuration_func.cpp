// Look-ups in the published configuration.
#include "configuration/configuration_func.hpp"

#include "base/hash_func.hpp"
#include "table/object_table.hpp"

#include <cstdlib>

namespace guavawick::configuration {
namespace {

std::string text_of(const object_fields& fields, const char* name, const std::string& otherwise = "")
{
    const auto found = fields.find(name);
    return found == fields.end() ? otherwise : found->second;
}

double decimal_of(const object_fields& fields, const char* name, double otherwise)
{
    const auto found = fields.find(name);
    return found == fields.end() ? otherwise : std::strtod(found->second.c_str(), nullptr);
}

std::uint64_t number_of(const object_fields& fields, const char* name)
{
    return static_cast<std::uint64_t>(decimal_of(fields, name, 0));
}

bool flag_of(const object_fields& fields, const char* name, bool otherwise)
{
    const auto found = fields.find(name);
    return found == fields.end() ? otherwise : found->second == "true";
}

organisation make_organisation(const std::string& name, const object_fields& fields)
{
    organisation made;
    made.name = organisation_name{name};
    made.rate = decimal_of(fields, "rate", 0);
    made.burst = decimal_of(fields, "burst", 0);
    made.weight = decimal_of(fields, "weight", 1);
    made.budget = text_of(fields, "budget");
    return made;
}

route make_route(const std::string& name, const object_fields& fields)
{
    route made;
    made.name = name;
    made.kind = text_of(fields, "kind") == "service" ? service_kind::service : service_kind::model;
    made.serves = text_of(fields, "serves");
    for (const std::string& one : split_list(text_of(fields, "organisations"))) {
        made.organisations.insert(organisation_name{one});
    }
    made.open = flag_of(fields, "open", false);
    made.repeatable = flag_of(fields, "repeatable", made.kind == service_kind::model);
    made.deadline = std::chrono::milliseconds(number_of(fields, "deadline_ms"));
    made.max_tokens = number_of(fields, "most_tokens");
    return made;
}

void add_to_view(view& into, const object_key& key, const object_fields& fields)
{
    switch (key.kind) {
    case object_kind::organisation:
        into.organisations.emplace(key.name, make_organisation(key.name, fields));
        return;
    case object_kind::key:
        into.keys.emplace(text_of(fields, "sha256"), organisation_name{text_of(fields, "organisation")});
        return;
    case object_kind::upstream:
        into.upstreams.emplace(
            key.name, upstream_policy{flag_of(fields, "leaving", false), number_of(fields, "max_window")});
        return;
    case object_kind::data_centre:
        into.data_centres.emplace(key.name,
                                  data_centre{text_of(fields, "region"), flag_of(fields, "out", false)});
        return;
    case object_kind::budget:
        into.budgets.emplace(key.name,
                             budget{number_of(fields, "calls"), number_of(fields, "tokens"),
                                    number_of(fields, "seconds"), number_of(fields, "idle_seconds")});
        return;
    case object_kind::route:
        into.routes.emplace(key.name, make_route(key.name, fields));
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
    auto made = std::make_shared<view>();
    made->revision = revision;
    for (const auto& [key, fields] : objects) {
        add_to_view(*made, key, fields);
    }
    return made;
}

const organisation* find_organisation_by_key(const view& published, const std::string& presented)
{
    const std::string digest = sha256_hex(presented);
    const auto found = published.keys.find(digest);
    if (found == published.keys.end() || !equal_in_constant_time(found->first, digest)) {
        return nullptr;
    }
    const auto owner = published.organisations.find(found->second.value);
    return owner == published.organisations.end() ? nullptr : &owner->second;
}

const route* find_route(const view& published, service_kind kind, const std::string& name)
{
    const auto named = published.routes.find(name);
    if (named != published.routes.end() && named->second.kind == kind) {
        return &named->second;
    }
    for (const auto& [route_name, candidate] : published.routes) {
        if (candidate.kind == kind && candidate.serves == name) {
            return &candidate;
        }
    }
    return nullptr;
}

bool is_authorised(const route& wanted, const organisation* caller)
{
    if (caller == nullptr) {
        return wanted.open;
    }
    return wanted.open || wanted.organisations.empty() || wanted.organisations.count(caller->name) != 0;
}

budget find_budget(const view& published, const organisation& owner)
{
    const auto found = published.budgets.find(owner.budget);
    return found == published.budgets.end() ? budget{} : found->second;
}

bool accepts_new_work(const view& published, const data_centre_name& where, const upstream_name& who)
{
    const auto centre = published.data_centres.find(where.value);
    if (centre != published.data_centres.end() && centre->second.out) {
        return false;
    }
    const auto policy = published.upstreams.find(who.value);
    return policy == published.upstreams.end() || !policy->second.leaving;
}

} // namespace guavawick::configuration
