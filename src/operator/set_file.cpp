// Configuration sets as TOML files.
#include "operator/set_file.hpp"

#include "base/failure_type.hpp"
#include "base/toml_include.hpp"
#include "configuration/configuration_func.hpp"

#include <cmath>
#include <fstream>
#include <sstream>

namespace guavawick::operators {
namespace {

[[noreturn]] void fail(const std::string& path, const toml::node& node, const std::string& reason)
{
    throw settings_error(path + ":" + std::to_string(node.source().begin.line) + ": " + reason);
}

std::string decimal_text(double value)
{
    if (std::floor(value) == value && std::abs(value) < 1e15) {
        return std::to_string(static_cast<std::int64_t>(value));
    }
    std::ostringstream text;
    text.precision(12);
    text << value;
    return text.str();
}

std::string list_text(const std::string& path, const std::string& shown, const toml::array& list)
{
    std::string text;
    for (const toml::node& one : list) {
        if (!one.is_string() || one.ref<std::string>().find(',') != std::string::npos) {
            fail(path, one, shown + ": expected a list of names");
        }
        text += (text.empty() ? "" : ",") + one.ref<std::string>();
    }
    return text;
}

std::string field_text(const std::string& path, const std::string& shown, const toml::node& node)
{
    if (node.is_string()) {
        return node.ref<std::string>();
    }
    if (node.is_boolean()) {
        return node.ref<bool>() ? "true" : "false";
    }
    if (node.is_integer()) {
        return std::to_string(node.ref<std::int64_t>());
    }
    if (node.is_floating_point()) {
        return decimal_text(node.ref<double>());
    }
    if (node.is_array()) {
        return list_text(path, shown, *node.as_array());
    }
    fail(path, node, shown + ": expected a text, a number, true, false or a list of names");
}

void read_object(parsed_configuration& into, const std::string& path, const configuration::object_key& key,
                 const toml::table& fields)
{
    const std::string shown = configuration::to_string(key);
    into.lines[shown] = fields.source().begin.line;
    configuration::object_fields& made = into.objects[key];
    for (const auto& [name, node] : fields) {
        const std::string field(name.str());
        std::string full = shown;
        full.append(".").append(field);
        into.lines[full] = node.source().begin.line;
        made[field] = field_text(path, full, node);
    }
}

} // namespace

parsed_configuration parse_configuration(const std::string& text, const std::string& path)
{
    toml::table root;
    try {
        root = toml::parse(text, path);
    }
    catch (const toml::parse_error& fault) {
        throw settings_error(path + ":" + std::to_string(fault.source().begin.line) + ": " +
                             std::string(fault.description()));
    }
    parsed_configuration read;
    for (const auto& [kind_name, kind_node] : root) {
        const auto kind = configuration::to_object_kind(std::string(kind_name.str()));
        if (!kind) {
            fail(path, kind_node, "\"" + std::string(kind_name.str()) + "\" is no kind of object");
        }
        if (!kind_node.is_table()) {
            fail(path, kind_node, "expected sections [" + std::string(kind_name.str()) + ".NAME]");
        }
        for (const auto& [name, fields] : *kind_node.as_table()) {
            if (!fields.is_table()) {
                fail(path, fields,
                     "expected a section [" + std::string(kind_name.str()) + "." + std::string(name.str()) +
                         "]");
            }
            read_object(read, path, {*kind, std::string(name.str())}, *fields.as_table());
        }
    }
    return read;
}

parsed_configuration read_configuration(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        throw settings_error(path + ": can't be opened");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_configuration(text.str(), path);
}

std::string describe_fault(const parsed_configuration& file, const std::string& path,
                           const configuration::fault& one)
{
    const std::string full = one.object + (one.field.empty() ? "" : "." + one.field);
    auto line = file.lines.find(full);
    if (line == file.lines.end()) {
        line = file.lines.find(one.object);
    }
    const std::string place = line == file.lines.end() ? path : path + ":" + std::to_string(line->second);
    return place + ": " + full + ": " + one.reason;
}

} // namespace guavawick::operators
