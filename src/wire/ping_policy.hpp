// How often a link pings a peer. No I/O.
//
// Load that it answers: in a fleet of some hundred processes nearly every connection carries only status
// messages, and pings were three of four messages of an idle control replica. A call needs to learn within a
// fraction of a second that its peer is gone; a status message is repeated anyway.
#pragma once

#include "base/clock_type.hpp"

namespace guavawick::wire {

using namespace std::chrono_literals;

constexpr duration call_ping_interval = 250ms; ///< on a connection that carries calls
constexpr duration idle_ping_interval = 1s;    ///< on any other connection
constexpr duration call_memory = 10s; ///< a connection carries calls until this long after the last one

/// @param since_call time since the last call on the connection. @return the interval between two pings.
constexpr duration ping_interval(duration since_call)
{
    return since_call < call_memory ? call_ping_interval : idle_ping_interval;
}

/// @param since_call time since the last call on the connection.
/// @return by how much longer than one that carries calls the connection may be silent.
constexpr duration silence_margin(duration since_call)
{
    return ping_interval(since_call) - call_ping_interval;
}

} // namespace guavawick::wire
