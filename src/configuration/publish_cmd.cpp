// Publishing a configuration: the request is checked first without effect, then executed.
#include "configuration/configuration_func.hpp"
#include "table/object_table.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace guavawick::configuration {
namespace {

constexpr std::size_t max_answers = 4096;         ///< results kept for resends
constexpr std::size_t max_deltas = 1024;          ///< revisions that are sent as differences
constexpr std::size_t max_audit_entries = 100000; ///< oldest ones are dropped
constexpr std::size_t max_name_size = 128;
constexpr std::size_t displayed_hash_digits = 8;

const field_row* find_field(object_kind kind, const std::string& name)
{
    for (const field_row& row : field_table) {
        if (row.kind == kind && name == row.name) {
            return &row;
        }
    }
    return nullptr;
}

bool is_hex(const std::string& text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

bool is_name(const std::string& text)
{
    constexpr const char* allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    return !text.empty() && text.size() <= max_name_size &&
           text.find_first_not_of(allowed) == std::string::npos;
}

std::string format_number(double value)
{
    const auto whole = static_cast<std::int64_t>(value);
    return static_cast<double>(whole) == value ? std::to_string(whole) : std::to_string(value);
}

std::string check_number(const field_row& row, const std::string& value)
{
    char* end = nullptr;
    const double parsed = std::strtod(value.c_str(), &end);
    const bool is_number = !value.empty() && *end == '\0' && std::isfinite(parsed);
    const bool matches_type = row.type != field_type::number || std::floor(parsed) == parsed;
    if (!is_number || !matches_type || parsed < row.min || parsed > row.max) {
        const std::string type_name = row.type == field_type::number ? "a whole number" : "a number";
        return "expected " + type_name + " from " + format_number(row.min) + " to " + format_number(row.max) +
               ", not \"" + value + "\"";
    }
    return {};
}

std::string check_choice(const field_row& row, const std::string& value)
{
    const std::string choices = std::string("|") + row.choices + "|";
    if (value.find('|') == std::string::npos && choices.find("|" + value + "|") != std::string::npos) {
        return {};
    }
    return "expected one of " + std::string(row.choices) + ", not \"" + value + "\"";
}

std::string check_reference(const object_set& objects, const field_row& row, const std::string& value)
{
    if (objects.count({row.target, value}) != 0) {
        return {};
    }
    return std::string("there is no ") + to_string(row.target) + " \"" + value + "\"";
}

std::string check_references(const object_set& objects, const field_row& row, const std::string& value)
{
    for (const std::string& name : split_list(value)) {
        std::string reason = check_reference(objects, row, name);
        if (!reason.empty()) {
            return reason;
        }
    }
    return {};
}

/// @return why a value is invalid, empty if it is valid.
std::string check_value(const object_set& objects, const field_row& row, const std::string& value)
{
    constexpr std::size_t sha256_digits = 64;
    switch (row.type) {
    case field_type::text:
        return value.empty() ? "expected a non-empty text" : "";
    case field_type::number:
    case field_type::decimal:
        return check_number(row, value);
    case field_type::boolean:
        return value == "true" || value == "false" ? "" : "expected true or false";
    case field_type::sha256:
        return value.size() == sha256_digits && is_hex(value) ? ""
                                                              : "expected 64 lower-case hexadecimal digits";
    case field_type::choice:
        return check_choice(row, value);
    case field_type::reference:
        return check_reference(objects, row, value);
    case field_type::references:
        return check_references(objects, row, value);
    }
    return {};
}

void check_object(const object_set& objects, const object_key& key, const object_fields& fields,
                  std::vector<fault>& faults)
{
    const std::string object_name = to_string(key);
    if (!is_name(key.name)) {
        faults.push_back(
            {object_name, "", "expected a name of at most 128 letters, digits, '-', '_' and '.'"});
    }
    for (const auto& [name, value] : fields) {
        const field_row* row = find_field(key.kind, name);
        const std::string reason = row == nullptr ? "unknown field" : check_value(objects, *row, value);
        if (!reason.empty()) {
            faults.push_back({object_name, name, reason});
        }
    }
    for (const field_row& row : field_table) {
        if (row.kind == key.kind && row.required && fields.count(row.name) == 0) {
            faults.push_back({object_name, row.name, "missing"});
        }
    }
}

/// Checks that no two routes serve the same model or service and no two keys have the same hash. With
/// duplicates it would be undefined which of them is used.
void check_unique(const object_set& objects, std::vector<fault>& faults)
{
    std::map<std::string, std::string> seen;
    for (const auto& [key, fields] : objects) {
        std::string identity;
        if (key.kind == object_kind::key && fields.count("sha256") != 0) {
            identity = "key " + fields.at("sha256");
        }
        if (key.kind == object_kind::route && fields.count("kind") != 0 && fields.count("serves") != 0) {
            identity = fields.at("kind") + " " + fields.at("serves");
        }
        if (identity.empty()) {
            continue;
        }
        const auto [first, inserted] = seen.emplace(identity, to_string(key));
        if (!inserted) {
            faults.push_back({to_string(key), "", "duplicates " + first->second});
        }
    }
}

std::string redact_value(const std::string& field, const std::string& value)
{
    return field == "sha256" ? value.substr(0, displayed_hash_digits) + "..." : value;
}

std::string describe_field(const std::string& object_name, const std::string& field,
                           const std::string& old_value, const std::string& new_value)
{
    std::string line = "  ";
    line.append(object_name)
        .append(".")
        .append(field)
        .append(": ")
        .append(old_value)
        .append(" -> ")
        .append(new_value);
    return line;
}

void describe_object(const object_key& key, const object_fields* before, const object_fields* after,
                     std::vector<std::string>& into)
{
    const std::string object_name = to_string(key);
    if (before == nullptr) {
        into.push_back("+ " + object_name);
    }
    if (after == nullptr) {
        into.push_back("- " + object_name);
        return;
    }
    for (const auto& [name, value] : *after) {
        const bool was_set = before != nullptr && before->count(name) != 0;
        if (was_set && before->at(name) == value) {
            continue;
        }
        const std::string old_value = was_set ? redact_value(name, before->at(name)) : "unset";
        into.push_back(describe_field(object_name, name, old_value, redact_value(name, value)));
    }
    if (before == nullptr) {
        return;
    }
    for (const auto& [name, value] : *before) {
        if (after->count(name) == 0) {
            into.push_back(describe_field(object_name, name, redact_value(name, value), "unset"));
        }
    }
}

delta make_delta(revision_number revision, const object_set& before, const object_set& after)
{
    delta result;
    result.revision = revision;
    for (const auto& [key, fields] : after) {
        const auto previous = before.find(key);
        if (previous == before.end() || previous->second != fields) {
            result.changed[key] = fields;
        }
    }
    for (const auto& [key, fields] : before) {
        if (after.count(key) == 0) {
            result.changed[key] = std::nullopt;
        }
    }
    return result;
}

void record_withdrawn_organisations(configuration_state& state, const delta& change)
{
    for (const auto& [key, fields] : change.changed) {
        if (key.kind != object_kind::organisation) {
            continue;
        }
        if (fields) {
            state.withdrawn.erase(key.name);
        }
        else {
            state.withdrawn.insert(key.name);
        }
    }
}

void store_answer(configuration_state& state, const std::string& request_id, const publish_result& result)
{
    if (request_id.empty()) {
        return;
    }
    state.answers[request_id] = result;
    state.answer_order.push_back(request_id);
    while (state.answer_order.size() > max_answers) {
        state.answers.erase(state.answer_order.front());
        state.answer_order.pop_front();
    }
}

} // namespace

std::vector<fault> check_set(const object_set& objects)
{
    std::vector<fault> faults;
    for (const auto& [key, fields] : objects) {
        check_object(objects, key, fields, faults);
    }
    check_unique(objects, faults);
    return faults;
}

std::vector<std::string> describe_changes(const object_set& before, const object_set& after)
{
    std::vector<std::string> changes;
    for (const auto& [key, fields] : after) {
        const auto previous = before.find(key);
        if (previous == before.end() || previous->second != fields) {
            describe_object(key, previous == before.end() ? nullptr : &previous->second, &fields, changes);
        }
    }
    for (const auto& [key, fields] : before) {
        if (after.count(key) == 0) {
            describe_object(key, &fields, nullptr, changes);
        }
    }
    return changes;
}

publish_result check_publication(const configuration_state& state, const publish_request& request)
{
    publish_result result;
    result.revision = state.revision;
    result.faults = check_set(request.objects);
    if (!result.faults.empty()) {
        result.error = failure::configuration_invalid;
        return result;
    }
    if (request.expect_revision != state.revision) {
        result.error = failure::revision_conflict;
        result.published_by = state.audit.empty() ? "" : state.audit.back().operator_name;
        return result;
    }
    result.changes = describe_changes(state.objects, request.objects);
    return result;
}

publish_result publish(configuration_state& state, const publish_request& request)
{
    const auto answered = state.answers.find(request.request_id);
    if (answered != state.answers.end()) {
        return answered->second;
    }
    publish_result result = check_publication(state, request);
    // The result of a refusal isn't stored: revisions only rise, so a resend is refused for the same reason.
    if (result.error != failure::none) {
        return result;
    }
    delta change = make_delta(state.revision + 1, state.objects, request.objects);
    ++state.revision;
    result.revision = state.revision;
    state.objects = request.objects;
    record_withdrawn_organisations(state, change);
    state.deltas.push_back(std::move(change));
    if (state.deltas.size() > max_deltas) {
        state.deltas.pop_front();
    }
    state.audit.push_back(
        {state.revision, request.operator_name, request.request_id, request.unix_ms, result.changes});
    if (state.audit.size() > max_audit_entries) {
        state.audit.erase(state.audit.begin());
    }
    store_answer(state, request.request_id, result);
    return result;
}

std::optional<std::map<object_key, std::optional<object_fields>>>
changes_since(const configuration_state& state, revision_number after)
{
    std::map<object_key, std::optional<object_fields>> changed;
    if (after == state.revision) {
        return changed;
    }
    if (after > state.revision || state.deltas.empty() || state.deltas.front().revision > after + 1) {
        return std::nullopt;
    }
    for (const delta& change : state.deltas) {
        if (change.revision <= after) {
            continue;
        }
        for (const auto& [key, fields] : change.changed) {
            changed[key] = fields;
        }
    }
    return changed;
}

void apply_changes(object_set& objects, const std::map<object_key, std::optional<object_fields>>& changed)
{
    for (const auto& [key, fields] : changed) {
        if (fields) {
            objects[key] = *fields;
        }
        else {
            objects.erase(key);
        }
    }
}

} // namespace guavawick::configuration
