// Collects an attempt's chunks in order and writes the answer to the caller.
#include "entry/answer_writer.hpp"

#include "base/hash_func.hpp"
#include "caller/problem.hpp"

namespace guavawick::entry {

namespace asio = boost::asio;

namespace {

constexpr std::uint32_t notices_before_heartbeat =
    2; ///< a short wait is answered with a plain status instead

} // namespace

answer_writer::answer_writer(http::responder& out, bool stream, bool usage, std::string request_id)
    : out_(out), stream_(stream), usage_(usage), request_id_(std::move(request_id))
{
}

bool answer_writer::is_event_stream() const
{
    return content_type_.rfind("text/event-stream", 0) == 0;
}

asio::awaitable<void> answer_writer::take(std::uint64_t number, int status, const std::string& content_type,
                                          const std::string& data)
{
    if (number < next_) {
        co_return; // a duplicate
    }
    status_ = status;
    content_type_ = content_type;
    early_[number] = data;
    while (!early_.empty() && early_.begin()->first == next_) {
        const std::string part = std::move(early_.begin()->second);
        early_.erase(early_.begin());
        ++next_;
        checksum_ = crc32c(part, checksum_);
        co_await take_next(part);
    }
}

asio::awaitable<void> answer_writer::take_next(const std::string& data)
{
    if (!is_event_stream()) {
        raw_ += data;
        co_return;
    }
    for (const std::string& payload : splitter_.feed(data)) {
        answer_.feed(payload);
        if (stream_) {
            co_await write_event(payload);
        }
    }
}

asio::awaitable<void> answer_writer::begin_stream()
{
    if (stream_begun_) {
        co_return;
    }
    stream_begun_ = true;
    http::response head;
    head.content_type = "text/event-stream";
    head.headers["Cache-Control"] = "no-cache";
    head.headers["X-Request-Id"] = request_id_;
    co_await out_.start_stream(std::move(head));
}

asio::awaitable<void> answer_writer::write_event(const std::string& payload)
{
    const bool usage_only = payload.find("\"choices\":[]") != std::string::npos;
    if (usage_only && !usage_) {
        co_return;
    }
    std::string ready;
    ready.swap(held_event_);
    held_event_ = caller::format_event(payload);
    if (ready.empty()) {
        co_return;
    }
    co_await begin_stream();
    parts_sent_ = true;
    co_await out_.write(std::move(ready));
}

bool answer_writer::is_complete(std::uint64_t count, std::uint32_t checksum) const
{
    return next_ == count && early_.empty() && checksum_ == checksum;
}

std::string answer_writer::whole_body() const
{
    return is_event_stream() ? answer_.body() : raw_;
}

std::string answer_writer::whole_content_type() const
{
    return is_event_stream() ? "application/json" : content_type_;
}

asio::awaitable<void> answer_writer::finish()
{
    if (stream_ && is_event_stream()) {
        co_await begin_stream();
        co_await out_.write(held_event_ + caller::format_event("[DONE]"));
        co_await out_.finish();
        co_return;
    }
    co_await send_stored(status_, whole_content_type(), whole_body());
}

asio::awaitable<void> answer_writer::send_stored(int status, const std::string& content_type,
                                                 const std::string& body)
{
    if (stream_begun_) {
        co_await out_.write(caller::format_event(body) + caller::format_event("[DONE]"));
        co_await out_.finish();
        co_return;
    }
    http::response whole;
    whole.status = status == 0 ? 200 : status;
    whole.content_type = content_type.empty() ? "application/octet-stream" : content_type;
    whole.headers["X-Request-Id"] = request_id_;
    whole.body = body;
    co_await out_.send(std::move(whole));
}

asio::awaitable<void> answer_writer::fail(const refusal_error& refused)
{
    if (!stream_begun_) {
        co_await out_.send(caller::make_problem(refused, request_id_));
        co_return;
    }
    // The status line is gone; an error event tells the caller, and the missing end keeps it from being taken
    // for whole.
    co_await out_.write("event: error\n" + caller::format_event(caller::problem_body(refused, request_id_)));
    out_.abort();
}

asio::awaitable<void> answer_writer::heartbeat()
{
    ++notices_;
    if (!stream_ || notices_ <= notices_before_heartbeat || out_.caller_left()) {
        co_return;
    }
    co_await begin_stream();
    co_await out_.write(": waiting\n\n");
}

void answer_writer::restart()
{
    early_.clear();
    next_ = 0;
    checksum_ = 0;
    status_ = 0;
    content_type_.clear();
    splitter_ = {};
    answer_ = {};
    raw_.clear();
    held_event_.clear();
}

} // namespace guavawick::entry
