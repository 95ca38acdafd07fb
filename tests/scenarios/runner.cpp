// Executes a scenario.
#include "runner.hpp"

#include "base/hash_func.hpp"
#include "http/http_error_type.hpp"

#include <boost/asio/use_future.hpp>
#include <boost/json.hpp>

#include <csignal>
#include <iostream>
#include <thread>

namespace guavawick::scenarios {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr duration poll_interval = std::chrono::milliseconds(25);
constexpr duration request_timeout = std::chrono::seconds(2);
constexpr duration call_timeout = std::chrono::seconds(90);
constexpr const char* operator_key = "operator-key";

json::object parse_object(const std::string& text)
{
    boost::system::error_code parse_error;
    json::value parsed = json::parse(text, parse_error);
    return !parse_error && parsed.is_object() ? std::move(parsed.as_object()) : json::object{};
}

std::string string_member(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

std::uint64_t number_member(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    if (value == nullptr || !value->is_number()) {
        return 0;
    }
    return value->is_uint64() ? value->as_uint64()
                              : static_cast<std::uint64_t>(value->to_number<std::int64_t>());
}

asio::awaitable<void> perform_call(std::shared_ptr<client_call> call)
{
    http::chunk_handler handle_chunk = [call](int status, const std::string&,
                                              std::string chunk) -> asio::awaitable<bool> {
        const std::lock_guard lock(call->mutex);
        call->status = status;
        call->body += chunk;
        co_return true;
    };
    std::string error_text;
    int status = 0;
    try {
        http::request request = call->request;
        status = co_await http::fetch(call->address, std::move(request), call_timeout, call->cancellation,
                                      std::move(handle_chunk));
    }
    catch (const error& exception) {
        error_text = exception.what();
    }
    const std::lock_guard lock(call->mutex);
    call->status = error_text.empty() ? status : call->status;
    call->error_text = error_text;
    call->complete = error_text.empty();
    call->done = true;
}

} // namespace

runner::runner(process_set& processes, runtime::worker_pool& pool, bool verbose)
    : processes_(processes), pool_(pool), verbose_(verbose)
{
}

void runner::run(const std::vector<script_statement>& script)
{
    for (const script_statement& statement : script) {
        if (verbose_) {
            std::cout << statement.text << std::endl;
        }
        execute(statement);
    }
    for (const auto& [name, call] : calls_) {
        call->cancellation->cancel();
    }
    check_invariants();
}

void runner::execute(const script_statement& statement)
{
    const std::map<std::string, std::function<void()>> actions{
        {"system", [&] { define_system(statement); }},
        {"upstream", [&] { define_upstream(statement); }},
        {"object", [&] { define_object(statement); }},
        {"withdraw",
         [&] {
             const std::string& key = statement.words.at(0);
             const std::size_t dot = key.find('.');
             objects_[key.substr(0, dot)].as_object().erase(key.substr(dot + 1));
         }},
        {"publish", [&] { publish(statement); }},
        {"start", [&] { start(statement); }},
        {"stop", [&] { stop(statement); }},
        {"kill", [&] { send_signal(statement, SIGKILL); }},
        {"freeze", [&] { send_signal(statement, SIGSTOP); }},
        {"thaw", [&] { send_signal(statement, SIGCONT); }},
        {"wipe", [&] { processes_.wipe_disk(statement.words.at(0)); }},
        {"tear", [&] { processes_.tear_logs(statement.words.at(0)); }},
        {"cut",
         [&] {
             processes_.cut(resolve_name(statement.words.at(0), statement),
                            resolve_name(statement.words.at(1), statement),
                            statement.option("ways", "both") == "both");
         }},
        {"heal", [&] { processes_.heal(statement.words.at(0), statement.words.at(1)); }},
        {"mute",
         [&] {
             processes_.mute(resolve_name(statement.words.at(0), statement),
                             resolve_name(statement.words.at(1), statement));
         }},
        {"call", [&] { start_call(statement); }},
        {"resend", [&] { resend(statement); }},
        {"expect", [&] { expect(statement); }},
        {"pause", [&] { std::this_thread::sleep_for(statement.timeout); }},
        {"say", [&] { std::cout << statement.words.at(0) << std::endl; }},
        {"status", [&] { print_status(); }},
        {"wait_for_signal", [] { runtime::wait_for_stop_signal(); }},
    };
    try {
        actions.at(statement.keyword)();
    }
    catch (const std::out_of_range&) {
        throw script_error(statement.location() + "a word is missing or unknown: " + statement.text);
    }
}

void runner::define_system(const script_statement& statement)
{
    const auto number = [&](const char* name, int default_value) {
        return statement.option(name).empty() ? default_value : std::stoi(statement.option(name));
    };
    system_.replicas = number("replicas", system_.replicas);
    system_.entries = number("entries", system_.entries);
    system_.shards = number("shards", system_.shards);
    system_.relays = number("relays", 0) != 0;
    system_.data_centres = statement.option("centres", system_.data_centres);
    for (const auto& [name, value] : statement.options) {
        const std::size_t dot = name.find('.');
        if (dot == std::string::npos) {
            continue;
        }
        const std::string role = name.substr(0, dot);
        auto& target = role == "entry"     ? system_.entry_settings
                       : role == "sidecar" ? system_.sidecar_settings
                                           : system_.replica_settings;
        target[name.substr(dot + 1)] = value;
    }
}

void runner::define_upstream(const script_statement& statement)
{
    upstream_definition upstream;
    upstream.name = statement.words.at(0);
    upstream.kind = statement.option("kind", "model");
    upstream.serves = statement.option("serves", "m");
    upstream.data_centre = statement.option("centre", "dc1");
    for (const auto& [name, value] : statement.options) {
        if (name != "kind" && name != "serves" && name != "centre") {
            upstream.flags[name] = value;
        }
    }
    upstreams_.push_back(upstream);
}

void runner::define_object(const script_statement& statement)
{
    const std::string& key = statement.words.at(0);
    const std::size_t dot = key.find('.');
    const std::string kind = key.substr(0, dot);
    if (!objects_.contains(kind)) {
        objects_[kind] = json::object{};
    }
    json::object& fields = objects_[kind].as_object()[key.substr(dot + 1)].emplace_object();
    for (const auto& [name, value] : statement.options) {
        if (kind == "key" && name == "key") {
            keys_.push_back(value);
            fields["sha256"] = sha256_hex(value);
            continue;
        }
        fields[name] = value;
    }
}

void runner::prepare_once()
{
    if (!prepared_) {
        prepared_ = true;
        processes_.prepare(system_, upstreams_);
    }
}

std::vector<std::string> runner::resolve_names(const script_statement& statement)
{
    prepare_once();
    if (statement.words.at(0) == "all") {
        return processes_.names();
    }
    std::vector<std::string> names;
    for (const std::string& word : statement.words) {
        names.push_back(resolve_name(word, statement));
    }
    return names;
}

std::string runner::resolve_name(const std::string& name, const script_statement& statement)
{
    if (name == "*") {
        return name;
    }
    if (name.rfind("leader:", 0) == 0) {
        const std::string leader = find_leader(std::stoi(name.substr(7)));
        if (leader.empty()) {
            throw scenario_failure(statement.location() + "group " + name.substr(7) + " has no leader now");
        }
        return leader;
    }
    if (!processes_.contains(name)) {
        throw script_error(statement.location() + "there is no process \"" + name + "\"");
    }
    return name;
}

void runner::start(const script_statement& statement)
{
    processes_.reap();
    for (const std::string& name : resolve_names(statement)) {
        const scenario_process& process = processes_.get(name);
        if (process.pid <= 0 || process.ended) {
            processes_.start(name); // a running process is left as it is
        }
    }
}

void runner::send_signal(const script_statement& statement, int signal_number)
{
    for (const std::string& name : resolve_names(statement)) {
        if (verbose_) {
            std::cout << "  (" << name << ")" << std::endl;
        }
        processes_.send_signal(name, signal_number);
    }
}

void runner::stop(const script_statement& statement)
{
    // `stop all` stops processes in the order that an operator uses: entries, sidecars, replicas, upstreams.
    if (statement.words.at(0) != "all") {
        send_signal(statement, SIGTERM);
        return;
    }
    for (const char* prefix : {"entry-", "sidecar-", "replica-", ""}) {
        for (const std::string& name : processes_.names()) {
            const bool has_role_prefix = name.rfind("entry-", 0) == 0 || name.rfind("sidecar-", 0) == 0 ||
                                         name.rfind("replica-", 0) == 0;
            if (std::string(prefix).empty() ? !has_role_prefix : name.rfind(prefix, 0) == 0) {
                processes_.send_signal(name, SIGTERM);
            }
        }
        const time_point deadline = runtime_clock::now() + statement.timeout;
        for (const std::string& name : processes_.names()) {
            const scenario_process& process = processes_.get(name);
            while (*prefix != '\0' && name.rfind(prefix, 0) == 0 && process.pid > 0 && !process.ended) {
                processes_.reap();
                if (runtime_clock::now() > deadline) {
                    throw scenario_failure(statement.location() + name + " did not stop in time");
                }
                std::this_thread::sleep_for(poll_interval);
            }
        }
    }
}

json::object runner::call_operator_api(const std::string& address, const std::string& method,
                                       const std::string& target, const std::string& body,
                                       const std::string& key, int* status)
{
    http::request request;
    request.method = method;
    request.target = target;
    request.headers["Authorization"] = "Bearer " + key;
    request.body = body;
    try {
        const http::response response =
            asio::co_spawn(asio::make_strand(pool_.executor()),
                           http::fetch_response(address, std::move(request),
                                                status == nullptr ? request_timeout : 5 * request_timeout),
                           asio::use_future)
                .get();
        if (status != nullptr) {
            *status = response.status;
        }
        return parse_object(response.body);
    }
    catch (const error&) {
        return {};
    }
}

json::object runner::fetch_status(const std::string& address)
{
    return call_operator_api(address, "GET", "/admin/v1/status", "", operator_key, nullptr);
}

std::string runner::find_leader(int group)
{
    for (const std::string& address : processes_.operator_addresses()) {
        const json::object status = fetch_status(address);
        if (!status.contains("groups")) {
            continue;
        }
        for (const json::value& group_value : status.at("groups").as_array()) {
            const json::object& group_status = group_value.as_object();
            const std::string leader = string_member(group_status, "leader");
            if (number_member(group_status, "group") == static_cast<std::uint64_t>(group) &&
                !leader.empty()) {
                const scenario_process& process = processes_.get(leader);
                if (!process.ended && !process.frozen) {
                    return leader;
                }
            }
        }
    }
    return "";
}

void runner::publish(const script_statement& statement)
{
    const std::string name =
        statement.words.empty() ? "publication-" + std::to_string(++publication_count_) : statement.words[0];
    const std::string key = statement.option("by", "ops") == "second" ? "second-key" : operator_key;
    const time_point deadline = runtime_clock::now() + statement.timeout;
    std::string body;
    if (!statement.option("resend").empty()) {
        body = publication_bodies_.at(statement.option("resend"));
    }
    while (true) {
        std::vector<std::string> addresses = processes_.operator_addresses();
        if (!statement.option("via").empty()) {
            addresses = {processes_.operator_address(statement.option("via"))};
        }
        for (const std::string& address : addresses) {
            if (body.empty()) {
                const json::object current =
                    call_operator_api(address, "GET", "/admin/v1/configuration", "", key, nullptr);
                if (!current.contains("revision")) {
                    continue;
                }
                const std::uint64_t expected = statement.option("expect").empty()
                                                   ? number_member(current, "revision")
                                                   : std::stoull(statement.option("expect"));
                body = json::serialize(
                    json::object{{"expect_revision", expected},
                                 {"request_id", statement.option("request", to_hex(random_id()))},
                                 {"objects", objects_}});
            }
            int status = 0;
            const json::object response =
                call_operator_api(address, "POST", "/admin/v1/configuration", body, key, &status);
            if (response.contains("failure")) {
                publications_[name] = response;
                publication_bodies_[name] = body;
                if (statement.words.empty() && string_member(response, "failure") != "none") {
                    throw scenario_failure(statement.location() + "refused: " + json::serialize(response));
                }
                return;
            }
        }
        if (runtime_clock::now() > deadline) {
            throw scenario_failure(statement.location() + "no replica answered the publication in time");
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

void runner::start_call(const script_statement& statement)
{
    auto call = std::make_shared<client_call>();
    call->text = statement.option("text", "hello");
    call->address = processes_.entry_address("entry-" + statement.option("entry", "1"));
    call->request.method = statement.option("method", "POST");
    for (const auto& [option, header] : std::map<std::string, std::string>{
             {"program", "Guavawick-Program"}, {"parent", "Guavawick-Parent"}, {"idem", "Idempotency-Key"}}) {
        if (!statement.option(option).empty()) {
            call->request.headers[header] = statement.option(option);
        }
    }
    if (!statement.option("key").empty()) {
        call->request.headers["Authorization"] = "Bearer " + statement.option("key");
    }
    call->request.headers["Content-Type"] = "application/json";
    if (!statement.option("path").empty()) {
        call->request.target = statement.option("path");
        call->request.body = statement.option("body");
    }
    else if (!statement.option("service").empty()) {
        call->request.target = "/v1/services/" + statement.option("service") + "/file";
        call->request.body = call->text;
    }
    else {
        json::array messages;
        messages.push_back(json::object{{"role", "user"}, {"content", call->text}});
        json::object body{{"model", statement.option("model", "m")},
                          {"messages", messages},
                          {"stream", statement.option("stream") == "yes"}};
        if (!statement.option("max_tokens").empty()) {
            body["max_tokens"] = std::stoi(statement.option("max_tokens"));
        }
        call->request.target = "/v1/chat/completions";
        call->request.body = json::serialize(body);
    }
    const duration hang_up =
        statement.option("hang_up").empty()
            ? duration{}
            : duration{std::chrono::milliseconds(std::stoi(statement.option("hang_up")))};
    send_in_background(statement.words.at(0), std::move(call), hang_up);
}

void runner::resend(const script_statement& statement)
{
    const auto& original = calls_.at(statement.words.at(0));
    auto call = std::make_shared<client_call>();
    call->request = original->request;
    call->text = original->text;
    call->address = processes_.entry_address("entry-" + statement.option("entry", "1"));
    send_in_background(statement.option("as"), std::move(call), {});
}

void runner::send_in_background(const std::string& name, std::shared_ptr<client_call> call, duration hang_up)
{
    calls_[name] = call;
    pool_.spawn(perform_call(call));
    if (hang_up != duration{}) {
        pool_.spawn([](std::shared_ptr<client_call> cancelled_call, duration delay) -> asio::awaitable<void> {
            co_await runtime::wait_for(delay);
            cancelled_call->cancellation->cancel();
        }(call, hang_up));
    }
}

void runner::expect(const script_statement& statement)
{
    const time_point deadline = runtime_clock::now() + statement.timeout;
    while (true) {
        const std::string mismatch = check_expectation(statement);
        if (mismatch.empty()) {
            return;
        }
        if (runtime_clock::now() > deadline) {
            throw scenario_failure(statement.location() + statement.text + "\n  " + mismatch);
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

std::string runner::check_expectation(const script_statement& statement)
{
    prepare_once();
    const std::string& kind = statement.words.at(0);
    if (kind == "leader") {
        return check_leader(statement);
    }
    if (kind == "members") {
        return check_members(statement);
    }
    if (kind == "revision") {
        return check_revision(statement);
    }
    if (kind == "upstream") {
        return check_upstream(statement);
    }
    if (kind == "exit") {
        return check_exit(statement);
    }
    if (kind == "ready") {
        return check_ready(statement);
    }
    if (kind == "runs") {
        return check_count(statement, count_runs("start", statement.words.at(1)));
    }
    if (kind == "ends") {
        return check_count(statement, count_runs("end", statement.words.at(1)));
    }
    if (kind == "pace") {
        return check_pace(statement);
    }
    if (kind == "broken") {
        return check_count(statement, count_runs("broken", statement.words.at(1)));
    }
    if (kind == "freed") {
        return check_count(statement, count_runs("free", statement.words.at(1)));
    }
    if (kind == "logged") {
        return processes_.read_all_logs().find(statement.words.at(1)) != std::string::npos
                   ? ""
                   : "no log line contains \"" + statement.words.at(1) + "\"";
    }
    return check_call(statement);
}

std::string runner::check_count(const script_statement& statement, std::size_t count)
{
    const std::string& relation = statement.words.at(2);
    const std::size_t expected = std::stoul(statement.words.at(3));
    const bool holds = relation == "=="   ? count == expected
                       : relation == ">=" ? count >= expected
                       : relation == "<=" ? count <= expected
                                          : false;
    return holds ? "" : "found " + std::to_string(count);
}

/// Checks every window of the stand-ins' starts. They use the same clock, but a call starts up to
/// `max_lag_seconds` after its admission.
std::string runner::check_pace(const script_statement& statement)
{
    constexpr double max_lag_seconds = 1.0;
    const double rate = std::stod(statement.option("rate"));
    const double burst = std::stod(statement.option("burst"));
    std::vector<double> starts;
    for (const json::object& line : processes_.read_run_logs()) {
        if (string_member(line, "what") == "start" &&
            string_member(line, "text").find(statement.words.at(1)) != std::string::npos) {
            starts.push_back(static_cast<double>(number_member(line, "at_ms")) / 1000.0);
        }
    }
    std::sort(starts.begin(), starts.end());
    for (std::size_t first = 0; first < starts.size(); ++first) {
        for (std::size_t last = first; last < starts.size(); ++last) {
            const double span = starts[last] - starts[first];
            const double max_count = burst + rate * (span + max_lag_seconds);
            if (static_cast<double>(last - first + 1) > max_count) {
                return std::to_string(last - first + 1) + " starts within " + std::to_string(span) + " s";
            }
        }
    }
    return "";
}

std::size_t runner::count_runs(const std::string& kind, const std::string& text) const
{
    std::size_t count = 0;
    for (const json::object& line : processes_.read_run_logs()) {
        count +=
            string_member(line, "what") == kind && string_member(line, "text").find(text) != std::string::npos
                ? 1
                : 0;
    }
    return count;
}

std::string runner::check_leader(const script_statement& statement)
{
    const std::string leader = find_leader(std::stoi(statement.words.at(1)));
    return leader.empty() ? "no leader" : "";
}

std::string runner::check_members(const script_statement& statement)
{
    const std::size_t expected = std::stoul(statement.words.at(2));
    for (const std::string& address : processes_.operator_addresses()) {
        const json::object status = fetch_status(address);
        if (!status.contains("groups")) {
            continue;
        }
        for (const json::value& group_value : status.at("groups").as_array()) {
            const json::object& group_status = group_value.as_object();
            if (number_member(group_status, "group") != std::stoul(statement.words.at(1)) ||
                string_member(group_status, "role") != "leader") {
                continue;
            }
            std::size_t voters = 0;
            std::size_t other_members = 0;
            for (const json::value& member : group_status.at("members").as_array()) {
                const bool voter = member.at("voter").as_bool();
                voters += voter && member.at("in_touch").as_bool() ? 1 : 0;
                other_members += voter && member.at("in_touch").as_bool() ? 0 : 1;
            }
            return voters == expected && other_members == 0
                       ? ""
                       : std::to_string(voters) + " active voters, " + std::to_string(other_members) +
                             " other members";
        }
    }
    return "no leader answers";
}

std::string runner::check_revision(const script_statement& statement)
{
    const std::string expected = "revision=" + statement.words.at(1);
    for (const std::string& address : processes_.operator_addresses()) {
        const json::object status = fetch_status(address);
        const json::value* process_list = status.if_contains("processes");
        if (process_list == nullptr || !process_list->is_array() ||
            process_list->as_array().size() < static_cast<std::size_t>(std::stoi(statement.option(
                                                  "entries", std::to_string(system_.entries))))) {
            continue;
        }
        bool all_current = true;
        for (const json::value& process_value : process_list->as_array()) {
            const bool is_silent = number_member(process_value.as_object(), "silent_ms") > 3000;
            all_current = all_current && (is_silent || number_member(process_value.as_object(), "revision") >=
                                                           std::stoull(statement.words.at(1)));
        }
        if (all_current) {
            return "";
        }
    }
    return "not every entry uses " + expected;
}

std::string runner::check_upstream(const script_statement& statement)
{
    const std::string& name = statement.words.at(1);
    const std::string& expected = statement.words.at(2);
    std::string actual = "no replica answers";
    for (const std::string& address : processes_.operator_addresses()) {
        const json::object status = fetch_status(address);
        const json::value* upstream_list = status.if_contains("upstreams");
        if (upstream_list == nullptr) {
            continue;
        }
        actual = "gone";
        for (const json::value& upstream_value : upstream_list->as_array()) {
            if (string_member(upstream_value.as_object(), "name") == name) {
                actual = upstream_value.at("leaving").as_bool() ? "leaving" : "present";
            }
        }
        if (actual == expected) {
            return "";
        }
    }
    return "it is " + actual;
}

std::string runner::check_exit(const script_statement& statement)
{
    processes_.reap();
    const scenario_process& process = processes_.get(statement.words.at(1));
    if (!process.ended) {
        return "it is still running";
    }
    return process.exit_code == std::stoi(statement.words.at(2))
               ? ""
               : "it exited with " + std::to_string(process.exit_code);
}

std::string runner::check_ready(const script_statement& statement)
{
    http::request request;
    request.method = "GET";
    request.target = "/healthz";
    const int expected = std::stoi(statement.option("status", "200"));
    try {
        const http::response response =
            asio::co_spawn(asio::make_strand(pool_.executor()),
                           http::fetch_response(processes_.entry_address(statement.words.at(1)),
                                                std::move(request), request_timeout),
                           asio::use_future)
                .get();
        return response.status == expected ? "" : "status " + std::to_string(response.status);
    }
    catch (const error& exception) {
        return exception.what();
    }
}

std::string runner::check_call(const script_statement& statement)
{
    const std::string& name = statement.words.at(0);
    const auto publication = publications_.find(name);
    if (publication != publications_.end()) {
        const std::string description = json::serialize(publication->second);
        if (!statement.option("failure").empty() &&
            string_member(publication->second, "failure") != statement.option("failure")) {
            return description;
        }
        const bool revision_matches =
            statement.option("revision").empty() ||
            number_member(publication->second, "revision") == std::stoull(statement.option("revision"));
        const bool publisher_matches =
            statement.option("published_by").empty() ||
            string_member(publication->second, "published_by") == statement.option("published_by");
        return revision_matches && publisher_matches &&
                       description.find(statement.option("contains")) != std::string::npos
                   ? ""
                   : description;
    }
    const auto found_call = calls_.find(name);
    if (found_call == calls_.end()) {
        throw script_error(statement.location() + "there is no call or publication \"" + name + "\"");
    }
    client_call& call = *found_call->second;
    const std::lock_guard lock(call.mutex);
    const std::string description = "status " + std::to_string(call.status) + ", " +
                                    (call.error_text.empty() ? call.body.substr(0, 600) : call.error_text);
    if (statement.option("state") == "running") {
        return call.done ? description : "";
    }
    if (!call.done) {
        return "it is still running; so far: " + description;
    }
    const json::object problem = parse_object(call.body);
    const bool status_matches =
        statement.option("status").empty() || call.status == std::stoi(statement.option("status"));
    const bool ran_matches =
        statement.option("ran").empty() || string_member(problem, "ran") == statement.option("ran");
    const bool failure_matches =
        statement.option("failure").empty() ||
        string_member(problem, "type") == "urn:guavawick:failure:" + statement.option("failure");
    const bool text_matches = call.body.find(statement.option("contains")) != std::string::npos;
    const bool completeness_matches =
        statement.option("whole").empty() || call.complete == (statement.option("whole") == "yes");
    return status_matches && ran_matches && failure_matches && text_matches && completeness_matches
               ? ""
               : description;
}

void runner::print_status()
{
    const std::vector<std::string> addresses = processes_.operator_addresses();
    if (!addresses.empty()) {
        std::cout << json::serialize(fetch_status(addresses.front())) << std::endl;
    }
}

void runner::check_invariants()
{
    std::map<std::string, int> start_counts;
    for (const json::object& line : processes_.read_run_logs()) {
        const json::object& headers = line.at("headers").as_object();
        if (headers.contains("authorization")) {
            throw scenario_failure("an upstream received a key: " + json::serialize(line));
        }
        const std::string line_text = json::serialize(line);
        for (const std::string& key : keys_) {
            if (line_text.find(key) != std::string::npos) {
                throw scenario_failure("an upstream received the key \"" + key + "\"");
            }
        }
        const std::string text = string_member(line, "text");
        const bool is_not_repeatable = text.find("once-") != std::string::npos;
        if (is_not_repeatable && string_member(line, "what") == "start" && ++start_counts[text] > 1) {
            throw scenario_failure("a call that may not be repeated ran twice: " + text);
        }
    }
    const std::string logs = processes_.read_all_logs();
    for (const std::string& key : keys_) {
        if (logs.find(key) != std::string::npos) {
            throw scenario_failure("a log contains the key \"" + key + "\"");
        }
    }
    for (const auto& [name, call] : calls_) {
        const std::lock_guard lock(call->mutex);
        const bool succeeded =
            call->done && call->complete && call->status == 200 && call->request.method == "POST";
        if (succeeded && call->body.find(call->text) == std::string::npos) {
            throw scenario_failure("call " + name +
                                   " got the answer of another call: " + call->body.substr(0, 300));
        }
    }
}

} // namespace guavawick::scenarios
