// Links between the system's processes: protobuf envelopes over ZeroMQ, with calls, streams and silence
// detection.
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

/// Where a received envelope came from, for replies. Valid until the peer connects anew.
struct reply_target {
    std::string identity;   ///< ZeroMQ routing id
    std::uint64_t call = 0; ///< the call that the peer waits for
};

using envelope_ptr = std::shared_ptr<const envelope>;
/// Handles a received envelope on the worker pool.
using receive_handler = std::function<void(const reply_target&, const envelope_ptr&)>;

struct pending_call;
struct link_core;

/// Replies to one call that has several. Thread safety: next() by one coroutine at a time.
class reply_stream {
public:
    explicit reply_stream(std::shared_ptr<pending_call> call, std::shared_ptr<link_core> core);
    ~reply_stream();
    reply_stream(const reply_stream&) = delete;
    reply_stream& operator=(const reply_stream&) = delete;
    /// Waits for the next reply. @return nullptr once the deadline has passed; an envelope without a body is
    /// an idle notice, if open_stream() asked for them.
    boost::asio::awaitable<envelope_ptr> next();

private:
    std::shared_ptr<pending_call> call_;
    std::shared_ptr<link_core> core_;
};

/// All connections of one process. A thread of its own drives the sockets.
/// Thread safety: every function may be called from any thread.
class link {
public:
    /// @param pool runs the handlers. @param own_incarnation goes into every envelope as sender.
    link(boost::asio::any_io_executor pool, const link_settings& settings, incarnation_id own_incarnation);
    ~link();
    link(const link&) = delete;
    link& operator=(const link&) = delete;

    /// Stops the thread that drives the sockets; nothing is sent or received any more. May be called again.
    /// @pre the pool's executor still exists.
    void close();
    /// Accepts peers at an endpoint. @pre called once, before peers connect. @throw link_error if it can't be
    /// bound.
    void listen(const std::string& endpoint, receive_handler handler);
    /// Sends an envelope that needs no reply; it may be lost.
    void send(const std::string& endpoint, envelope message);
    /// Sends a request and waits for its first reply; sends it again with the same call id over a new
    /// connection when the present one goes silent. @throw link_error at the deadline.
    boost::asio::awaitable<envelope_ptr> call(std::string endpoint, envelope message, duration limit);
    /// Like call(), for requests that have several replies.
    /// @param idle_notice if not zero, next() returns an empty envelope about this often, so that its caller
    /// can look around.
    std::unique_ptr<reply_stream> open_stream(const std::string& endpoint, envelope message, duration limit,
                                              duration idle_notice = {});
    /// Answers a received envelope. @pre the message's body is set.
    void reply(const reply_target& to, envelope message);
    /// @return the incarnation of this process.
    [[nodiscard]] incarnation_id own_incarnation() const;
    /// @return whether a peer gave a sign of life within a span; a peer that was never called counts as
    /// alive.
    [[nodiscard]] bool active_within(const std::string& endpoint, duration span) const;
    /// @return how often a silent connection was opened anew.
    [[nodiscard]] std::uint64_t reconnect_count() const;

private:
    std::shared_ptr<link_core> core_;
};

} // namespace guavawick::wire
