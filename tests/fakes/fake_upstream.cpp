// Fake upstream: an HTTP server that behaves like a model engine or a plain service and appends each request
// to a run log, from which tests check what ran.
//
// Markers in a request's text select its behaviour: [crash] ends the process, [hang] never responds, [slow:N]
// generates N tokens or, for a service, responds after N milliseconds, [cut] ends the stream's connection
// after half of its tokens, [reset] resets it there, [fail] responds with status 500, [status:N] with status
// N, and with [empty] such a response has no body. [unframed] sends a response that has neither a length nor
// chunks and ends with its connection; --unframed_share does so for a share of the responses, chosen by
// --seed. With [cut], such a response ends inside an event.
#include "base/event_type.hpp"
#include "base/hash_func.hpp"
#include "fakes/engine_model.hpp"
#include "fakes/fake_server.hpp"
#include "runtime/worker_pool.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/json.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <mutex>
#include <random>

ABSL_FLAG(std::string, listen, "127.0.0.1:9000", "address and port to listen on");
ABSL_FLAG(std::string, kind, "model", "what to imitate: model or service");
ABSL_FLAG(std::string, run_log, "",
          "file to which the events of each request are appended, as lines of JSON");
ABSL_FLAG(int32_t, slots, 8, "calls that run at full speed in one batch");
ABSL_FLAG(double, seconds_per_token, 0.002, "decode time of a token of one call alone");
ABSL_FLAG(double, prefill_tokens_per_second, 50000, "prefill speed of one call alone");
ABSL_FLAG(int32_t, answer_tokens, 12, "tokens of an answer if the request has no [slow:N] marker");
ABSL_FLAG(double, cold_seconds, 0, "extra delay before the first token of the cold answers, in seconds");
ABSL_FLAG(int32_t, cold_answers, 0, "how many answers after a start get the cold delay");
ABSL_FLAG(double, unframed_share, 0, "share of responses that have neither a length nor chunks");
ABSL_FLAG(uint64_t, seed, 1, "selects the responses that have neither a length nor chunks");
ABSL_FLAG(bool, honour_fencing, true, "refuse orders whose fencing number is lower than an earlier one");

namespace guavawick::fakes {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::uint64_t bytes_per_token = 4; ///< prompt size is estimated from the size of the body

/// State of the fake upstream. `mutex` guards the other members.
struct upstream_state {
    std::mutex mutex;
    engine_model engine;
    std::ofstream log;
    std::uint64_t run_count = 0;
    std::uint64_t max_fencing_number = 0;
    std::mt19937_64 random;
};

void write_log(upstream_state& state, const char* event, const http::request& request,
               const std::string& text)
{
    json::object headers;
    for (const auto& [name, value] : request.headers) {
        headers[name] = value;
    }
    const std::lock_guard lock(state.mutex);
    state.log << json::serialize(json::object{{"what", event},
                                              {"at_ms", to_ms(runtime_clock::now().time_since_epoch())},
                                              {"target", request.target},
                                              {"text", text},
                                              {"headers", headers},
                                              {"body", request.body}})
              << std::endl;
}

std::uint64_t read_marker(const std::string& text, const std::string& name, std::uint64_t default_value)
{
    const std::size_t position = text.rfind("[" + name + ":");
    return position == std::string::npos
               ? default_value
               : std::strtoull(text.c_str() + position + name.size() + 2, nullptr, 10);
}

bool has_marker(const std::string& text, const char* name)
{
    return text.find(std::string("[") + name + "]") != std::string::npos;
}

/// Selects what marks the end of the response to a call.
void choose_end(upstream_state& state, const std::string& text, fake_responder& responder)
{
    std::uniform_real_distribution<double> share(0, 1);
    const std::lock_guard lock(state.mutex);
    const bool chosen = share(state.random) < absl::GetFlag(FLAGS_unframed_share);
    if (chosen || has_marker(text, "unframed")) {
        responder.set_end(body_end::connection);
    }
}

http::response make_json(int status, std::string body)
{
    http::response response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

bool has_status_marker(const std::string& text)
{
    return text.find("[status:") != std::string::npos;
}

http::response make_marked_response(const std::string& text)
{
    return make_json(static_cast<int>(read_marker(text, "status", 0)), has_marker(text, "empty") ? "" : "{}");
}

asio::awaitable<void> wait_for_disconnect(fake_responder& responder)
{
    while (!responder.caller_left()) {
        co_await runtime::wait_for(std::chrono::milliseconds(50));
    }
}

std::string make_chunk_event(const json::value& delta, const char* finish_reason)
{
    json::object choice{
        {"index", 0},
        {"delta", delta},
        {"finish_reason", finish_reason == nullptr ? json::value(nullptr) : json::value(finish_reason)}};
    json::array choices;
    choices.push_back(std::move(choice));
    return "data: " +
           json::serialize(json::object{{"id", "chatcmpl-1"},
                                        {"object", "chat.completion.chunk"},
                                        {"created", 1},
                                        {"model", "m"},
                                        {"choices", choices}}) +
           "\n\n";
}

std::string make_usage_event(std::uint64_t prompt_tokens, std::uint64_t completion_tokens,
                             std::uint64_t cached_prompt_tokens)
{
    json::object usage{{"prompt_tokens", prompt_tokens},
                       {"completion_tokens", completion_tokens},
                       {"total_tokens", prompt_tokens + completion_tokens},
                       {"prompt_tokens_details", json::object{{"cached_tokens", cached_prompt_tokens}}}};
    return "data: " +
           json::serialize(json::object{{"id", "chatcmpl-1"},
                                        {"object", "chat.completion.chunk"},
                                        {"created", 1},
                                        {"model", "m"},
                                        {"choices", json::array{}},
                                        {"usage", usage}}) +
           "\n\n";
}

asio::awaitable<void> handle_chat(upstream_state& state, http::request& request, fake_responder& responder)
{
    const json::value body = json::parse(request.body);
    const json::array& messages = body.at("messages").as_array();
    const json::value* content = messages.back().as_object().if_contains("content");
    const std::string text =
        content != nullptr && content->is_string() ? std::string(content->as_string()) : "";
    write_log(state, "start", request, text);
    choose_end(state, text, responder);
    if (has_marker(text, "crash")) {
        std::_Exit(9);
    }
    if (has_marker(text, "hang")) {
        co_await wait_for_disconnect(responder);
        co_return;
    }
    if (has_status_marker(text)) {
        co_await responder.send(make_marked_response(text));
        co_return;
    }
    if (has_marker(text, "fail")) {
        co_await responder.send(make_json(500, R"({"error":{"message":"asked to fail"}})"));
        co_return;
    }
    const std::string program =
        request.header("x-guavawick-organisation") + "/" + request.header("x-guavawick-program");
    const std::uint64_t prompt_tokens = request.body.size() / bytes_per_token + 1;
    const std::uint64_t token_count =
        read_marker(text, "slow", static_cast<std::uint64_t>(absl::GetFlag(FLAGS_answer_tokens)));
    double first_token_seconds = 0;
    std::uint64_t cached_prompt_tokens = 0;
    {
        const std::lock_guard lock(state.mutex);
        cached_prompt_tokens = std::min(prompt_tokens, cached_tokens(state.engine, program));
        first_token_seconds = start_call(state.engine, program, prompt_tokens);
        ++state.run_count;
    }
    co_await runtime::wait_for(from_seconds(first_token_seconds));
    http::response head;
    head.content_type = "text/event-stream";
    co_await responder.start_stream(std::move(head));
    const std::string first_chunk = make_chunk_event(
        json::object{{"role", "assistant"},
                     {"content", "seen=" + std::to_string(messages.size()) + " last=" + text + " "}},
        nullptr);
    co_await responder.write(first_chunk);
    std::uint64_t sent_tokens = 1;
    while (sent_tokens < token_count && !responder.caller_left()) {
        double token_interval = 0;
        {
            const std::lock_guard lock(state.mutex);
            token_interval = token_seconds(state.engine);
        }
        co_await runtime::wait_for(from_seconds(token_interval));
        const bool breaks_off = has_marker(text, "cut") || has_marker(text, "reset");
        if (breaks_off && sent_tokens > token_count / 2) {
            break;
        }
        const std::string chunk =
            make_chunk_event(json::object{{"content", "w" + std::to_string(sent_tokens) + " "}}, nullptr);
        co_await responder.write(chunk);
        ++sent_tokens;
    }
    {
        const std::lock_guard lock(state.mutex);
        end_call(state.engine, program, prompt_tokens + sent_tokens);
    }
    if (sent_tokens < token_count) {
        write_log(state, "broken", request, text);
        if (has_marker(text, "reset")) {
            responder.reset();
            co_return;
        }
        if (responder.end() == body_end::connection) {
            // At the end of an event nothing would tell the response from a complete one.
            std::string part = "data: {";
            co_await responder.write(std::move(part));
        }
        responder.abort();
        co_return;
    }
    co_await responder.write(make_chunk_event(json::object{}, "stop"));
    co_await responder.write(make_usage_event(prompt_tokens, sent_tokens, cached_prompt_tokens));
    co_await responder.write("data: [DONE]\n\n");
    co_await responder.finish();
    write_log(state, "end", request, text);
}

asio::awaitable<void> handle_service_call(upstream_state& state, http::request& request,
                                          fake_responder& responder)
{
    write_log(state, "start", request, request.body);
    choose_end(state, request.body, responder);
    if (has_marker(request.body, "crash")) {
        std::_Exit(9);
    }
    if (has_marker(request.body, "hang")) {
        co_await wait_for_disconnect(responder);
        co_return;
    }
    if (has_status_marker(request.body)) {
        co_await responder.send(make_marked_response(request.body));
        co_return;
    }
    co_await runtime::wait_for(std::chrono::milliseconds(read_marker(request.body, "slow", 1)));
    std::uint64_t run_number = 0;
    {
        const std::lock_guard lock(state.mutex);
        run_number = ++state.run_count;
    }
    write_log(state, "end", request, request.body);
    const std::string response_body =
        json::serialize(json::object{{"filed", run_number}, {"text", request.body}});
    co_await responder.send(make_json(200, response_body));
}

asio::awaitable<void> handle_order(upstream_state& state, http::request& request, fake_responder& responder)
{
    const json::value body = json::parse(request.body);
    const auto fencing_number = static_cast<std::uint64_t>(body.at("fencing").to_number<std::int64_t>());
    bool is_stale = false;
    {
        const std::lock_guard lock(state.mutex);
        is_stale = fencing_number < state.max_fencing_number && absl::GetFlag(FLAGS_honour_fencing);
        state.max_fencing_number = std::max(state.max_fencing_number, fencing_number);
    }
    write_log(state, is_stale ? "order_refused" : "order", request, request.body);
    co_await responder.send(make_json(is_stale ? 409 : 200, "{}"));
}

std::string format_load(upstream_state& state)
{
    const std::lock_guard lock(state.mutex);
    const engine_model& engine = state.engine;
    return json::serialize(json::object{{"slots", engine.options.slots},
                                        {"running", engine.running},
                                        {"held_tokens", engine.total_cached_tokens},
                                        {"programs", engine.cached.size()}});
}

void free_cache(upstream_state& state, const json::object& request)
{
    const std::lock_guard lock(state.mutex);
    if (!request.contains("all")) {
        evict_program(state.engine, std::string(request.at("organisation").as_string()) + "/" +
                                        std::string(request.at("program").as_string()));
        return;
    }
    state.engine.cached.clear();
    state.engine.lru_order.clear();
    state.engine.total_cached_tokens = 0;
}

asio::awaitable<void> handle_request(upstream_state& state, http::request& request, fake_responder& responder)
{
    const bool is_model = absl::GetFlag(FLAGS_kind) == "model";
    if (request.target == "/load" && is_model) {
        const std::string load = format_load(state);
        co_await responder.send(make_json(200, load));
        co_return;
    }
    if (request.target == "/load") {
        co_await responder.send(make_json(200, "{}"));
        co_return;
    }
    if (request.target == "/v1/free") {
        write_log(state, "free", request, request.body);
        free_cache(state, json::parse(request.body).as_object());
        co_await responder.send(make_json(200, "{}"));
        co_return;
    }
    if (request.target == "/v1/orders") {
        co_await handle_order(state, request, responder);
        co_return;
    }
    if (is_model) {
        co_await handle_chat(state, request, responder);
        co_return;
    }
    co_await handle_service_call(state, request, responder);
}

int run()
{
    runtime::block_signals();
    configure_logging("", severity::warning);
    upstream_state state;
    state.engine.options.slots = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_slots));
    state.engine.options.seconds_per_token = absl::GetFlag(FLAGS_seconds_per_token);
    state.engine.options.prefill_tokens_per_second = absl::GetFlag(FLAGS_prefill_tokens_per_second);
    state.engine.options.cold_seconds = absl::GetFlag(FLAGS_cold_seconds);
    state.engine.options.cold_answers = static_cast<std::uint32_t>(absl::GetFlag(FLAGS_cold_answers));
    const std::string log_path = absl::GetFlag(FLAGS_run_log);
    state.log.open(log_path.empty() ? "/dev/null" : log_path, std::ios::app);
    state.random.seed(absl::GetFlag(FLAGS_seed));
    runtime::worker_pool pool(2);
    start_fake_server(pool.executor(), absl::GetFlag(FLAGS_listen),
                      [&state](http::request& request, fake_responder& responder) {
                          return handle_request(state, request, responder);
                      });
    runtime::wait_for_stop_signal();
    pool.stop();
    return 0;
}

} // namespace
} // namespace guavawick::fakes

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    return guavawick::fakes::run();
}
