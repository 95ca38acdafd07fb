// What the status of a response says about the exchange, for clients and servers (RFC 9110, section 15).
#pragma once

#include <cstdint>

namespace guavawick::http {

enum class response_kind : std::uint8_t {
    invalid, ///< no answer to the request: the connection can't be used any longer
    interim, ///< the final response follows on the connection
    final_response,
};

/// Classifies a response to a request that asks for no upgrade of the protocol, so that 101 is invalid.
constexpr response_kind classify_status(int status)
{
    constexpr int switching_protocols = 101;
    if (status < 100 || status > 599 || status == switching_protocols) {
        return response_kind::invalid;
    }
    return status < 200 ? response_kind::interim : response_kind::final_response;
}

/// Responses that a client skips before the final one. Enough for an upstream that sends 102 as a sign of
/// life during a long call.
constexpr int max_interim_responses = 64;

/// Logs a status that no server may send as its final one.
/// @return the status, or 502 in its place, which doesn't promise that the request has not run.
int check_sent_status(int status);

} // namespace guavawick::http
