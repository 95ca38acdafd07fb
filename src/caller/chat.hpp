// Chat completion requests and responses in OpenAI's format.
#pragma once

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace guavawick::caller {

/// A parsed chat completion request.
struct chat_request {
    std::string model;
    bool stream = false;               ///< the caller wants server-sent events
    bool include_usage = false;        ///< the caller wants the usage event of a stream
    std::uint64_t max_tokens = 0;      ///< the caller's limit of the completion's tokens; 0: no limit
    std::vector<std::string> messages; ///< the new messages, each as JSON text
    boost::json::object other_fields;  ///< the request without its messages
};

/// Parses a request body. @throw refusal_error of kind bad_request that names the invalid field.
chat_request parse_chat_request(const std::string& body);
/// Builds the request body for an upstream: the stored history, then the new messages. It always asks for a
/// stream with usage.
std::string build_upstream_body(const chat_request& call, const std::vector<std::string>& history);
/// @return the role of a message given as JSON text; "user" if it has none.
std::string role_of(const std::string& message);
/// @return an estimate of the number of tokens in a text of `bytes` bytes.
std::uint64_t estimate_tokens(std::uint64_t bytes);

/// Assembles a completion from the events of a stream. Not thread safe.
class completion_builder {
public:
    /// Adds the payload of one event. @return false, without effect, if it is not a JSON object.
    bool feed(const std::string& payload);
    /// @return the completion as a `chat.completion` body.
    [[nodiscard]] std::string body() const;
    /// @return the assistant's message as JSON text, for the history.
    [[nodiscard]] std::string message() const;
    [[nodiscard]] std::uint64_t prompt_tokens() const { return prompt_tokens_; }
    [[nodiscard]] std::uint64_t completion_tokens() const { return completion_tokens_; }
    [[nodiscard]] std::uint64_t cached_tokens() const { return cached_tokens_; }

private:
    void add_choice(const boost::json::object& choice);
    void read_usage(const boost::json::object& usage);
    [[nodiscard]] boost::json::object message_object() const;

    std::string id_;
    std::string model_;
    std::int64_t created_ = 0;
    std::string content_;
    std::string finish_reason_;
    boost::json::array tool_calls_;
    std::uint64_t prompt_tokens_ = 0;
    std::uint64_t completion_tokens_ = 0;
    std::uint64_t cached_tokens_ = 0;
};

/// Splits a stream of server-sent events into payloads. Not thread safe.
class event_splitter {
public:
    /// Adds received bytes. @return the payloads of the events that are now complete.
    std::vector<std::string> feed(const std::string& bytes);
    /// @return whether the closing event "[DONE]" was seen.
    [[nodiscard]] bool done() const { return done_; }

private:
    std::string pending_;
    bool done_ = false;
};

/// @return a payload formatted as one server-sent event.
std::string format_event(const std::string& payload);

} // namespace guavawick::caller
