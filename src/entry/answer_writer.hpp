// Puts the chunks of an attempt's response in order and writes the response to the caller.
#pragma once

#include "base/failure_type.hpp"
#include "caller/chat.hpp"
#include "http/http_type.hpp"

#include <map>
#include <string>

namespace guavawick::entry {

/// Writes the response of one call. Thread safety: one coroutine at a time.
class response_writer {
public:
    /// @param stream whether the caller requested server-sent events.
    /// @param include_usage whether the caller requested the usage event.
    response_writer(http::responder& out, bool stream, bool include_usage, std::string request_id);

    /// Adds a chunk of the upstream's response. Chunks may be duplicated or out of order.
    /// @param number index of the chunk, from 0.
    boost::asio::awaitable<void> add_chunk(std::uint64_t number, int status, const std::string& content_type,
                                           const std::string& data);
    /// Sets status and content type of a response, which has no chunks if its body is empty.
    void set_head(int status, const std::string& content_type);
    /// @return whether all chunks arrived and their checksum matches.
    [[nodiscard]] bool is_complete(std::uint64_t count, std::uint32_t checksum) const;
    /// Sends the end of the response. @pre is_complete() was true and the call is closed.
    boost::asio::awaitable<void> finish();
    /// Sends a stored response.
    boost::asio::awaitable<void> send_stored(int status, const std::string& content_type,
                                             const std::string& body);
    /// Sends a refusal to the caller. A stream that has started is aborted after an error event.
    boost::asio::awaitable<void> send_refusal(const refusal_error& refusal);
    /// Sends a comment that keeps a stream alive while its call waits; the first calls send nothing.
    boost::asio::awaitable<void> send_heartbeat();
    /// Discards the received chunks before the call is retried. @pre has_sent_data() is false.
    void reset();

    /// @return whether any data of the upstream's response was sent to the caller.
    [[nodiscard]] bool has_sent_data() const { return data_sent_; }
    /// @return whether the caller closed its connection.
    [[nodiscard]] bool caller_left() const { return out_.caller_left(); }
    /// @return the HTTP status of the upstream's response.
    [[nodiscard]] int status() const { return status_; }
    /// @return the chat completion assembled from the stream.
    [[nodiscard]] const caller::completion_builder& completion() const { return completion_; }
    /// @return the body of the complete response, for storing.
    [[nodiscard]] std::string response_body() const;
    /// @return the content type of response_body().
    [[nodiscard]] std::string response_content_type() const;

private:
    boost::asio::awaitable<void> process_chunk(const std::string& data);
    boost::asio::awaitable<void> write_event(const std::string& payload);
    boost::asio::awaitable<void> start_stream();
    [[nodiscard]] bool is_event_stream() const;

    http::responder& out_;
    bool stream_;
    bool include_usage_;
    std::string request_id_;
    std::map<std::uint64_t, std::string>
        pending_chunks_; ///< chunks that arrived before a missing one, by number
    std::uint64_t next_chunk_ = 0;
    std::uint32_t checksum_ = 0;
    int status_ = 0;
    std::string content_type_;
    caller::event_splitter event_splitter_;
    caller::completion_builder completion_;
    std::string raw_body_;
    std::string withheld_event_; ///< latest event, withheld until the next one arrives or the call is closed
    bool stream_started_ = false;
    bool data_sent_ = false;
    std::uint32_t heartbeat_requests_ = 0;
};

} // namespace guavawick::entry
