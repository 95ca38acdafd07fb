// Chat completion requests and responses in OpenAI's format.
#include "caller/chat.hpp"

#include "base/failure_type.hpp"

#include <boost/json.hpp>

namespace guavawick::caller {

namespace json = boost::json;

namespace {

constexpr std::uint64_t bytes_per_token = 4;
constexpr std::size_t max_messages = 10000;
constexpr std::size_t max_tool_calls = 1024;
constexpr std::uint64_t max_response_tokens = 1000000;

[[noreturn]] void refuse(const std::string& detail)
{
    throw refusal_error(failure::bad_request, detail);
}

json::object parse_object(const std::string& body)
{
    boost::system::error_code error;
    json::value parsed = json::parse(body, error);
    if (error) {
        refuse("the body is not valid JSON: " + error.message());
    }
    if (!parsed.is_object()) {
        refuse("the body is not a JSON object");
    }
    return std::move(parsed.as_object());
}

std::vector<std::string> read_messages(const json::object& body)
{
    const json::value* list = body.if_contains("messages");
    if (list == nullptr || !list->is_array() || list->as_array().empty()) {
        refuse("\"messages\": expected a list with at least one message");
    }
    if (list->as_array().size() > max_messages) {
        refuse("\"messages\": more messages than " + std::to_string(max_messages));
    }
    std::vector<std::string> messages;
    for (const json::value& message : list->as_array()) {
        if (!message.is_object() || !message.as_object().contains("role") ||
            !message.at("role").is_string()) {
            refuse("\"messages\": each message needs a string \"role\"");
        }
        messages.push_back(json::serialize(message));
    }
    return messages;
}

std::uint64_t read_max_tokens(const json::object& body)
{
    for (const char* name : {"max_completion_tokens", "max_tokens"}) {
        const json::value* value = body.if_contains(name);
        if (value == nullptr || value->is_null()) {
            continue;
        }
        if (!value->is_int64() || value->as_int64() < 1 ||
            value->as_int64() > static_cast<std::int64_t>(max_response_tokens)) {
            refuse(std::string("\"") + name + "\": expected a whole number from 1 to " +
                   std::to_string(max_response_tokens));
        }
        return static_cast<std::uint64_t>(value->as_int64());
    }
    return 0;
}

bool read_bool(const json::object& body, const char* name)
{
    const json::value* value = body.if_contains(name);
    if (value == nullptr || value->is_null()) {
        return false;
    }
    if (!value->is_bool()) {
        refuse(std::string("\"") + name + "\": expected true or false");
    }
    return value->as_bool();
}

std::string string_or_empty(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::uint64_t number_or_zero(const json::object& object, const char* name)
{
    const json::value* value = object.if_contains(name);
    if (value == nullptr || !value->is_int64() || value->as_int64() < 0) {
        return 0;
    }
    return static_cast<std::uint64_t>(value->as_int64());
}

void append_text(json::object& target, const char* name, const json::object& delta)
{
    const std::string addition = string_or_empty(delta, name);
    if (addition.empty()) {
        return;
    }
    target[name] = string_or_empty(target, name) + addition;
}

/// Merges a delta of a tool call into the tool calls received so far.
void merge_tool_call(json::array& calls, const json::object& delta)
{
    const std::uint64_t index = number_or_zero(delta, "index");
    if (index >= max_tool_calls) {
        return;
    }
    while (calls.size() <= index) {
        calls.push_back(
            json::object{{"type", "function"}, {"function", json::object{{"name", ""}, {"arguments", ""}}}});
    }
    json::object& call = calls[index].as_object();
    const std::string id = string_or_empty(delta, "id");
    if (!id.empty()) {
        call["id"] = id;
    }
    const json::value* function = delta.if_contains("function");
    if (function == nullptr || !function->is_object()) {
        return;
    }
    append_text(call["function"].as_object(), "name", function->as_object());
    append_text(call["function"].as_object(), "arguments", function->as_object());
}

} // namespace

chat_request parse_chat_request(const std::string& body)
{
    json::object parsed = parse_object(body);
    chat_request call;
    call.model = string_or_empty(parsed, "model");
    if (call.model.empty()) {
        refuse("\"model\": expected the name of a model");
    }
    call.messages = read_messages(parsed);
    call.max_tokens = read_max_tokens(parsed);
    call.stream = read_bool(parsed, "stream");
    const json::value* options = parsed.if_contains("stream_options");
    if (options != nullptr && options->is_object()) {
        call.include_usage = read_bool(options->as_object(), "include_usage");
    }
    const json::value* choices = parsed.if_contains("n");
    if (choices != nullptr && choices->is_int64() && choices->as_int64() != 1) {
        refuse("\"n\": only one choice is supported");
    }
    parsed.erase("messages");
    call.other_fields = std::move(parsed);
    return call;
}

std::string build_upstream_body(const chat_request& call, const std::vector<std::string>& history)
{
    json::object body = call.other_fields;
    body["stream"] = true;
    body["stream_options"] = json::object{{"include_usage", true}};
    std::string text = json::serialize(body);
    text.pop_back(); // the closing brace; the messages are already JSON text and are appended unparsed
    text += R"(,"messages":[)";
    bool first = true;
    for (const std::vector<std::string>* messages : {&history, &call.messages}) {
        for (const std::string& message : *messages) {
            text += first ? "" : ",";
            text += message;
            first = false;
        }
    }
    return text + "]}";
}

std::string role_of(const std::string& message)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(message, error);
    if (error || !parsed.is_object()) {
        return "user";
    }
    const std::string role = string_or_empty(parsed.as_object(), "role");
    return role.empty() ? "user" : role;
}

std::uint64_t estimate_tokens(std::uint64_t bytes)
{
    return bytes / bytes_per_token + 1;
}

bool completion_builder::feed(const std::string& payload)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(payload, error);
    if (error || !parsed.is_object()) {
        return false;
    }
    const json::object& event = parsed.as_object();
    if (id_.empty()) {
        id_ = string_or_empty(event, "id");
        model_ = string_or_empty(event, "model");
        created_ = static_cast<std::int64_t>(number_or_zero(event, "created"));
    }
    const json::value* choices = event.if_contains("choices");
    if (choices != nullptr && choices->is_array() && !choices->as_array().empty() &&
        choices->as_array()[0].is_object()) {
        add_choice(choices->as_array()[0].as_object());
    }
    const json::value* usage = event.if_contains("usage");
    if (usage != nullptr && usage->is_object()) {
        read_usage(usage->as_object());
    }
    return true;
}

void completion_builder::add_choice(const json::object& choice)
{
    const std::string reason = string_or_empty(choice, "finish_reason");
    if (!reason.empty()) {
        finish_reason_ = reason;
    }
    const json::value* delta = choice.if_contains("delta");
    if (delta == nullptr || !delta->is_object()) {
        return;
    }
    content_ += string_or_empty(delta->as_object(), "content");
    const json::value* calls = delta->as_object().if_contains("tool_calls");
    if (calls == nullptr || !calls->is_array()) {
        return;
    }
    for (const json::value& call_delta : calls->as_array()) {
        if (call_delta.is_object()) {
            merge_tool_call(tool_calls_, call_delta.as_object());
        }
    }
}

void completion_builder::read_usage(const json::object& usage)
{
    prompt_tokens_ = number_or_zero(usage, "prompt_tokens");
    completion_tokens_ = number_or_zero(usage, "completion_tokens");
    const json::value* details = usage.if_contains("prompt_tokens_details");
    if (details != nullptr && details->is_object()) {
        cached_tokens_ = number_or_zero(details->as_object(), "cached_tokens");
    }
}

json::object completion_builder::message_object() const
{
    json::object message{{"role", "assistant"}, {"content", content_}};
    if (!tool_calls_.empty()) {
        message["tool_calls"] = tool_calls_;
    }
    return message;
}

std::string completion_builder::message() const
{
    return json::serialize(message_object());
}

std::string completion_builder::body() const
{
    json::object choice{{"index", 0},
                        {"message", message_object()},
                        {"finish_reason", finish_reason_.empty() ? "stop" : finish_reason_}};
    json::object usage{{"prompt_tokens", prompt_tokens_},
                       {"completion_tokens", completion_tokens_},
                       {"total_tokens", prompt_tokens_ + completion_tokens_},
                       {"prompt_tokens_details", json::object{{"cached_tokens", cached_tokens_}}}};
    json::array choices;
    choices.push_back(std::move(choice));
    return json::serialize(json::object{{"id", id_},
                                        {"object", "chat.completion"},
                                        {"created", created_},
                                        {"model", model_},
                                        {"choices", choices},
                                        {"usage", usage}});
}

std::vector<std::string> event_splitter::feed(const std::string& bytes)
{
    pending_ += bytes;
    std::vector<std::string> payloads;
    std::size_t start = 0;
    for (std::size_t end = pending_.find('\n'); end != std::string::npos; end = pending_.find('\n', start)) {
        std::string line = pending_.substr(start, end - start);
        start = end + 1;
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (line.rfind("data:", 0) != 0) {
            continue; // an empty line, a comment or a field other than data
        }
        const std::size_t text = line.find_first_not_of(' ', 5);
        const std::string payload = text == std::string::npos ? "" : line.substr(text);
        if (payload == "[DONE]") {
            done_ = true;
            continue;
        }
        payloads.push_back(payload);
    }
    pending_.erase(0, start);
    return payloads;
}

std::string format_event(const std::string& payload)
{
    return "data: " + payload + "\n\n";
}

} // namespace guavawick::caller
