// The operators' HTTP API on a replica.
#pragma once

#include "http/http_type.hpp"
#include "wire/group_client.hpp"

namespace guavawick::operators {

/// Makes the HTTP handler of the operators' address.
/// @param client calls the groups' leaders. @param links calls each replica for its status.
/// @param replicas the addresses of all replicas.
/// @param keys the operators' keys, each as "NAME:SHA256HEX".
/// @param metrics returns the metrics in the Prometheus text format.
/// @pre `client` and `links` outlive the handler.
http::handler make_api_handler(wire::group_client& client, wire::link& links,
                               std::vector<replica_address> replicas, std::vector<std::string> keys,
                               std::function<std::string()> metrics);

} // namespace guavawick::operators
