// Data of one attempt, kept by a sidecar until the attempt's end is confirmed.
#pragma once

#include "base/clock_type.hpp"
#include "caller/chat.hpp"
#include "http/http_type.hpp"
#include "wire.pb.h"
#include "wire/link_type.hpp"

#include <memory>
#include <vector>

namespace guavawick::sidecar {

/// Types of a run_chunk. The numbers are part of the protocol: append only.
enum class chunk_kind : std::uint32_t {
    event = 0,   ///< payload of one server-sent event
    part = 1,    ///< part of the response body
    end = 2,     ///< last chunk of a started attempt
    refused = 3, ///< the attempt has not started and never will
    notice = 4,  ///< the attempt is queued or running
};

/// A receiver of an attempt's chunks.
struct chunk_receiver {
    wire::reply_target route;
};

/// An attempt at this sidecar. Guarded by the sidecar's mutex.
struct attempt_record {
    wire::run_request request;
    std::vector<wire::run_chunk> chunks; ///< all chunks so far, for receivers that join later
    std::vector<chunk_receiver> receivers;
    std::shared_ptr<http::cancellation> cancel_signal = std::make_shared<http::cancellation>();
    bool ended = false;
    bool cancelled = false;
    bool reporting_end = false; ///< this sidecar is reporting the end itself
    int status = 0;             ///< HTTP status from the upstream
    std::string content_type;
    std::uint32_t checksum = 0;        ///< CRC-32C of all data so far
    caller::completion_builder answer; ///< assembled from a streamed response
    std::string raw_body;              ///< response body as received
    time_point started_at{};
    time_point first_data_at{};
    time_point ended_at{};
    double expected_cost = 0;
    std::uint32_t end_failure = 0; ///< number of the failure it ended with
};

} // namespace guavawick::sidecar
