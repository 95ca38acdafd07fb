// Reads configuration sets from TOML files.
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

std::string format_decimal(double value)
{
    if (std::floor(value) == value && std::abs(value) < 1e15) {
        return std::to_string(static_cast<std::int64_t>(value));
    }
    std::ostringstream text;
    text.precision(12);
    text << value;
    return text.str();
}

std::string read_list(const std::string& path, const std::string& full_name, const toml::array& list)
{
    std::string text;
    for (const toml::node& item : list) {
        if (!item.is_string() || item.ref<std::string>().find(',') != std::string::npos) {
            fail(path, item, full_name + ": expected a list of names");
        }
        text += (text.empty() ? "" : ",") + item.ref<std::string>();
    }
    return text;
}

std::string read_field(const std::string& path, const std::string& full_name, const toml::node& node)
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
        return format_decimal(node.ref<double>());
    }
    if (node.is_array()) {
        return read_list(path, full_name, *node.as_array());
    }
    fail(path, node, full_name + ": expected a string, a number, true, false or a list of names");
}

void read_object(parsed_configuration& result, const std::string& path, const configuration::object_key& key,
                 const toml::table& fields)
{
    const std::string object_name = configuration::to_string(key);
    result.lines[object_name] = fields.source().begin.line;
    configuration::object_fields& object = result.objects[key];
    for (const auto& [name, node] : fields) {
        const std::string field(name.str());
        std::string full_name = object_name;
        full_name.append(".").append(field);
        result.lines[full_name] = node.source().begin.line;
        object[field] = read_field(path, full_name, node);
    }
}

} // namespace

parsed_configuration parse_configuration(const std::string& text, const std::string& path)
{
    toml::table root;
    try {
        root = toml::parse(text, path);
    }
    catch (const toml::parse_error& error) {
        throw settings_error(path + ":" + std::to_string(error.source().begin.line) + ": " +
                             std::string(error.description()));
    }
    parsed_configuration result;
    for (const auto& [kind_name, kind_node] : root) {
        const auto kind = configuration::to_object_kind(std::string(kind_name.str()));
        if (!kind) {
            fail(path, kind_node, "\"" + std::string(kind_name.str()) + "\" is not a kind of object");
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
            read_object(result, path, {*kind, std::string(name.str())}, *fields.as_table());
        }
    }
    return result;
}

parsed_configuration read_configuration(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        throw settings_error(path + ": cannot be opened");
    }
    std::ostringstream text;
    text << file.rdbuf();
    return parse_configuration(text.str(), path);
}

std::string describe_fault(const parsed_configuration& file, const std::string& path,
                           const configuration::fault& fault)
{
    const std::string full_name = fault.object + (fault.field.empty() ? "" : "." + fault.field);
    auto line = file.lines.find(full_name);
    if (line == file.lines.end()) {
        line = file.lines.find(fault.object);
    }
    const std::string position = line == file.lines.end() ? path : path + ":" + std::to_string(line->second);
    return position + ": " + full_name + ": " + fault.reason;
}

} // namespace guavawick::operators
