// Links between the system's processes: protobuf envelopes over ZeroMQ, with calls, reply streams and
// heartbeats.
#pragma once

#include "base/clock_type.hpp"
#include "base/id_type.hpp"
#include "base/settings_type.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>

namespace guavawick::wire {
class envelope;

/// Identifies the peer and the call that a reply goes to. Valid until the peer reconnects.
struct reply_target {
    std::string identity;   ///< ZeroMQ routing id
    std::uint64_t call = 0; ///< id of the call, chosen by the peer
};

using envelope_ptr = std::shared_ptr<const envelope>;
/// Callback for a received envelope; runs on the worker pool.
using receive_handler = std::function<void(const reply_target&, const envelope_ptr&)>;

struct pending_call;
struct link_core;

/// The replies to one call. Destroying the stream ends the call.
/// Thread safety: next() by one coroutine at a time.
class reply_stream {
public:
    explicit reply_stream(std::shared_ptr<pending_call> call, std::shared_ptr<link_core> core);
    ~reply_stream();
    reply_stream(const reply_stream&) = delete;
    reply_stream& operator=(const reply_stream&) = delete;
    /// Waits for the next reply. @return nullptr once the deadline has passed. An envelope without a body is
    /// a tick, see open_stream().
    boost::asio::awaitable<envelope_ptr> next();

private:
    std::shared_ptr<pending_call> call_;
    std::shared_ptr<link_core> core_;
};

/// All connections of one process. A dedicated thread owns the sockets.
/// Thread safety: every function may be called from any thread.
class link {
public:
    /// @param pool executor that runs the handlers. @param incarnation sender of every envelope.
    link(boost::asio::any_io_executor pool, const link_settings& settings, incarnation_id incarnation);
    ~link();
    link(const link&) = delete;
    link& operator=(const link&) = delete;

    /// Stops the thread that owns the sockets; nothing is sent or received afterwards. Idempotent.
    /// @pre the pool's executor still exists.
    void close();
    /// Accepts peers at an endpoint. @pre called once, before peers connect.
    /// @throw link_error if the endpoint can't be bound.
    void listen(const std::string& endpoint, receive_handler handler);
    /// Sends an envelope without waiting for a reply; delivery is not guaranteed.
    void send(const std::string& endpoint, envelope message);
    /// Sends a request and waits for its first reply. The request is resent with the same call id after a
    /// backoff, when the peer restarts, and over a new connection when nothing arrives on the old one within
    /// the silence limit. @throw link_error if no reply arrives within `timeout`.
    boost::asio::awaitable<envelope_ptr> call(std::string endpoint, envelope message, duration timeout);
    /// Like call(), for requests that have several replies.
    /// @param tick_interval if not zero, next() also returns an envelope without a body about this often, so
    /// that its caller can check other conditions while it waits.
    /// @param resends false for a large request, of which the peer must not get several copies.
    std::unique_ptr<reply_stream> open_stream(const std::string& endpoint, envelope message, duration timeout,
                                              duration tick_interval = {}, bool resends = true);
    /// Replies to a received envelope. @pre the message's body is set.
    void reply(const reply_target& target, envelope message);
    /// @return the incarnation of this process.
    [[nodiscard]] incarnation_id own_incarnation() const;
    /// @return whether a message from a peer arrived, or a connection to it was first opened, within a span;
    /// true for a peer without a connection.
    [[nodiscard]] bool active_within(const std::string& endpoint, duration span) const;
    /// @return number of received messages that could not be decoded.
    [[nodiscard]] std::uint64_t undecodable_count() const;
    /// @return number of connections that were reopened because nothing arrived within the silence limit.
    [[nodiscard]] std::uint64_t reconnect_count() const;

private:
    std::shared_ptr<link_core> core_;
};

} // namespace guavawick::wire
