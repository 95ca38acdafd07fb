// Writing of a call's response.
#include "entry/answer_writer.hpp"

#include "base/hash_func.hpp"
#include "caller/problem.hpp"

namespace guavawick::entry {

namespace asio = boost::asio;

namespace {

constexpr std::uint32_t skipped_heartbeats =
    2; ///< until then a refusal can still be sent with its own HTTP status

} // namespace

response_writer::response_writer(http::responder& out, bool stream, bool include_usage,
                                 std::string request_id)
    : out_(out), stream_(stream), include_usage_(include_usage), request_id_(std::move(request_id))
{
}

bool response_writer::is_event_stream() const
{
    return content_type_.rfind("text/event-stream", 0) == 0;
}

asio::awaitable<void> response_writer::add_chunk(std::uint64_t number, int status,
                                                 const std::string& content_type, const std::string& data)
{
    if (number < next_chunk_) {
        co_return; // duplicate
    }
    set_head(status, content_type);
    pending_chunks_[number] = data;
    while (!pending_chunks_.empty() && pending_chunks_.begin()->first == next_chunk_) {
        const std::string chunk = std::move(pending_chunks_.begin()->second);
        pending_chunks_.erase(pending_chunks_.begin());
        ++next_chunk_;
        checksum_ = crc32c(chunk, checksum_);
        co_await process_chunk(chunk);
    }
}

void response_writer::set_head(int status, const std::string& content_type)
{
    status_ = status;
    content_type_ = content_type;
}

asio::awaitable<void> response_writer::process_chunk(const std::string& data)
{
    if (!is_event_stream()) {
        raw_body_ += data;
        co_return;
    }
    for (const std::string& payload : event_splitter_.feed(data)) {
        completion_.feed(payload);
        if (stream_) {
            co_await write_event(payload);
        }
    }
}

asio::awaitable<void> response_writer::start_stream()
{
    if (stream_started_) {
        co_return;
    }
    stream_started_ = true;
    http::response head;
    head.content_type = "text/event-stream";
    head.headers["Cache-Control"] = "no-cache";
    head.headers["X-Request-Id"] = request_id_;
    co_await out_.start_stream(std::move(head));
}

asio::awaitable<void> response_writer::write_event(const std::string& payload)
{
    const bool is_usage_event = payload.find("\"choices\":[]") != std::string::npos;
    if (is_usage_event && !include_usage_) {
        co_return;
    }
    std::string event;
    event.swap(withheld_event_);
    withheld_event_ = caller::format_event(payload);
    if (event.empty()) {
        co_return;
    }
    co_await start_stream();
    data_sent_ = true;
    co_await out_.write(std::move(event));
}

bool response_writer::is_complete(std::uint64_t count, std::uint32_t checksum) const
{
    return next_chunk_ == count && pending_chunks_.empty() && checksum_ == checksum;
}

std::string response_writer::response_body() const
{
    return is_event_stream() ? completion_.body() : raw_body_;
}

std::string response_writer::response_content_type() const
{
    return is_event_stream() ? "application/json" : content_type_;
}

asio::awaitable<void> response_writer::finish()
{
    if (stream_ && is_event_stream()) {
        co_await start_stream();
        co_await out_.write(withheld_event_ + caller::format_event("[DONE]"));
        co_await out_.finish();
        co_return;
    }
    co_await send_stored(status_, response_content_type(), response_body());
}

asio::awaitable<void> response_writer::send_stored(int status, const std::string& content_type,
                                                   const std::string& body)
{
    if (stream_started_) {
        co_await out_.write(caller::format_event(body) + caller::format_event("[DONE]"));
        co_await out_.finish();
        co_return;
    }
    http::response response;
    response.status = status == 0 ? 200 : status;
    response.content_type = content_type.empty() ? "application/octet-stream" : content_type;
    response.headers["X-Request-Id"] = request_id_;
    response.body = body;
    co_await out_.send(std::move(response));
}

asio::awaitable<void> response_writer::send_refusal(const refusal_error& refusal)
{
    if (!stream_started_) {
        co_await out_.send(caller::make_problem(refusal, request_id_));
        co_return;
    }
    // The status line has been sent, so the refusal is sent as an error event. The connection is aborted
    // without the end of the stream, so that the caller does not take the response for complete.
    co_await out_.write("event: error\n" + caller::format_event(caller::problem_body(refusal, request_id_)));
    out_.abort();
}

asio::awaitable<void> response_writer::send_heartbeat()
{
    ++heartbeat_requests_;
    if (!stream_ || heartbeat_requests_ <= skipped_heartbeats || out_.caller_left()) {
        co_return;
    }
    co_await start_stream();
    co_await out_.write(": waiting\n\n");
}

void response_writer::reset()
{
    pending_chunks_.clear();
    next_chunk_ = 0;
    checksum_ = 0;
    status_ = 0;
    content_type_.clear();
    event_splitter_ = {};
    completion_ = {};
    raw_body_.clear();
    withheld_event_.clear();
}

} // namespace guavawick::entry
