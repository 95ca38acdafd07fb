// Publishing a configuration: checked first without effect, then executed.
#include "configuration/configuration_func.hpp"
#include "table/object_table.hpp"

#include <algorithm>
#include <cmath>
#include <cstdlib>

namespace guavawick::configuration {
namespace {

constexpr std::size_t kept_answers = 4096; ///< request ids whose answers are remembered
constexpr std::size_t kept_deltas = 1024;  ///< revisions that are spread as differences
constexpr std::size_t kept_audit = 100000; ///< lines of the audit trail
constexpr std::size_t max_name_size = 128;
constexpr std::size_t shown_hash_digits = 8;

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

std::string plain_number(double value)
{
    const auto whole = static_cast<std::int64_t>(value);
    return static_cast<double>(whole) == value ? std::to_string(whole) : std::to_string(value);
}

std::string check_number(const field_row& row, const std::string& value)
{
    char* end = nullptr;
    const double parsed = std::strtod(value.c_str(), &end);
    const bool whole_text = !value.empty() && *end == '\0' && std::isfinite(parsed);
    const bool whole_number = row.type != field_type::number || std::floor(parsed) == parsed;
    if (!whole_text || !whole_number || parsed < row.least || parsed > row.most) {
        const std::string noun = row.type == field_type::number ? "a whole number" : "a number";
        return "expected " + noun + " from " + plain_number(row.least) + " to " + plain_number(row.most) +
               ", not \"" + value + "\"";
    }
    return {};
}

std::string check_word(const field_row& row, const std::string& value)
{
    const std::string words = std::string("|") + row.words + "|";
    if (value.find('|') == std::string::npos && words.find("|" + value + "|") != std::string::npos) {
        return {};
    }
    return "expected one of " + std::string(row.words) + ", not \"" + value + "\"";
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
    for (const std::string& one : split_list(value)) {
        std::string reason = check_reference(objects, row, one);
        if (!reason.empty()) {
            return reason;
        }
    }
    return {};
}

/// @return what is wrong with a value, empty if nothing.
std::string check_value(const object_set& objects, const field_row& row, const std::string& value)
{
    constexpr std::size_t sha256_digits = 64;
    switch (row.type) {
    case field_type::text:
        return value.empty() ? "expected a text that is not empty" : "";
    case field_type::number:
    case field_type::decimal:
        return check_number(row, value);
    case field_type::boolean:
        return value == "true" || value == "false" ? "" : "expected true or false";
    case field_type::sha256:
        return value.size() == sha256_digits && is_hex(value) ? ""
                                                              : "expected 64 lower-case hexadecimal digits";
    case field_type::word:
        return check_word(row, value);
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
    const std::string shown = to_string(key);
    if (!is_name(key.name)) {
        faults.push_back({shown, "", "expected a name of letters, digits, '-', '_' and '.', at most 128"});
    }
    for (const auto& [name, value] : fields) {
        const field_row* row = find_field(key.kind, name);
        const std::string reason = row == nullptr ? "unknown field" : check_value(objects, *row, value);
        if (!reason.empty()) {
            faults.push_back({shown, name, reason});
        }
    }
    for (const field_row& row : field_table) {
        if (row.kind == key.kind && row.required && fields.count(row.name) == 0) {
            faults.push_back({shown, row.name, "missing"});
        }
    }
}

/// Two routes for one model, or one key for two organisations, would make the outcome depend on chance.
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
            faults.push_back({to_string(key), "", "the same as " + first->second});
        }
    }
}

std::string shown_value(const std::string& field, const std::string& value)
{
    return field == "sha256" ? value.substr(0, shown_hash_digits) + "..." : value;
}

std::string describe_field(const std::string& shown, const std::string& field, const std::string& old,
                           const std::string& fresh)
{
    std::string line = "  ";
    line.append(shown).append(".").append(field).append(": ").append(old).append(" -> ").append(fresh);
    return line;
}

void describe_object(const object_key& key, const object_fields* before, const object_fields* after,
                     std::vector<std::string>& into)
{
    const std::string shown = to_string(key);
    if (before == nullptr) {
        into.push_back("+ " + shown);
    }
    if (after == nullptr) {
        into.push_back("- " + shown);
        return;
    }
    for (const auto& [name, value] : *after) {
        const bool had = before != nullptr && before->count(name) != 0;
        if (had && before->at(name) == value) {
            continue;
        }
        const std::string old = had ? shown_value(name, before->at(name)) : "unset";
        into.push_back(describe_field(shown, name, old, shown_value(name, value)));
    }
    if (before == nullptr) {
        return;
    }
    for (const auto& [name, value] : *before) {
        if (after->count(name) == 0) {
            into.push_back(describe_field(shown, name, shown_value(name, value), "unset"));
        }
    }
}

delta make_delta(revision_number revision, const object_set& before, const object_set& after)
{
    delta made;
    made.revision = revision;
    for (const auto& [key, fields] : after) {
        const auto old = before.find(key);
        if (old == before.end() || old->second != fields) {
            made.changed[key] = fields;
        }
    }
    for (const auto& [key, fields] : before) {
        if (after.count(key) == 0) {
            made.changed[key] = std::nullopt;
        }
    }
    return made;
}

void note_withdrawn(configuration_state& state, const delta& change)
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

void remember_answer(configuration_state& state, const std::string& request_id, const publish_result& result)
{
    if (request_id.empty()) {
        return;
    }
    state.answers[request_id] = result;
    state.answer_order.push_back(request_id);
    while (state.answer_order.size() > kept_answers) {
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
        const auto old = before.find(key);
        if (old == before.end() || old->second != fields) {
            describe_object(key, old == before.end() ? nullptr : &old->second, &fields, changes);
        }
    }
    for (const auto& [key, fields] : before) {
        if (after.count(key) == 0) {
            describe_object(key, &fields, nullptr, changes);
        }
    }
    return changes;
}

publish_result check_publication(const configuration_state& state, const publish_request& wish)
{
    publish_result result;
    result.revision = state.revision;
    result.faults = check_set(wish.objects);
    if (!result.faults.empty()) {
        result.error = failure::configuration_invalid;
        return result;
    }
    if (wish.expect_revision != state.revision) {
        result.error = failure::revision_conflict;
        result.published_by = state.audit.empty() ? "" : state.audit.back().operator_name;
        return result;
    }
    result.changes = describe_changes(state.objects, wish.objects);
    return result;
}

publish_result publish(configuration_state& state, const publish_request& wish)
{
    const auto answered = state.answers.find(wish.request_id);
    if (answered != state.answers.end()) {
        return answered->second;
    }
    publish_result result = check_publication(state, wish);
    // A refusal needs no memory: revisions only rise, so a resend is refused for the same reason.
    if (result.error != failure::none) {
        return result;
    }
    delta change = make_delta(state.revision + 1, state.objects, wish.objects);
    ++state.revision;
    result.revision = state.revision;
    state.objects = wish.objects;
    note_withdrawn(state, change);
    state.deltas.push_back(std::move(change));
    if (state.deltas.size() > kept_deltas) {
        state.deltas.pop_front();
    }
    state.audit.push_back(
        {state.revision, wish.operator_name, wish.request_id, wish.unix_ms, result.changes});
    if (state.audit.size() > kept_audit) {
        state.audit.erase(state.audit.begin());
    }
    remember_answer(state, wish.request_id, result);
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
    for (const delta& one : state.deltas) {
        if (one.revision <= after) {
            continue;
        }
        for (const auto& [key, fields] : one.changed) {
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
