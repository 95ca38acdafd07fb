// The operators' commands, which are clients of the operators' API.
#include "operator/client_cmd.hpp"

#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "configuration/configuration_func.hpp"
#include "http/http_error_type.hpp"
#include "operator/set_file.hpp"
#include "operator/table_print.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>

#include <iostream>

namespace guavawick::operators {

namespace json = boost::json;

namespace {

constexpr duration response_timeout = std::chrono::seconds(15);

/// The API refused a request or could not be reached.
struct command_error : error {
    int exit_code;

    command_error(const std::string& text, int code) : error(text), exit_code(code) {}
};

http::response perform_request(const client_options& options, const std::string& method,
                               const std::string& target, const std::string& body)
{
    http::request request;
    request.method = method;
    request.target = target;
    request.headers["Authorization"] = "Bearer " + options.operator_key;
    request.headers["Content-Type"] = "application/json";
    request.body = body;
    boost::asio::io_context context;
    auto pending_response = boost::asio::co_spawn(
        context, http::fetch_response(options.address, std::move(request), response_timeout),
        boost::asio::use_future);
    context.run();
    try {
        return pending_response.get();
    }
    catch (const http::client_error& error) {
        throw command_error(std::string("no answer: ") + error.what(), exit_unreachable);
    }
}

json::object call_api(const client_options& options, const std::string& method, const std::string& target,
                      const std::string& body = "")
{
    const http::response response = perform_request(options, method, target, body);
    boost::system::error_code error;
    const json::value parsed = json::parse(response.body, error);
    if (error || !parsed.is_object()) {
        throw command_error("the answer is not a JSON object; is " + options.address +
                                " an operator address?",
                            exit_unreachable);
    }
    if (parsed.as_object().contains("type")) {
        const json::object& problem = parsed.as_object();
        throw command_error(std::string(problem.at("type").as_string()) + ": " +
                                std::string(problem.at("detail").as_string()),
                            exit_refused);
    }
    return parsed.as_object();
}

std::uint64_t to_uint64(const json::value& value)
{
    return value.is_uint64() ? value.as_uint64()
                             : static_cast<std::uint64_t>(value.to_number<std::int64_t>());
}

json::object to_json(const configuration::object_set& objects)
{
    json::object result;
    for (const auto& [key, fields] : objects) {
        const char* kind = configuration::to_string(key.kind);
        if (!result.contains(kind)) {
            result[kind] = json::object{};
        }
        json::object& target = result[kind].as_object()[key.name].emplace_object();
        for (const auto& [name, value] : fields) {
            target[name] = value;
        }
    }
    return result;
}

configuration::object_set from_json(const json::object& objects)
{
    configuration::object_set result;
    for (const auto& [kind, objects_by_name] : objects) {
        const auto object_kind = configuration::to_object_kind(std::string(kind));
        for (const auto& [name, fields] : objects_by_name.as_object()) {
            configuration::object_fields& target = result[{*object_kind, std::string(name)}];
            for (const auto& [field, value] : fields.as_object()) {
                target[std::string(field)] = std::string(value.as_string());
            }
        }
    }
    return result;
}

void print_lines(const json::array& lines)
{
    for (const json::value& line : lines) {
        std::cout << std::string(line.as_string()) << "\n";
    }
}

int check(const client_options& options)
{
    const parsed_configuration file = read_configuration(options.file);
    const std::vector<configuration::fault> faults = configuration::check_set(file.objects);
    for (const configuration::fault& fault : faults) {
        std::cerr << describe_fault(file, options.file, fault) << "\n";
    }
    if (faults.empty()) {
        std::cout << options.file << ": " << file.objects.size() << " objects, no faults\n";
    }
    return faults.empty() ? exit_success : exit_refused;
}

std::uint64_t current_revision(const client_options& options)
{
    return to_uint64(call_api(options, "GET", "/admin/v1/configuration").at("revision"));
}

int print_apply_reply(const json::object& reply, const parsed_configuration& file,
                      const client_options& options)
{
    if (options.print_json) {
        std::cout << json::serialize(reply) << "\n";
    }
    const std::string failure_name(reply.at("failure").as_string());
    if (failure_name == "none") {
        if (!options.print_json) {
            print_lines(reply.at("changes").as_array());
            std::cout << (options.dry_run ? "would change revision " : "revision ")
                      << to_uint64(reply.at("revision")) << "\n";
        }
        return exit_success;
    }
    for (const json::value& item : reply.at("faults").as_array()) {
        const json::object& fault = item.as_object();
        std::cerr << describe_fault(file, options.file,
                                    {std::string(fault.at("object").as_string()),
                                     std::string(fault.at("field").as_string()),
                                     std::string(fault.at("reason").as_string())})
                  << "\n";
    }
    if (failure_name == "revision_conflict") {
        std::cerr << "revision_conflict: revision " << to_uint64(reply.at("revision")) << " was published by "
                  << std::string(reply.at("published_by").as_string())
                  << "; review it with `guavawick diff`, then apply again\n";
    }
    return exit_refused;
}

int apply(const client_options& options)
{
    const parsed_configuration file = read_configuration(options.file);
    const std::uint64_t expected = options.expect_revision >= 0
                                       ? static_cast<std::uint64_t>(options.expect_revision)
                                       : current_revision(options);
    const json::object body{
        {"expect_revision", expected},
        {"request_id", options.request_id.empty() ? to_hex(random_id()) : options.request_id},
        {"dry_run", options.dry_run},
        {"objects", to_json(file.objects)}};
    const json::object reply = call_api(options, "POST", "/admin/v1/configuration", json::serialize(body));
    return print_apply_reply(reply, file, options);
}

int get(const client_options& options)
{
    const json::object reply = call_api(options, "GET", "/admin/v1/configuration");
    if (options.print_json) {
        std::cout << json::serialize(reply) << "\n";
        return exit_success;
    }
    std::cout << "# revision " << to_uint64(reply.at("revision")) << "\n";
    print_configuration(from_json(reply.at("objects").as_object()));
    return exit_success;
}

int diff(const client_options& options)
{
    const parsed_configuration file = read_configuration(options.file);
    const json::object reply = call_api(options, "GET", "/admin/v1/configuration");
    for (const std::string& line :
         configuration::describe_changes(from_json(reply.at("objects").as_object()), file.objects)) {
        std::cout << line << "\n";
    }
    return exit_success;
}

int audit(const client_options& options)
{
    const json::object reply =
        call_api(options, "GET", "/admin/v1/audit?after=" + std::to_string(options.after_revision));
    if (options.print_json) {
        std::cout << json::serialize(reply) << "\n";
        return exit_success;
    }
    print_audit(reply);
    return exit_success;
}

int status(const client_options& options)
{
    const json::object reply = call_api(options, "GET", "/admin/v1/status");
    if (options.print_json) {
        std::cout << json::serialize(reply) << "\n";
        return exit_success;
    }
    print_status(reply);
    return exit_success;
}

/// Publishes the configuration in force with one field changed.
int publish_flag(const client_options& options, configuration::object_kind kind, const std::string& name,
                 const char* field, bool value)
{
    const json::object current = call_api(options, "GET", "/admin/v1/configuration");
    configuration::object_set objects = from_json(current.at("objects").as_object());
    objects[{kind, name}][field] = value ? "true" : "false";
    const json::object body{
        {"expect_revision", current.at("revision")},
        {"request_id", options.request_id.empty() ? to_hex(random_id()) : options.request_id},
        {"dry_run", options.dry_run},
        {"objects", to_json(objects)}};
    const json::object reply = call_api(options, "POST", "/admin/v1/configuration", json::serialize(body));
    return print_apply_reply(reply, {}, options);
}

int drain(const client_options& options, const std::vector<std::string>& arguments)
{
    const bool is_undo = arguments.size() == 3 && arguments[2] == "off";
    const bool is_valid = arguments.size() >= 2 &&
                          (arguments[0] == "data_centre" || arguments[0] == "upstream") &&
                          (arguments.size() == 2 || is_undo);
    if (!is_valid) {
        std::cerr << "usage: guavawick drain (data_centre|upstream) NAME [off]\n";
        return exit_usage;
    }
    if (arguments[0] == "data_centre") {
        return publish_flag(options, configuration::object_kind::data_centre, arguments[1], "out", !is_undo);
    }
    return publish_flag(options, configuration::object_kind::upstream, arguments[1], "leaving", !is_undo);
}

int remove_replica(const client_options& options, const std::vector<std::string>& arguments)
{
    if (arguments.size() != 2 || arguments[0] != "remove") {
        std::cerr << "usage: guavawick replica remove NAME\n"
                     "A new replica joins by itself: start it with an empty data folder and a name from the "
                     "replica list.\n";
        return exit_usage;
    }
    const json::object status_reply = call_api(options, "GET", "/admin/v1/status");
    const json::object body{{"name", arguments[1]}, {"groups", status_reply.at("groups").as_array().size()}};
    call_api(options, "POST", "/admin/v1/replicas/remove", json::serialize(body));
    std::cout << "removed " << arguments[1] << " from every group\n";
    return exit_success;
}

int lift_quarantine(const client_options& options, const std::vector<std::string>& arguments)
{
    if (arguments.size() != 1) {
        std::cerr << "usage: guavawick lift BODY_HASH\n";
        return exit_usage;
    }
    call_api(options, "POST", "/admin/v1/quarantines/lift",
             json::serialize(json::object{{"body_hash", arguments[0]}}));
    std::cout << "lifted\n";
    return exit_success;
}

int dispatch(const std::string& command, const std::vector<std::string>& arguments,
             const client_options& options)
{
    if (command == "check") {
        return check(options);
    }
    if (command == "apply") {
        return apply(options);
    }
    if (command == "diff") {
        return diff(options);
    }
    if (command == "get") {
        return get(options);
    }
    if (command == "audit") {
        return audit(options);
    }
    if (command == "status") {
        return status(options);
    }
    if (command == "drain") {
        return drain(options, arguments);
    }
    if (command == "lift") {
        return lift_quarantine(options, arguments);
    }
    return remove_replica(options, arguments);
}

} // namespace

int run_client_command(const std::string& command, const std::vector<std::string>& arguments,
                       const client_options& options)
{
    try {
        return dispatch(command, arguments, options);
    }
    catch (const command_error& error) {
        std::cerr << error.what() << "\n";
        return error.exit_code;
    }
    catch (const settings_error& error) {
        std::cerr << error.what() << "\n";
        return exit_refused;
    }
}

} // namespace guavawick::operators
