// Prints replies of the operators' API as tables on standard output.
#include "operator/table_print.hpp"

#include "configuration/configuration_func.hpp"
#include "table/object_table.hpp"

#include <boost/json.hpp>

#include <ctime>
#include <iomanip>
#include <iostream>

namespace guavawick::operators {

namespace json = boost::json;

namespace {

using row = std::vector<std::string>;

void print_table(const std::vector<row>& rows)
{
    std::vector<std::size_t> widths;
    for (const row& cells : rows) {
        widths.resize(std::max(widths.size(), cells.size()));
        for (std::size_t i = 0; i < cells.size(); ++i) {
            widths[i] = std::max(widths[i], cells[i].size());
        }
    }
    for (const row& cells : rows) {
        for (std::size_t i = 0; i < cells.size(); ++i) {
            std::cout << (i == 0 ? "" : "  ") << std::left << std::setw(static_cast<int>(widths[i]))
                      << cells[i];
        }
        std::cout << "\n";
    }
}

std::string cell(const json::object& object, const char* name)
{
    const json::value& value = object.at(name);
    return value.is_string() ? std::string(value.as_string()) : json::serialize(value);
}

std::string describe_member(const json::object& member, std::int64_t last)
{
    const std::string lag =
        std::to_string(std::max<std::int64_t>(0, last - member.at("match").to_number<std::int64_t>()));
    const std::string state = member.at("in_touch").as_bool() ? lag : "no recent contact";
    return cell(member, "name") + (member.at("voter").as_bool() ? "" : " learner") + " (" + state + ")";
}

std::string format_value(configuration::object_kind kind, const std::string& field, const std::string& value)
{
    for (const configuration::field_row& definition : configuration::field_table) {
        if (definition.kind != kind || field != definition.name) {
            continue;
        }
        const bool is_unquoted = definition.type == configuration::field_type::number ||
                                 definition.type == configuration::field_type::decimal ||
                                 definition.type == configuration::field_type::boolean;
        if (is_unquoted) {
            return value;
        }
        if (definition.type == configuration::field_type::references) {
            std::string list;
            for (const std::string& item : configuration::split_list(value)) {
                list += (list.empty() ? "\"" : ", \"") + item + "\"";
            }
            return "[" + list + "]";
        }
    }
    return "\"" + value + "\"";
}

std::string format_time(std::int64_t unix_ms)
{
    constexpr std::int64_t ms_per_second = 1000;
    const std::time_t seconds = unix_ms / ms_per_second;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text.data();
}

} // namespace

void print_configuration(const configuration::object_set& objects)
{
    for (const auto& [key, fields] : objects) {
        const bool is_bare_key = key.name.find('.') == std::string::npos;
        std::cout << "\n[" << configuration::to_string(key.kind) << "."
                  << (is_bare_key ? key.name : "\"" + key.name + "\"") << "]\n";
        for (const auto& [name, value] : fields) {
            std::cout << name << " = " << format_value(key.kind, name, value) << "\n";
        }
    }
}

void print_audit(const json::object& reply)
{
    std::vector<row> rows{{"REVISION", "TIME", "OPERATOR", "REQUEST", "CHANGE"}};
    for (const json::value& record_value : reply.at("records").as_array()) {
        const json::object& record = record_value.as_object();
        bool first = true;
        for (const json::value& change : record.at("changes").as_array()) {
            const std::string text(change.as_string());
            rows.push_back(first ? row{cell(record, "revision"),
                                       format_time(record.at("unix_ms").to_number<std::int64_t>()),
                                       cell(record, "operator"), cell(record, "request_id"), text}
                                 : row{"", "", "", "", text});
            first = false;
        }
    }
    print_table(rows);
}

void print_status(const json::object& reply)
{
    std::cout << "revision " << cell(reply, "revision") << ", control leader " << cell(reply, "replica")
              << "\n\n";
    std::vector<row> replicas{{"REPLICA", "ANSWERS"}};
    for (const json::value& replica : reply.at("replicas").as_array()) {
        replicas.push_back({cell(replica.as_object(), "name"), cell(replica.as_object(), "answers")});
    }
    print_table(replicas);
    std::cout << "\n";
    std::vector<row> groups{{"GROUP", "LEADER", "TERM", "COMMIT", "APPLIED", "MEMBERS (LAG)"}};
    for (const json::value& group_value : reply.at("groups").as_array()) {
        const json::object& group = group_value.as_object();
        std::string members;
        for (const json::value& member_value : group.at("members").as_array()) {
            const json::object& member = member_value.as_object();
            members += (members.empty() ? "" : ",") +
                       describe_member(member, group.at("last").to_number<std::int64_t>());
        }
        groups.push_back({cell(group, "group"), cell(group, "leader"), cell(group, "term"),
                          cell(group, "commit"), cell(group, "applied"), members});
    }
    print_table(groups);
    std::vector<row> upstreams{{"UPSTREAM", "DATA CENTRE", "KIND", "SERVES", "LEAVING", "INCARNATION"}};
    for (const json::value& upstream_value : reply.at("upstreams").as_array()) {
        const json::object& upstream = upstream_value.as_object();
        upstreams.push_back({cell(upstream, "name"), cell(upstream, "data_centre"), cell(upstream, "kind"),
                             cell(upstream, "serves"), cell(upstream, "leaving"),
                             cell(upstream, "incarnation")});
    }
    std::cout << "\n";
    print_table(upstreams);
    std::vector<row> processes{{"PROCESS", "ROLE", "REVISION", "SILENT MS"}};
    for (const json::value& process_value : reply.at("processes").as_array()) {
        const json::object& process = process_value.as_object();
        processes.push_back({cell(process, "name"), cell(process, "role"), cell(process, "revision"),
                             cell(process, "silent_ms")});
    }
    std::cout << "\n";
    print_table(processes);
}

} // namespace guavawick::operators
