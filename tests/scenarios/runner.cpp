// Carries out a scenario.
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

constexpr duration check_step = std::chrono::milliseconds(25);
constexpr duration ask_limit = std::chrono::seconds(2);
constexpr duration call_limit = std::chrono::seconds(90);
constexpr const char* operator_key = "operator-key";

json::object parse_object(const std::string& text)
{
    boost::system::error_code wrong;
    json::value parsed = json::parse(text, wrong);
    return !wrong && parsed.is_object() ? std::move(parsed.as_object()) : json::object{};
}

std::string text_of(const json::object& from, const char* name)
{
    const json::value* value = from.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

std::uint64_t number_of(const json::object& from, const char* name)
{
    const json::value* value = from.if_contains(name);
    if (value == nullptr || !value->is_number()) {
        return 0;
    }
    return value->is_uint64() ? value->as_uint64()
                              : static_cast<std::uint64_t>(value->to_number<std::int64_t>());
}

asio::awaitable<void> send_call(std::shared_ptr<running_call> made)
{
    http::chunk_handler parts = [made](int status, const std::string&,
                                       std::string part) -> asio::awaitable<bool> {
        const std::lock_guard lock(made->mutex);
        made->status = status;
        made->body += part;
        co_return true;
    };
    std::string fault;
    int status = 0;
    try {
        http::request request = made->request;
        status =
            co_await http::fetch(made->address, std::move(request), call_limit, made->stop, std::move(parts));
    }
    catch (const error& failed) {
        fault = failed.what();
    }
    const std::lock_guard lock(made->mutex);
    made->status = fault.empty() ? status : made->status;
    made->fault = fault;
    made->whole = fault.empty();
    made->done = true;
}

} // namespace

runner::runner(process_set& processes, runtime::worker_pool& pool, bool verbose)
    : processes_(processes), pool_(pool), verbose_(verbose)
{
}

void runner::run(const std::vector<statement>& script)
{
    for (const statement& one : script) {
        if (verbose_) {
            std::cout << one.text << std::endl;
        }
        carry_out(one);
    }
    for (const auto& [name, made] : calls_) {
        made->stop->cancel();
    }
    check_invariants();
}

void runner::carry_out(const statement& one)
{
    const std::map<std::string, std::function<void()>> actions{
        {"system", [&] { define_system(one); }},
        {"upstream", [&] { define_upstream(one); }},
        {"object", [&] { define_object(one); }},
        {"withdraw",
         [&] {
             const std::string& key = one.words.at(0);
             const std::size_t dot = key.find('.');
             objects_[key.substr(0, dot)].as_object().erase(key.substr(dot + 1));
         }},
        {"publish", [&] { publish(one); }},
        {"start", [&] { start(one); }},
        {"stop", [&] { stop(one); }},
        {"kill", [&] { send_signal(one, SIGKILL); }},
        {"freeze", [&] { send_signal(one, SIGSTOP); }},
        {"thaw", [&] { send_signal(one, SIGCONT); }},
        {"wipe", [&] { processes_.wipe(one.words.at(0)); }},
        {"tear", [&] { processes_.tear(one.words.at(0)); }},
        {"cut",
         [&] {
             processes_.cut(resolve(one.words.at(0), one), resolve(one.words.at(1), one),
                            one.option("ways", "both") == "both");
         }},
        {"heal", [&] { processes_.heal(one.words.at(0), one.words.at(1)); }},
        {"mute", [&] { processes_.mute(resolve(one.words.at(0), one), resolve(one.words.at(1), one)); }},
        {"call", [&] { call(one); }},
        {"resend", [&] { resend(one); }},
        {"expect", [&] { expect(one); }},
        {"pause", [&] { std::this_thread::sleep_for(one.within); }},
        {"say", [&] { std::cout << one.words.at(0) << std::endl; }},
        {"status", [&] { show_status(); }},
        {"wait_for_signal", [] { runtime::wait_for_stop_signal(); }},
    };
    try {
        actions.at(one.verb)();
    }
    catch (const std::out_of_range&) {
        throw script_error(one.place() + "a word is missing or unknown: " + one.text);
    }
}

void runner::define_system(const statement& one)
{
    const auto number = [&](const char* name, int otherwise) {
        return one.option(name).empty() ? otherwise : std::stoi(one.option(name));
    };
    plan_.replicas = number("replicas", plan_.replicas);
    plan_.entries = number("entries", plan_.entries);
    plan_.shards = number("shards", plan_.shards);
    plan_.relays = number("relays", 0) != 0;
    plan_.centres = one.option("centres", plan_.centres);
    for (const auto& [name, value] : one.options) {
        const std::size_t dot = name.find('.');
        if (dot == std::string::npos) {
            continue;
        }
        const std::string role = name.substr(0, dot);
        auto& target = role == "entry"     ? plan_.entry_settings
                       : role == "sidecar" ? plan_.sidecar_settings
                                           : plan_.replica_settings;
        target[name.substr(dot + 1)] = value;
    }
}

void runner::define_upstream(const statement& one)
{
    upstream_plan made;
    made.name = one.words.at(0);
    made.kind = one.option("kind", "model");
    made.serves = one.option("serves", "m");
    made.centre = one.option("centre", "dc1");
    for (const auto& [name, value] : one.options) {
        if (name != "kind" && name != "serves" && name != "centre") {
            made.engine[name] = value;
        }
    }
    upstreams_.push_back(made);
}

void runner::define_object(const statement& one)
{
    const std::string& key = one.words.at(0);
    const std::size_t dot = key.find('.');
    const std::string kind = key.substr(0, dot);
    if (!objects_.contains(kind)) {
        objects_[kind] = json::object{};
    }
    json::object& fields = objects_[kind].as_object()[key.substr(dot + 1)].emplace_object();
    for (const auto& [name, value] : one.options) {
        if (kind == "key" && name == "key") {
            keys_.push_back(value);
            fields["sha256"] = sha256_hex(value);
            continue;
        }
        fields[name] = value;
    }
}

void runner::lay_out_once()
{
    if (!laid_out_) {
        laid_out_ = true;
        processes_.lay_out(plan_, upstreams_);
    }
}

std::vector<std::string> runner::resolve_all(const statement& one)
{
    lay_out_once();
    if (one.words.at(0) == "all") {
        return processes_.names();
    }
    std::vector<std::string> names;
    for (const std::string& word : one.words) {
        names.push_back(resolve(word, one));
    }
    return names;
}

std::string runner::resolve(const std::string& name, const statement& one)
{
    if (name == "*") {
        return name;
    }
    if (name.rfind("leader:", 0) == 0) {
        const std::string leader = leader_of(std::stoi(name.substr(7)));
        if (leader.empty()) {
            throw scenario_failure(one.place() + "group " + name.substr(7) + " has no leader now");
        }
        return leader;
    }
    if (!processes_.has(name)) {
        throw script_error(one.place() + "there is no process \"" + name + "\"");
    }
    return name;
}

void runner::start(const statement& one)
{
    processes_.reap();
    for (const std::string& name : resolve_all(one)) {
        const process& seen = processes_.get(name);
        if (seen.pid <= 0 || seen.ended) {
            processes_.start(name); // one that runs is left alone
        }
    }
}

void runner::send_signal(const statement& one, int number)
{
    for (const std::string& name : resolve_all(one)) {
        if (verbose_) {
            std::cout << "  (" << name << ")" << std::endl;
        }
        processes_.signal(name, number);
    }
}

void runner::stop(const statement& one)
{
    // In the order in which people stop a system: entries, sidecars, replicas, then the upstreams.
    if (one.words.at(0) != "all") {
        send_signal(one, SIGTERM);
        return;
    }
    for (const char* prefix : {"entry-", "sidecar-", "replica-", ""}) {
        for (const std::string& name : processes_.names()) {
            const bool role = name.rfind("entry-", 0) == 0 || name.rfind("sidecar-", 0) == 0 ||
                              name.rfind("replica-", 0) == 0;
            if (std::string(prefix).empty() ? !role : name.rfind(prefix, 0) == 0) {
                processes_.signal(name, SIGTERM);
            }
        }
        const time_point limit = runtime_clock::now() + one.within;
        for (const std::string& name : processes_.names()) {
            const process& seen = processes_.get(name);
            while (*prefix != '\0' && name.rfind(prefix, 0) == 0 && seen.pid > 0 && !seen.ended) {
                processes_.reap();
                if (runtime_clock::now() > limit) {
                    throw scenario_failure(one.place() + name + " did not stop in time");
                }
                std::this_thread::sleep_for(check_step);
            }
        }
    }
}

json::object runner::ask_operator(const std::string& address, const std::string& method,
                                  const std::string& target, const std::string& body, const std::string& key,
                                  int* status)
{
    http::request wanted;
    wanted.method = method;
    wanted.target = target;
    wanted.headers["Authorization"] = "Bearer " + key;
    wanted.body = body;
    try {
        const http::response answer =
            asio::co_spawn(asio::make_strand(pool_.executor()),
                           http::fetch_response(address, std::move(wanted),
                                                status == nullptr ? ask_limit : 5 * ask_limit),
                           asio::use_future)
                .get();
        if (status != nullptr) {
            *status = answer.status;
        }
        return parse_object(answer.body);
    }
    catch (const error&) {
        return {};
    }
}

json::object runner::status_of(const std::string& address)
{
    return ask_operator(address, "GET", "/admin/v1/status", "", operator_key, nullptr);
}

std::string runner::leader_of(int group)
{
    for (const std::string& address : processes_.operator_addresses()) {
        const json::object state = status_of(address);
        if (!state.contains("groups")) {
            continue;
        }
        for (const json::value& one : state.at("groups").as_array()) {
            const json::object& seen = one.as_object();
            const std::string leader = text_of(seen, "leader");
            if (number_of(seen, "group") == static_cast<std::uint64_t>(group) && !leader.empty()) {
                const process& holder = processes_.get(leader);
                if (!holder.ended && !holder.frozen) {
                    return leader;
                }
            }
        }
    }
    return "";
}

void runner::publish(const statement& one)
{
    const std::string name =
        one.words.empty() ? "publication-" + std::to_string(++publication_count_) : one.words[0];
    const std::string key = one.option("by", "ops") == "second" ? "second-key" : operator_key;
    const time_point limit = runtime_clock::now() + one.within;
    std::string body;
    if (!one.option("resend").empty()) {
        body = publication_bodies_.at(one.option("resend"));
    }
    while (true) {
        std::vector<std::string> addresses = processes_.operator_addresses();
        if (!one.option("via").empty()) {
            addresses = {processes_.operator_address(one.option("via"))};
        }
        for (const std::string& address : addresses) {
            if (body.empty()) {
                const json::object present =
                    ask_operator(address, "GET", "/admin/v1/configuration", "", key, nullptr);
                if (!present.contains("revision")) {
                    continue;
                }
                const std::uint64_t expected = one.option("expect").empty()
                                                   ? number_of(present, "revision")
                                                   : std::stoull(one.option("expect"));
                body =
                    json::serialize(json::object{{"expect_revision", expected},
                                                 {"request_id", one.option("request", to_hex(random_id()))},
                                                 {"objects", objects_}});
            }
            int status = 0;
            const json::object answer =
                ask_operator(address, "POST", "/admin/v1/configuration", body, key, &status);
            if (answer.contains("failure")) {
                publications_[name] = answer;
                publication_bodies_[name] = body;
                if (one.words.empty() && text_of(answer, "failure") != "none") {
                    throw scenario_failure(one.place() + "refused: " + json::serialize(answer));
                }
                return;
            }
        }
        if (runtime_clock::now() > limit) {
            throw scenario_failure(one.place() + "no replica answered the publication in time");
        }
        std::this_thread::sleep_for(check_step);
    }
}

void runner::call(const statement& one)
{
    auto made = std::make_shared<running_call>();
    made->text = one.option("text", "hello");
    made->address = processes_.entry_address("entry-" + one.option("entry", "1"));
    made->request.method = one.option("method", "POST");
    for (const auto& [option, header] : std::map<std::string, std::string>{
             {"program", "Guavawick-Program"}, {"parent", "Guavawick-Parent"}, {"idem", "Idempotency-Key"}}) {
        if (!one.option(option).empty()) {
            made->request.headers[header] = one.option(option);
        }
    }
    if (!one.option("key").empty()) {
        made->request.headers["Authorization"] = "Bearer " + one.option("key");
    }
    made->request.headers["Content-Type"] = "application/json";
    if (!one.option("path").empty()) {
        made->request.target = one.option("path");
        made->request.body = one.option("body");
    }
    else if (!one.option("service").empty()) {
        made->request.target = "/v1/services/" + one.option("service") + "/file";
        made->request.body = made->text;
    }
    else {
        json::array messages;
        messages.push_back(json::object{{"role", "user"}, {"content", made->text}});
        json::object body{{"model", one.option("model", "m")},
                          {"messages", messages},
                          {"stream", one.option("stream") == "yes"}};
        if (!one.option("max_tokens").empty()) {
            body["max_tokens"] = std::stoi(one.option("max_tokens"));
        }
        made->request.target = "/v1/chat/completions";
        made->request.body = json::serialize(body);
    }
    const duration hang_up = one.option("hang_up").empty()
                                 ? duration{}
                                 : duration{std::chrono::milliseconds(std::stoi(one.option("hang_up")))};
    launch(one.words.at(0), std::move(made), hang_up);
}

void runner::resend(const statement& one)
{
    const auto& first = calls_.at(one.words.at(0));
    auto made = std::make_shared<running_call>();
    made->request = first->request;
    made->text = first->text;
    made->address = processes_.entry_address("entry-" + one.option("entry", "1"));
    launch(one.option("as"), std::move(made), {});
}

void runner::launch(const std::string& name, std::shared_ptr<running_call> made, duration hang_up)
{
    calls_[name] = made;
    pool_.spawn(send_call(made));
    if (hang_up != duration{}) {
        pool_.spawn([](std::shared_ptr<running_call> held, duration after) -> asio::awaitable<void> {
            co_await runtime::wait_for(after);
            held->stop->cancel();
        }(made, hang_up));
    }
}

void runner::expect(const statement& one)
{
    const time_point limit = runtime_clock::now() + one.within;
    while (true) {
        const std::string wrong = check(one);
        if (wrong.empty()) {
            return;
        }
        if (runtime_clock::now() > limit) {
            throw scenario_failure(one.place() + one.text + "\n  " + wrong);
        }
        std::this_thread::sleep_for(check_step);
    }
}

std::string runner::check(const statement& one)
{
    lay_out_once();
    const std::string& what = one.words.at(0);
    if (what == "leader") {
        return check_leader(one);
    }
    if (what == "members") {
        return check_members(one);
    }
    if (what == "revision") {
        return check_revision(one);
    }
    if (what == "upstream") {
        return check_upstream(one);
    }
    if (what == "exit") {
        return check_exit(one);
    }
    if (what == "ready") {
        return check_ready(one);
    }
    if (what == "runs") {
        return check_count(one, count_runs("start", one.words.at(1)));
    }
    if (what == "ends") {
        return check_count(one, count_runs("end", one.words.at(1)));
    }
    if (what == "pace") {
        return check_pace(one);
    }
    if (what == "broken") {
        return check_count(one, count_runs("broken", one.words.at(1)));
    }
    if (what == "freed") {
        return check_count(one, count_runs("free", one.words.at(1)));
    }
    if (what == "logged") {
        return processes_.all_logs().find(one.words.at(1)) != std::string::npos
                   ? ""
                   : "no log line has \"" + one.words.at(1) + "\"";
    }
    return check_call(one);
}

std::string runner::check_count(const statement& one, std::size_t found)
{
    const std::string& relation = one.words.at(2);
    const std::size_t wanted = std::stoul(one.words.at(3));
    const bool holds = relation == "=="   ? found == wanted
                       : relation == ">=" ? found >= wanted
                       : relation == "<=" ? found <= wanted
                                          : false;
    return holds ? "" : "found " + std::to_string(found);
}

/// Looks at every window of the stand-ins' starts. Their clocks are one, but a start comes up to `lag` after
/// its admission.
std::string runner::check_pace(const statement& one)
{
    constexpr double lag_seconds = 1.0;
    const double rate = std::stod(one.option("rate"));
    const double burst = std::stod(one.option("burst"));
    std::vector<double> starts;
    for (const json::object& line : processes_.run_log()) {
        if (text_of(line, "what") == "start" &&
            text_of(line, "text").find(one.words.at(1)) != std::string::npos) {
            starts.push_back(static_cast<double>(number_of(line, "at_ms")) / 1000.0);
        }
    }
    std::sort(starts.begin(), starts.end());
    for (std::size_t first = 0; first < starts.size(); ++first) {
        for (std::size_t last = first; last < starts.size(); ++last) {
            const double span = starts[last] - starts[first];
            const double most = burst + rate * (span + lag_seconds);
            if (static_cast<double>(last - first + 1) > most) {
                return std::to_string(last - first + 1) + " starts within " + std::to_string(span) + " s";
            }
        }
    }
    return "";
}

std::size_t runner::count_runs(const std::string& what, const std::string& text) const
{
    std::size_t count = 0;
    for (const json::object& line : processes_.run_log()) {
        count +=
            text_of(line, "what") == what && text_of(line, "text").find(text) != std::string::npos ? 1 : 0;
    }
    return count;
}

std::string runner::check_leader(const statement& one)
{
    const std::string leader = leader_of(std::stoi(one.words.at(1)));
    return leader.empty() ? "no leader" : "";
}

std::string runner::check_members(const statement& one)
{
    const std::size_t wanted = std::stoul(one.words.at(2));
    for (const std::string& address : processes_.operator_addresses()) {
        const json::object state = status_of(address);
        if (!state.contains("groups")) {
            continue;
        }
        for (const json::value& item : state.at("groups").as_array()) {
            const json::object& seen = item.as_object();
            if (number_of(seen, "group") != std::stoul(one.words.at(1)) ||
                text_of(seen, "role") != "leader") {
                continue;
            }
            std::size_t voters = 0;
            std::size_t others = 0;
            for (const json::value& member : seen.at("members").as_array()) {
                const bool voter = member.at("voter").as_bool();
                voters += voter && member.at("in_touch").as_bool() ? 1 : 0;
                others += voter && member.at("in_touch").as_bool() ? 0 : 1;
            }
            return voters == wanted && others == 0 ? ""
                                                   : std::to_string(voters) + " voters in touch, " +
                                                         std::to_string(others) + " other members";
        }
    }
    return "no leader answers";
}

std::string runner::check_revision(const statement& one)
{
    const std::string wanted = "revision=" + one.words.at(1);
    for (const std::string& address : processes_.operator_addresses()) {
        const json::object state = status_of(address);
        const json::value* seen = state.if_contains("processes");
        if (seen == nullptr || !seen->is_array() ||
            seen->as_array().size() <
                static_cast<std::size_t>(std::stoi(one.option("entries", std::to_string(plan_.entries))))) {
            continue;
        }
        bool all = true;
        for (const json::value& item : seen->as_array()) {
            const bool silent = number_of(item.as_object(), "silent_ms") > 3000;
            all = all && (silent || number_of(item.as_object(), "revision") >= std::stoull(one.words.at(1)));
        }
        if (all) {
            return "";
        }
    }
    return "not every entry works by " + wanted;
}

std::string runner::check_upstream(const statement& one)
{
    const std::string& name = one.words.at(1);
    const std::string& wanted = one.words.at(2);
    std::string seen = "no replica answers";
    for (const std::string& address : processes_.operator_addresses()) {
        const json::object state = status_of(address);
        const json::value* list = state.if_contains("upstreams");
        if (list == nullptr) {
            continue;
        }
        seen = "gone";
        for (const json::value& item : list->as_array()) {
            if (text_of(item.as_object(), "name") == name) {
                seen = item.at("leaving").as_bool() ? "leaving" : "present";
            }
        }
        if (seen == wanted) {
            return "";
        }
    }
    return "it is " + seen;
}

std::string runner::check_exit(const statement& one)
{
    processes_.reap();
    const process& seen = processes_.get(one.words.at(1));
    if (!seen.ended) {
        return "it runs";
    }
    return seen.exit_code == std::stoi(one.words.at(2)) ? ""
                                                        : "it exited with " + std::to_string(seen.exit_code);
}

std::string runner::check_ready(const statement& one)
{
    http::request wanted;
    wanted.method = "GET";
    wanted.target = "/healthz";
    const int expected = std::stoi(one.option("status", "200"));
    try {
        const http::response answer =
            asio::co_spawn(
                asio::make_strand(pool_.executor()),
                http::fetch_response(processes_.entry_address(one.words.at(1)), std::move(wanted), ask_limit),
                asio::use_future)
                .get();
        return answer.status == expected ? "" : "status " + std::to_string(answer.status);
    }
    catch (const error& fault) {
        return fault.what();
    }
}

std::string runner::check_call(const statement& one)
{
    const std::string& name = one.words.at(0);
    const auto published = publications_.find(name);
    if (published != publications_.end()) {
        const std::string shown = json::serialize(published->second);
        if (!one.option("failure").empty() &&
            text_of(published->second, "failure") != one.option("failure")) {
            return shown;
        }
        const bool number_right =
            one.option("revision").empty() ||
            number_of(published->second, "revision") == std::stoull(one.option("revision"));
        const bool by_right = one.option("published_by").empty() ||
                              text_of(published->second, "published_by") == one.option("published_by");
        return number_right && by_right && shown.find(one.option("contains")) != std::string::npos ? ""
                                                                                                   : shown;
    }
    const auto found = calls_.find(name);
    if (found == calls_.end()) {
        throw script_error(one.place() + "there is no call or publication \"" + name + "\"");
    }
    running_call& made = *found->second;
    const std::lock_guard lock(made.mutex);
    const std::string shown = "status " + std::to_string(made.status) + ", " +
                              (made.fault.empty() ? made.body.substr(0, 600) : made.fault);
    if (one.option("state") == "running") {
        return made.done ? shown : "";
    }
    if (!made.done) {
        return "it still runs; so far: " + shown;
    }
    const json::object problem = parse_object(made.body);
    const bool status_right = one.option("status").empty() || made.status == std::stoi(one.option("status"));
    const bool ran_right = one.option("ran").empty() || text_of(problem, "ran") == one.option("ran");
    const bool failure_right = one.option("failure").empty() ||
                               text_of(problem, "type") == "urn:guavawick:failure:" + one.option("failure");
    const bool text_right = made.body.find(one.option("contains")) != std::string::npos;
    const bool whole_right = one.option("whole").empty() || made.whole == (one.option("whole") == "yes");
    return status_right && ran_right && failure_right && text_right && whole_right ? "" : shown;
}

void runner::show_status()
{
    const std::vector<std::string> addresses = processes_.operator_addresses();
    if (!addresses.empty()) {
        std::cout << json::serialize(status_of(addresses.front())) << std::endl;
    }
}

void runner::check_invariants()
{
    std::map<std::string, int> service_starts;
    for (const json::object& line : processes_.run_log()) {
        const json::object& headers = line.at("headers").as_object();
        if (headers.contains("authorization")) {
            throw scenario_failure("an upstream saw a key: " + json::serialize(line));
        }
        const std::string whole = json::serialize(line);
        for (const std::string& key : keys_) {
            if (whole.find(key) != std::string::npos) {
                throw scenario_failure("an upstream saw the key \"" + key + "\"");
            }
        }
        const std::string text = text_of(line, "text");
        const bool once = text.find("once-") != std::string::npos;
        if (once && text_of(line, "what") == "start" && ++service_starts[text] > 1) {
            throw scenario_failure("a call that may not be repeated ran twice: " + text);
        }
    }
    const std::string logs = processes_.all_logs();
    for (const std::string& key : keys_) {
        if (logs.find(key) != std::string::npos) {
            throw scenario_failure("a log holds the key \"" + key + "\"");
        }
    }
    for (const auto& [name, made] : calls_) {
        const std::lock_guard lock(made->mutex);
        const bool answered =
            made->done && made->whole && made->status == 200 && made->request.method == "POST";
        if (answered && made->body.find(made->text) == std::string::npos) {
            throw scenario_failure("call " + name +
                                   " got an answer that is not its own: " + made->body.substr(0, 300));
        }
    }
}

} // namespace guavawick::scenarios
