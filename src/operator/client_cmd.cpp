// The operator's commands: clients of the operators' API.
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

constexpr duration answer_limit = std::chrono::seconds(15);

/// The API refused, or could not be reached.
struct client_failure : error {
    int exit_code;

    client_failure(const std::string& text, int code) : error(text), exit_code(code) {}
};

http::response send(const client_options& options, const std::string& method, const std::string& target,
                    const std::string& body)
{
    http::request wanted;
    wanted.method = method;
    wanted.target = target;
    wanted.headers["Authorization"] = "Bearer " + options.key;
    wanted.headers["Content-Type"] = "application/json";
    wanted.body = body;
    boost::asio::io_context context;
    auto answer =
        boost::asio::co_spawn(context, http::fetch_response(options.address, std::move(wanted), answer_limit),
                              boost::asio::use_future);
    context.run();
    try {
        return answer.get();
    }
    catch (const http::client_error& fault) {
        throw client_failure(std::string("no answer: ") + fault.what(), exit_unreachable);
    }
}

json::object ask(const client_options& options, const std::string& method, const std::string& target,
                 const std::string& body = "")
{
    const http::response answer = send(options, method, target, body);
    boost::system::error_code wrong;
    const json::value parsed = json::parse(answer.body, wrong);
    if (wrong || !parsed.is_object()) {
        throw client_failure("the answer is no JSON object; is " + options.address + " an operator address?",
                             exit_unreachable);
    }
    if (parsed.as_object().contains("type")) {
        const json::object& problem = parsed.as_object();
        throw client_failure(std::string(problem.at("type").as_string()) + ": " +
                                 std::string(problem.at("detail").as_string()),
                             exit_refused);
    }
    return parsed.as_object();
}

std::uint64_t number_of(const json::value& value)
{
    return value.is_uint64() ? value.as_uint64()
                             : static_cast<std::uint64_t>(value.to_number<std::int64_t>());
}

json::object to_json(const configuration::object_set& objects)
{
    json::object made;
    for (const auto& [key, fields] : objects) {
        const char* kind = configuration::to_string(key.kind);
        if (!made.contains(kind)) {
            made[kind] = json::object{};
        }
        json::object& placed = made[kind].as_object()[key.name].emplace_object();
        for (const auto& [name, value] : fields) {
            placed[name] = value;
        }
    }
    return made;
}

configuration::object_set from_json(const json::object& objects)
{
    configuration::object_set made;
    for (const auto& [kind, named] : objects) {
        const auto known = configuration::to_object_kind(std::string(kind));
        for (const auto& [name, fields] : named.as_object()) {
            configuration::object_fields& placed = made[{*known, std::string(name)}];
            for (const auto& [field, value] : fields.as_object()) {
                placed[std::string(field)] = std::string(value.as_string());
            }
        }
    }
    return made;
}

void print_lines(const json::array& lines)
{
    for (const json::value& one : lines) {
        std::cout << std::string(one.as_string()) << "\n";
    }
}

int check(const client_options& options)
{
    const parsed_configuration file = read_configuration(options.file);
    const std::vector<configuration::fault> faults = configuration::check_set(file.objects);
    for (const configuration::fault& one : faults) {
        std::cerr << describe_fault(file, options.file, one) << "\n";
    }
    if (faults.empty()) {
        std::cout << options.file << ": " << file.objects.size() << " objects, no faults\n";
    }
    return faults.empty() ? exit_success : exit_refused;
}

std::uint64_t present_revision(const client_options& options)
{
    return number_of(ask(options, "GET", "/admin/v1/configuration").at("revision"));
}

int print_apply_answer(const json::object& answer, const parsed_configuration& file,
                       const client_options& options)
{
    if (options.json) {
        std::cout << json::serialize(answer) << "\n";
    }
    const std::string why(answer.at("failure").as_string());
    if (why == "none") {
        if (!options.json) {
            print_lines(answer.at("changes").as_array());
            std::cout << (options.dry_run ? "would change revision " : "revision ")
                      << number_of(answer.at("revision")) << "\n";
        }
        return exit_success;
    }
    for (const json::value& one : answer.at("faults").as_array()) {
        const json::object& fault = one.as_object();
        std::cerr << describe_fault(file, options.file,
                                    {std::string(fault.at("object").as_string()),
                                     std::string(fault.at("field").as_string()),
                                     std::string(fault.at("reason").as_string())})
                  << "\n";
    }
    if (why == "revision_conflict") {
        std::cerr << "revision_conflict: revision " << number_of(answer.at("revision"))
                  << " was published by " << std::string(answer.at("published_by").as_string())
                  << "; look at it with `guavawick diff`, then apply again\n";
    }
    return exit_refused;
}

int apply(const client_options& options)
{
    const parsed_configuration file = read_configuration(options.file);
    const std::uint64_t expected = options.expect_revision >= 0
                                       ? static_cast<std::uint64_t>(options.expect_revision)
                                       : present_revision(options);
    const json::object body{
        {"expect_revision", expected},
        {"request_id", options.request_id.empty() ? to_hex(random_id()) : options.request_id},
        {"dry_run", options.dry_run},
        {"objects", to_json(file.objects)}};
    const json::object answer = ask(options, "POST", "/admin/v1/configuration", json::serialize(body));
    return print_apply_answer(answer, file, options);
}

int get(const client_options& options)
{
    const json::object answer = ask(options, "GET", "/admin/v1/configuration");
    if (options.json) {
        std::cout << json::serialize(answer) << "\n";
        return exit_success;
    }
    std::cout << "# revision " << number_of(answer.at("revision")) << "\n";
    print_configuration(from_json(answer.at("objects").as_object()));
    return exit_success;
}

int diff(const client_options& options)
{
    const parsed_configuration file = read_configuration(options.file);
    const json::object answer = ask(options, "GET", "/admin/v1/configuration");
    for (const std::string& line :
         configuration::describe_changes(from_json(answer.at("objects").as_object()), file.objects)) {
        std::cout << line << "\n";
    }
    return exit_success;
}

int audit(const client_options& options)
{
    const json::object answer = ask(options, "GET", "/admin/v1/audit?after=" + std::to_string(options.after));
    if (options.json) {
        std::cout << json::serialize(answer) << "\n";
        return exit_success;
    }
    print_audit(answer);
    return exit_success;
}

int status(const client_options& options)
{
    const json::object answer = ask(options, "GET", "/admin/v1/status");
    if (options.json) {
        std::cout << json::serialize(answer) << "\n";
        return exit_success;
    }
    print_status(answer);
    return exit_success;
}

/// Publishes the present set with one field changed.
int set_flag(const client_options& options, configuration::object_kind kind, const std::string& name,
             const char* field, bool value)
{
    const json::object answer = ask(options, "GET", "/admin/v1/configuration");
    configuration::object_set objects = from_json(answer.at("objects").as_object());
    objects[{kind, name}][field] = value ? "true" : "false";
    const json::object body{
        {"expect_revision", answer.at("revision")},
        {"request_id", options.request_id.empty() ? to_hex(random_id()) : options.request_id},
        {"dry_run", options.dry_run},
        {"objects", to_json(objects)}};
    const json::object applied = ask(options, "POST", "/admin/v1/configuration", json::serialize(body));
    return print_apply_answer(applied, {}, options);
}

int drain(const client_options& options, const std::vector<std::string>& words)
{
    const bool back = words.size() == 3 && words[2] == "off";
    const bool known = words.size() >= 2 && (words[0] == "data_centre" || words[0] == "upstream") &&
                       (words.size() == 2 || back);
    if (!known) {
        std::cerr << "usage: guavawick drain (data_centre|upstream) NAME [off]\n";
        return exit_usage;
    }
    if (words[0] == "data_centre") {
        return set_flag(options, configuration::object_kind::data_centre, words[1], "out", !back);
    }
    return set_flag(options, configuration::object_kind::upstream, words[1], "leaving", !back);
}

int replica(const client_options& options, const std::vector<std::string>& words)
{
    if (words.size() != 2 || words[0] != "remove") {
        std::cerr << "usage: guavawick replica remove NAME\n"
                     "A new replica adds itself: start it with an empty data folder and a listed name.\n";
        return exit_usage;
    }
    const json::object state = ask(options, "GET", "/admin/v1/status");
    const json::object body{{"name", words[1]}, {"groups", state.at("groups").as_array().size()}};
    ask(options, "POST", "/admin/v1/replicas/remove", json::serialize(body));
    std::cout << "removed " << words[1] << " from every group\n";
    return exit_success;
}

int lift(const client_options& options, const std::vector<std::string>& words)
{
    if (words.size() != 1) {
        std::cerr << "usage: guavawick lift BODY_HASH\n";
        return exit_usage;
    }
    ask(options, "POST", "/admin/v1/quarantines/lift",
        json::serialize(json::object{{"body_hash", words[0]}}));
    std::cout << "lifted\n";
    return exit_success;
}

int dispatch(const std::string& command, const std::vector<std::string>& words, const client_options& options)
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
        return drain(options, words);
    }
    if (command == "lift") {
        return lift(options, words);
    }
    return replica(options, words);
}

} // namespace

int run_client_command(const std::string& command, const std::vector<std::string>& words,
                       const client_options& options)
{
    try {
        return dispatch(command, words, options);
    }
    catch (const client_failure& fault) {
        std::cerr << fault.what() << "\n";
        return fault.exit_code;
    }
    catch (const settings_error& fault) {
        std::cerr << fault.what() << "\n";
        return exit_refused;
    }
}

} // namespace guavawick::operators
