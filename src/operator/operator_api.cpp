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

constexpr duration control_timeout = 10s;
constexpr duration status_timeout = 500ms; ///< for each replica
constexpr std::uint32_t control_group = 0;

/// Dependencies of the API's request handlers. Immutable.
struct api_context {
    wire::group_client& client;
    wire::link& links;
    std::vector<replica_address> replicas;
    std::vector<std::string> keys;
    std::function<std::string()> metrics;
};

std::string authenticate_operator(const api_context& api, const http::request& received)
{
    const std::string prefix = "Bearer ";
    const std::string presented = received.header("authorization");
    if (presented.rfind(prefix, 0) != 0) {
        throw refusal_error(failure::operator_unknown,
                            "send the operator's key as `Authorization: Bearer KEY`");
    }
    const std::string digest = sha256_hex(presented.substr(prefix.size()));
    std::string name;
    for (const std::string& entry : api.keys) {
        const std::size_t colon = entry.find(':');
        if (equal_in_constant_time(entry.substr(colon + 1), digest)) {
            name = entry.substr(0, colon);
        }
    }
    if (name.empty()) {
        throw refusal_error(failure::operator_unknown, "no operator has this key");
    }
    return name;
}

asio::awaitable<wire::envelope_ptr> call_control(const api_context& api, wire::envelope request)
{
    wire::envelope_ptr reply;
    try {
        reply = co_await api.client.call(control_group, std::move(request), control_timeout);
    }
    catch (const link_error& error) {
        throw refusal_error(failure::not_leader, error.what(), ran_state::unknown);
    }
    if (reply->has_refused()) {
        throw refusal_error(to_failure(reply->refused().failure()), reply->refused().detail());
    }
    co_return reply;
}

asio::awaitable<http::response> apply(const api_context& api, const http::request& received,
                                      const std::string& operator_name)
{
    wire::envelope request;
    wire::apply_request* body = request.mutable_apply();
    decode_apply_request(received.body, body);
    body->set_operator_name(operator_name);
    const wire::envelope_ptr reply = co_await call_control(api, std::move(request));
    http::response response;
    response.status = find_failure(to_failure(reply->applied().failure())).status;
    response.body = json::serialize(to_json(reply->applied()));
    co_return response;
}

asio::awaitable<http::response> get(const api_context& api)
{
    wire::envelope request;
    request.mutable_get();
    const wire::envelope_ptr reply = co_await call_control(api, std::move(request));
    http::response response;
    response.body = json::serialize(to_json(reply->got()));
    co_return response;
}

asio::awaitable<http::response> audit(const api_context& api, const http::request& received)
{
    wire::envelope request;
    request.mutable_audit();
    const std::size_t position = received.target.find("after=");
    if (position != std::string::npos) {
        request.mutable_audit()->set_after_revision(
            std::strtoull(received.target.c_str() + position + 6, nullptr, 10));
    }
    const wire::envelope_ptr reply = co_await call_control(api, std::move(request));
    http::response response;
    response.body = json::serialize(to_json(reply->audited()));
    co_return response;
}

/// Merges one replica's status into the reply: the groups that the replica leads and, from the leader of the
/// control group, the revision, upstreams and processes.
void merge_status(const wire::status_reply& from, wire::status_reply* into)
{
    constexpr std::uint32_t leader_role = 3; // value of consensus::role_type::leader
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

asio::awaitable<http::response> status(const api_context& api)
{
    wire::status_reply merged;
    boost::json::array replicas;
    for (const replica_address& address : api.replicas) {
        wire::envelope request;
        request.mutable_status();
        bool available = true;
        try {
            const wire::envelope_ptr reply =
                co_await api.links.call(address.endpoint, std::move(request), status_timeout);
            merge_status(reply->status_is(), &merged);
        }
        catch (const link_error&) {
            available = false;
        }
        boost::json::object replica;
        replica["name"] = address.name;
        replica["answers"] = available;
        replicas.push_back(std::move(replica));
    }
    boost::json::object body = to_json(merged).as_object();
    body["replicas"] = std::move(replicas);
    http::response response;
    response.body = json::serialize(body);
    co_return response;
}

asio::awaitable<http::response> remove_replica(const api_context& api, const http::request& received)
{
    const std::string name = read_string_member(received.body, "name");
    const std::uint64_t groups = read_number_member(received.body, "groups");
    for (std::uint32_t group = 0; group < groups; ++group) {
        wire::envelope request;
        request.mutable_remove()->set_group(group);
        request.mutable_remove()->set_name(name);
        const wire::envelope_ptr reply = co_await api.client.call(group, std::move(request), control_timeout);
        if (reply->has_refused()) {
            const failure error = to_failure(reply->refused().failure());
            throw refusal_error(error, "group " + std::to_string(group) + ": " + find_failure(error).meaning);
        }
    }
    http::response response;
    response.body = R"({"removed":true})";
    co_return response;
}

asio::awaitable<http::response> lift_quarantine(const api_context& api, const http::request& received)
{
    wire::envelope request;
    request.mutable_lift()->set_body_hash(
        std::strtoull(read_string_member(received.body, "body_hash").c_str(), nullptr, 16));
    co_await call_control(api, std::move(request));
    http::response response;
    response.body = R"({"lifted":true})";
    co_return response;
}

asio::awaitable<http::response> handle_request(const api_context& api, const http::request& received)
{
    const std::string path = received.target.substr(0, received.target.find('?'));
    if (path == "/healthz") {
        co_return http::make_response(200, "text/plain", "ok\n");
    }
    if (path == "/metrics") {
        co_return http::make_response(200, "text/plain; version=0.0.4", api.metrics());
    }
    const std::string operator_name = authenticate_operator(api, received);
    const bool is_get = received.method == "GET";
    const bool is_post = received.method == "POST";
    if (path == "/admin/v1/configuration" && is_get) {
        co_return co_await get(api);
    }
    if (path == "/admin/v1/configuration" && is_post) {
        co_return co_await apply(api, received, operator_name);
    }
    if (path == "/admin/v1/audit" && is_get) {
        co_return co_await audit(api, received);
    }
    if (path == "/admin/v1/status" && is_get) {
        co_return co_await status(api);
    }
    if (path == "/admin/v1/replicas/remove" && is_post) {
        co_return co_await remove_replica(api, received);
    }
    if (path == "/admin/v1/quarantines/lift" && is_post) {
        co_return co_await lift_quarantine(api, received);
    }
    throw refusal_error(failure::not_found, "no such path: " + received.method + " " + path);
}

asio::awaitable<void> handle(std::shared_ptr<api_context> api, http::request& received,
                             http::responder& responder)
{
    http::response response;
    try {
        response = co_await handle_request(*api, received);
    }
    catch (const refusal_error& refusal) {
        response = caller::make_problem(refusal, "");
    }
    catch (const link_error& error) {
        response =
            caller::make_problem(refusal_error(failure::not_leader, error.what(), ran_state::unknown), "");
    }
    catch (const decode_error& error) {
        response = caller::make_problem(refusal_error(failure::bad_request, error.what()), "");
    }
    co_await responder.send(std::move(response));
}

} // namespace

http::handler make_api_handler(wire::group_client& client, wire::link& links,
                               std::vector<replica_address> replicas, std::vector<std::string> keys,
                               std::function<std::string()> metrics)
{
    auto api = std::make_shared<api_context>(
        api_context{client, links, std::move(replicas), std::move(keys), std::move(metrics)});
    return [api](http::request& received, http::responder& responder) {
        return handle(api, received, responder);
    };
}

} // namespace guavawick::operators
