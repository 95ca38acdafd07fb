// Limits of the connections that a listener holds open. Pure functions; the caller passes the time. Addresses
// the load of clients that open many connections and send nothing or only a part of a request.
#pragma once

#include "base/clock_type.hpp"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace guavawick::http {

/// Limits of a listener's connections.
struct connection_limits {
    std::uint64_t total = 4096;
    std::uint64_t per_address = 3072;
    duration min_wait = std::chrono::milliseconds(100); ///< a connection that waits less long is not closed
};

/// What a connection is doing. Thread safety: atomic.
struct connection_activity {
    std::atomic<std::int64_t> waiting_since{0}; ///< of the process's clock in ns, since the last byte
                                                ///< arrived; 0 while a request is handled
    std::atomic<bool> served{false};            ///< a request of the connection was read
};

/// An open connection.
struct connection_record {
    std::string address;
    std::shared_ptr<const connection_activity> activity;
};

/// The connections of a listener. Thread safety: none.
struct connection_table {
    connection_limits limits;
    std::uint64_t next_id = 1;
    std::map<std::uint64_t, connection_record> open;
    std::map<std::uint64_t, connection_record> closing;    ///< asked to give way, and not closed yet
    std::map<std::string, std::uint64_t> count_by_address; ///< of the open ones
};

/// Whether a new connection is accepted.
struct connection_decision {
    bool accepted = true;
    std::uint64_t id = 0;     ///< of the new connection
    std::uint64_t closed = 0; ///< connection that is to give way; 0 for none
};

/// Adds a connection. If the listener's or the address's limit is reached, the connection that waits for
/// bytes longest is asked to give way; first those from which no request was ever read. It counts as closing
/// until it is removed or keeps its place, in which case the limit is exceeded and no other is accepted until
/// one more connection has been asked. At most an eighth of the connections, and 16, are closing at a time.
connection_decision admit_connection(connection_table& table, const std::string& address,
                                     const std::shared_ptr<const connection_activity>& activity,
                                     time_point now);
/// Keeps the place of a connection that was asked to give way and isn't waiting any more.
void keep_connection(connection_table& table, std::uint64_t id);
/// Removes a connection, if it is still in the table.
void remove_connection(connection_table& table, std::uint64_t id);

/// @param memory_limit of the process in bytes, 0 if unknown. @param max_descriptors of the process, 0 if
/// unknown. @return limits of a gateway's callers or a control replica's operators and upstreams. The rest of
/// the descriptors serves links, upstreams, files and health checks.
connection_limits derive_connection_limits(std::uint64_t memory_limit, std::uint64_t max_descriptors);
/// @return limits for health checks and metrics, which must be reachable when the other listener is full.
connection_limits derive_reserved_limits(std::uint64_t max_descriptors);

} // namespace guavawick::http
