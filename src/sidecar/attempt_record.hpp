// What a sidecar keeps of one attempt until its end is confirmed.
#pragma once

#include "base/clock_type.hpp"
#include "caller/chat.hpp"
#include "http/http_type.hpp"
#include "wire.pb.h"
#include "wire/link_type.hpp"

#include <memory>
#include <vector>

namespace guavawick::sidecar {

/// Kinds of a run_chunk. Numbers are part of the protocol: append only.
enum class chunk_kind : std::uint32_t {
    event = 0,   ///< payload of one server-sent event
    part = 1,    ///< raw part of a body
    end = 2,     ///< the last chunk of a started attempt
    refused = 3, ///< the attempt did not start and never will
    notice = 4,  ///< the attempt waits or runs
};

/// One receiver of an attempt's chunks.
struct chunk_receiver {
    wire::peer_route route;
};

/// One attempt at this sidecar. Guarded by the sidecar's mutex.
struct attempt_record {
    wire::run_request request;
    std::vector<wire::run_chunk> chunks; ///< all so far, for callers that join
    std::vector<chunk_receiver> receivers;
    std::shared_ptr<http::cancellation> stop = std::make_shared<http::cancellation>();
    bool ended = false;
    bool cancelled = false;
    bool closing = false; ///< the sidecar reports the end itself
    int status = 0;       ///< HTTP status of the upstream
    std::string content_type;
    std::uint32_t checksum = 0;    ///< CRC-32C of all data so far
    caller::answer_builder answer; ///< streamed answers
    std::string raw;               ///< other answers
    time_point started_at{};
    time_point first_data_at{};
    time_point ended_at{};
    double expected_cost = 0;
    std::uint32_t why = 0; ///< failure of the end
};

} // namespace guavawick::sidecar
