// The operators' HTTP API on a replica.
#include "operator/operator_api.hpp"

#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "caller/problem.hpp"
#include "configuration/configuration_codec.hpp"
#include "configuration/configuration_func.hpp"
#include "operator/operator_json.hpp"
#include "wire.pb.h"

#include <boost/json.hpp>

namespace guavawick::operators {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr duration control_limit = 10s;
constexpr duration status_limit = 500ms; ///< for one replica
constexpr std::uint32_t control_group = 0;

/// Serves one process's operators. Immutable once made.
struct operator_api {
    wire::group_client& client;
    wire::link& links;
    std::vector<replica_address> replicas;
    std::vector<std::string> keys;
    std::function<std::string()> metrics;
};

std::string find_operator(const operator_api& api, const http::request& received)
{
    const std::string prefix = "Bearer ";
    const std::string presented = received.header("authorization");
    if (presented.rfind(prefix, 0) != 0) {
        throw refusal_error(failure::operator_unknown,
                            "send the operator's key as `Authorization: Bearer KEY`");
    }
    const std::string digest = sha256_hex(presented.substr(prefix.size()));
    std::string name;
    for (const std::string& one : api.keys) {
        const std::size_t colon = one.find(':');
        if (equal_in_constant_time(one.substr(colon + 1), digest)) {
            name = one.substr(0, colon);
        }
    }
    if (name.empty()) {
        throw refusal_error(failure::operator_unknown, "no operator has this key");
    }
    return name;
}

asio::awaitable<wire::envelope_ptr> ask_control(const operator_api& api, wire::envelope question)
{
    wire::envelope_ptr answer;
    try {
        answer = co_await api.client.call(control_group, std::move(question), control_limit);
    }
    catch (const link_error& fault) {
        throw refusal_error(failure::not_leader, fault.what(), ran_state::unknown);
    }
    if (answer->has_refused()) {
        throw refusal_error(to_failure(answer->refused().failure()), answer->refused().detail());
    }
    co_return answer;
}

asio::awaitable<http::response> apply(const operator_api& api, const http::request& received,
                                      const std::string& who)
{
    wire::envelope question;
    wire::apply_request* body = question.mutable_apply();
    decode_apply_request(received.body, body);
    body->set_operator_name(who);
    const wire::envelope_ptr answer = co_await ask_control(api, std::move(question));
    http::response reply;
    reply.status = find_failure(to_failure(answer->applied().failure())).status;
    reply.body = json::serialize(to_json(answer->applied()));
    co_return reply;
}

asio::awaitable<http::response> get(const operator_api& api)
{
    wire::envelope question;
    question.mutable_get();
    const wire::envelope_ptr answer = co_await ask_control(api, std::move(question));
    http::response reply;
    reply.body = json::serialize(to_json(answer->got()));
    co_return reply;
}

asio::awaitable<http::response> audit(const operator_api& api, const http::request& received)
{
    wire::envelope question;
    question.mutable_audit();
    const std::size_t at = received.target.find("after=");
    if (at != std::string::npos) {
        question.mutable_audit()->set_after_revision(
            std::strtoull(received.target.c_str() + at + 6, nullptr, 10));
    }
    const wire::envelope_ptr answer = co_await ask_control(api, std::move(question));
    http::response reply;
    reply.body = json::serialize(to_json(answer->audited()));
    co_return reply;
}

/// Takes from one replica's status what it knows best: the groups that it leads, and as leader of control the
/// rest.
void merge_status(const wire::status_reply& from, wire::status_reply* into)
{
    constexpr std::uint32_t leader_role = 3; // number of consensus::role_type::leader
    for (const wire::group_status& group : from.groups()) {
        if (group.role() != leader_role) {
            continue;
        }
        *into->add_groups() = group;
        if (group.group() == control_group) {
            into->set_name(from.name());
            into->set_revision(from.revision());
            *into->mutable_upstreams() = from.upstreams();
            *into->mutable_processes() = from.processes();
        }
    }
}

asio::awaitable<http::response> status(const operator_api& api)
{
    wire::status_reply merged;
    boost::json::array replicas;
    for (const replica_address& address : api.replicas) {
        wire::envelope question;
        question.mutable_status();
        bool answered = true;
        try {
            const wire::envelope_ptr answer =
                co_await api.links.call(address.endpoint, std::move(question), status_limit);
            merge_status(answer->status_is(), &merged);
        }
        catch (const link_error&) {
            answered = false;
        }
        boost::json::object shown;
        shown["name"] = address.name;
        shown["answers"] = answered;
        replicas.push_back(std::move(shown));
    }
    boost::json::object body = to_json(merged).as_object();
    body["replicas"] = std::move(replicas);
    http::response reply;
    reply.body = json::serialize(body);
    co_return reply;
}

asio::awaitable<http::response> remove_replica(const operator_api& api, const http::request& received)
{
    const std::string name = read_string_member(received.body, "name");
    const std::uint64_t groups = read_number_member(received.body, "groups");
    for (std::uint32_t group = 0; group < groups; ++group) {
        wire::envelope question;
        question.mutable_remove()->set_group(group);
        question.mutable_remove()->set_name(name);
        const wire::envelope_ptr answer = co_await api.client.call(group, std::move(question), control_limit);
        if (answer->has_refused()) {
            const failure why = to_failure(answer->refused().failure());
            throw refusal_error(why, "group " + std::to_string(group) + ": " + find_failure(why).meaning);
        }
    }
    http::response reply;
    reply.body = R"({"removed":true})";
    co_return reply;
}

asio::awaitable<http::response> lift(const operator_api& api, const http::request& received)
{
    wire::envelope question;
    question.mutable_lift()->set_body_hash(
        std::strtoull(read_string_member(received.body, "body_hash").c_str(), nullptr, 16));
    co_await ask_control(api, std::move(question));
    http::response reply;
    reply.body = R"({"lifted":true})";
    co_return reply;
}

asio::awaitable<http::response> answer(const operator_api& api, const http::request& received)
{
    const std::string path = received.target.substr(0, received.target.find('?'));
    if (path == "/healthz") {
        co_return http::make_response(200, "text/plain", "ok\n");
    }
    if (path == "/metrics") {
        co_return http::make_response(200, "text/plain; version=0.0.4", api.metrics());
    }
    const std::string who = find_operator(api, received);
    const bool reads = received.method == "GET";
    const bool writes = received.method == "POST";
    if (path == "/admin/v1/configuration" && reads) {
        co_return co_await get(api);
    }
    if (path == "/admin/v1/configuration" && writes) {
        co_return co_await apply(api, received, who);
    }
    if (path == "/admin/v1/audit" && reads) {
        co_return co_await audit(api, received);
    }
    if (path == "/admin/v1/status" && reads) {
        co_return co_await status(api);
    }
    if (path == "/admin/v1/replicas/remove" && writes) {
        co_return co_await remove_replica(api, received);
    }
    if (path == "/admin/v1/quarantines/lift" && writes) {
        co_return co_await lift(api, received);
    }
    throw refusal_error(failure::not_found, "nothing is served at " + received.method + " " + path);
}

asio::awaitable<void> serve(std::shared_ptr<operator_api> api, http::request& received, http::responder& out)
{
    http::response reply;
    try {
        reply = co_await answer(*api, received);
    }
    catch (const refusal_error& refused) {
        reply = caller::make_problem(refused, "");
    }
    catch (const link_error& fault) {
        reply =
            caller::make_problem(refusal_error(failure::not_leader, fault.what(), ran_state::unknown), "");
    }
    catch (const decode_error& fault) {
        reply = caller::make_problem(refusal_error(failure::bad_request, fault.what()), "");
    }
    co_await out.send(std::move(reply));
}

} // namespace

http::handler make_api_handler(wire::group_client& client, wire::link& links,
                               std::vector<replica_address> replicas, std::vector<std::string> keys,
                               std::function<std::string()> metrics)
{
    auto api = std::make_shared<operator_api>(
        operator_api{client, links, std::move(replicas), std::move(keys), std::move(metrics)});
    return [api](http::request& received, http::responder& out) { return serve(api, received, out); };
}

} // namespace guavawick::operators
