// Collects an attempt's chunks in order and writes the answer to the caller.
#pragma once

#include "base/failure_type.hpp"
#include "caller/chat.hpp"
#include "http/http_type.hpp"

#include <map>
#include <string>

namespace guavawick::entry {

/// Writes one answer. Thread safety: one coroutine at a time.
class answer_writer {
public:
    /// @param stream the caller wants server-sent events. @param usage the caller wants the usage event too.
    answer_writer(http::responder& out, bool stream, bool usage, std::string request_id);

    /// Takes in a chunk; chunks may arrive twice or out of order.
    boost::asio::awaitable<void> take(std::uint64_t number, int status, const std::string& content_type,
                                      const std::string& data);
    /// @return whether all chunks arrived and their checksum is right.
    [[nodiscard]] bool is_complete(std::uint64_t count, std::uint32_t checksum) const;
    /// Sends the end of the answer. @pre is_complete() was true and the call is closed.
    boost::asio::awaitable<void> finish();
    /// Sends an answer that was stored earlier.
    boost::asio::awaitable<void> send_stored(int status, const std::string& content_type,
                                             const std::string& body);
    /// Tells the caller of a refusal; an answer that already began is broken off.
    boost::asio::awaitable<void> fail(const refusal_error& refused);
    /// Keeps a stream alive while its call waits.
    boost::asio::awaitable<void> heartbeat();
    /// Forgets the chunks of an attempt that is tried again. @pre nothing of them reached the caller.
    void restart();

    /// @return whether any part of the answer was sent.
    [[nodiscard]] bool parts_reached_caller() const { return parts_sent_; }
    /// @return whether the caller closed its connection.
    [[nodiscard]] bool caller_left() const { return out_.caller_left(); }
    /// @return the upstream's HTTP status.
    [[nodiscard]] int status() const { return status_; }
    /// @return the answer put together from the stream.
    [[nodiscard]] const caller::completion_builder& answer() const { return answer_; }
    /// @return the whole answer's body and type, for a resend.
    [[nodiscard]] std::string whole_body() const;
    [[nodiscard]] std::string whole_content_type() const;

private:
    boost::asio::awaitable<void> take_next(const std::string& data);
    boost::asio::awaitable<void> write_event(const std::string& payload);
    boost::asio::awaitable<void> begin_stream();
    [[nodiscard]] bool is_event_stream() const;

    http::responder& out_;
    bool stream_;
    bool usage_;
    std::string request_id_;
    std::map<std::uint64_t, std::string> early_; ///< chunks that arrived before an earlier one
    std::uint64_t next_ = 0;
    std::uint32_t checksum_ = 0;
    int status_ = 0;
    std::string content_type_;
    caller::event_splitter splitter_;
    caller::completion_builder answer_;
    std::string raw_;
    std::string held_event_; ///< the last event is held until the call is closed
    bool stream_begun_ = false;
    bool parts_sent_ = false;
    std::uint32_t notices_ = 0;
};

} // namespace guavawick::entry
