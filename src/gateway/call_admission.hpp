// Admission of programs by the load of their service, and the observations that it is based on.
#pragma once

#include "gateway/call_run.hpp"

namespace guavawick::gateway {

/// Decides whether the first turn of a program may run, and waits while it is held. Other calls pass.
/// @pre the call's turn was opened. @return a refusal with status 0 if the call may proceed.
boost::asio::awaitable<refusal> admit_start(std::shared_ptr<active_call> call);

/// Times of one stream at an upstream instance.
struct stream_times {
    time_point sent_at{};
    time_point first_event_at{}; ///< zero until it has arrived
    std::uint64_t events = 0;
};

/// Records that a part of a stream with complete events arrived.
void observe_events(const active_call& call, const directory::instance_id& instance, stream_times& times,
                    std::uint64_t events, time_point now);
/// Records that a stream ended in order.
void observe_stream_end(const active_call& call, const directory::instance_id& instance,
                        const stream_times& times, time_point now);
/// Records that an instance did not run the call, as it is full.
void observe_rejection(const active_call& call, time_point now);

} // namespace guavawick::gateway
