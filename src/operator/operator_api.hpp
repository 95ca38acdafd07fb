// The operators' HTTP API on a replica.
#pragma once

#include "http/http_type.hpp"
#include "wire/group_client.hpp"

namespace guavawick::operators {

/// Makes the handler of the operators' address.
/// @param client reaches the groups' leaders. @param links and replicas reach each replica for its status.
/// @param keys "NAME:SHA256HEX" of each operator's key.
/// @param metrics gives Prometheus text.
http::handler make_api_handler(wire::group_client& client, wire::link& links,
                               std::vector<replica_address> replicas, std::vector<std::string> keys,
                               std::function<std::string()> metrics);

} // namespace guavawick::operators
