// Stand-in upstream on loopback: a model engine or a plain service, with a run log from which tests prove
// what ran.
//
// Markers in the request's text steer it: [crash] ends the process, [hang] never answers, [slow:N] answers N
// tokens or, for a service, after N milliseconds, [cut] closes the stream before its end, [fail] answers 500.
#include "base/event_type.hpp"
#include "base/hash_func.hpp"
#include "fakes/engine_model.hpp"
#include "http/http_type.hpp"
#include "runtime/worker_pool.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/json.hpp>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <mutex>

ABSL_FLAG(std::string, listen, "127.0.0.1:9000", "address of the stand-in");
ABSL_FLAG(std::string, kind, "model", "model or service");
ABSL_FLAG(std::string, run_log, "", "file to which every request is appended");
ABSL_FLAG(int32_t, slots, 8, "calls in one batch");
ABSL_FLAG(double, seconds_per_token, 0.002, "of one call alone");
ABSL_FLAG(double, prefill_tokens_per_second, 50000, "prefill speed");
ABSL_FLAG(int32_t, answer_tokens, 12, "tokens of an answer without a marker");
ABSL_FLAG(double, cold_seconds, 0, "extra delay of the first answers");
ABSL_FLAG(int32_t, cold_answers, 0, "how many answers are slow after a start");
ABSL_FLAG(bool, honour_fencing, true, "refuse orders with an old fencing number");

namespace guavawick::fakes {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr std::uint64_t bytes_per_token = 4;

/// The stand-in's state. `mutex` guards the rest.
struct upstream_state {
    std::mutex mutex;
    engine_model engine;
    std::ofstream log;
    std::uint64_t runs = 0;
    std::uint64_t fencing = 0;
};

void write_log(upstream_state& state, const char* what, const http::request& received,
               const std::string& text)
{
    json::object headers;
    for (const auto& [name, value] : received.headers) {
        headers[name] = value;
    }
    const std::lock_guard lock(state.mutex);
    state.log << json::serialize(json::object{{"what", what},
                                              {"at_ms", to_ms(runtime_clock::now().time_since_epoch())},
                                              {"target", received.target},
                                              {"text", text},
                                              {"headers", headers},
                                              {"body", received.body}})
              << std::endl;
}

std::uint64_t read_marker(const std::string& text, const std::string& name, std::uint64_t otherwise)
{
    const std::size_t at = text.rfind("[" + name + ":");
    return at == std::string::npos ? otherwise
                                   : std::strtoull(text.c_str() + at + name.size() + 2, nullptr, 10);
}

bool has_marker(const std::string& text, const char* name)
{
    return text.find(std::string("[") + name + "]") != std::string::npos;
}

http::response make_json(int status, std::string body)
{
    http::response answer;
    answer.status = status;
    answer.body = std::move(body);
    return answer;
}

asio::awaitable<void> hang(http::responder& out)
{
    while (!out.caller_left()) {
        co_await runtime::wait_for(std::chrono::milliseconds(50));
    }
}

std::string make_event(const json::value& delta, const char* finish)
{
    json::object choice{{"index", 0},
                        {"delta", delta},
                        {"finish_reason", finish == nullptr ? json::value(nullptr) : json::value(finish)}};
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

std::string make_usage(std::uint64_t prompt, std::uint64_t completion, std::uint64_t cached)
{
    json::object usage{{"prompt_tokens", prompt},
                       {"completion_tokens", completion},
                       {"total_tokens", prompt + completion},
                       {"prompt_tokens_details", json::object{{"cached_tokens", cached}}}};
    return "data: " +
           json::serialize(json::object{{"id", "chatcmpl-1"},
                                        {"object", "chat.completion.chunk"},
                                        {"created", 1},
                                        {"model", "m"},
                                        {"choices", json::array{}},
                                        {"usage", usage}}) +
           "\n\n";
}

asio::awaitable<void> serve_chat(upstream_state& state, http::request& received, http::responder& out)
{
    const json::value body = json::parse(received.body);
    const json::array& messages = body.at("messages").as_array();
    const json::value* content = messages.back().as_object().if_contains("content");
    const std::string text =
        content != nullptr && content->is_string() ? std::string(content->as_string()) : "";
    write_log(state, "start", received, text);
    if (has_marker(text, "crash")) {
        std::_Exit(9);
    }
    if (has_marker(text, "hang")) {
        co_await hang(out);
        co_return;
    }
    if (has_marker(text, "fail")) {
        co_await out.send(make_json(500, R"({"error":{"message":"asked to fail"}})"));
        co_return;
    }
    const std::string program =
        received.header("x-guavawick-organisation") + "/" + received.header("x-guavawick-program");
    const std::uint64_t prompt = received.body.size() / bytes_per_token + 1;
    const std::uint64_t tokens =
        read_marker(text, "slow", static_cast<std::uint64_t>(absl::GetFlag(FLAGS_answer_tokens)));
    double first = 0;
    std::uint64_t cached = 0;
    {
        const std::lock_guard lock(state.mutex);
        cached = std::min(prompt, cached_tokens(state.engine, program));
        first = start_call(state.engine, program, prompt);
        ++state.runs;
    }
    co_await runtime::wait_for(from_seconds(first));
    http::response head;
    head.content_type = "text/event-stream";
    co_await out.start_stream(std::move(head));
    const std::string opening = make_event(
        json::object{{"role", "assistant"},
                     {"content", "seen=" + std::to_string(messages.size()) + " last=" + text + " "}},
        nullptr);
    co_await out.write(opening);
    std::uint64_t sent = 1;
    while (sent < tokens && !out.caller_left()) {
        double step = 0;
        {
            const std::lock_guard lock(state.mutex);
            step = token_seconds(state.engine);
        }
        co_await runtime::wait_for(from_seconds(step));
        if (has_marker(text, "cut") && sent > tokens / 2) {
            break;
        }
        const std::string word =
            make_event(json::object{{"content", "w" + std::to_string(sent) + " "}}, nullptr);
        co_await out.write(word);
        ++sent;
    }
    {
        const std::lock_guard lock(state.mutex);
        end_call(state.engine, program, prompt + sent);
    }
    if (sent < tokens) {
        write_log(state, "broken", received, text);
        out.abort();
        co_return;
    }
    co_await out.write(make_event(json::object{}, "stop"));
    co_await out.write(make_usage(prompt, sent, cached));
    co_await out.write("data: [DONE]\n\n");
    co_await out.finish();
    write_log(state, "end", received, text);
}

asio::awaitable<void> serve_service(upstream_state& state, http::request& received, http::responder& out)
{
    write_log(state, "start", received, received.body);
    if (has_marker(received.body, "crash")) {
        std::_Exit(9);
    }
    if (has_marker(received.body, "hang")) {
        co_await hang(out);
        co_return;
    }
    co_await runtime::wait_for(std::chrono::milliseconds(read_marker(received.body, "slow", 1)));
    std::uint64_t number = 0;
    {
        const std::lock_guard lock(state.mutex);
        number = ++state.runs;
    }
    write_log(state, "end", received, received.body);
    const std::string answer = json::serialize(json::object{{"filed", number}, {"text", received.body}});
    co_await out.send(make_json(200, answer));
}

asio::awaitable<void> serve_order(upstream_state& state, http::request& received, http::responder& out)
{
    const json::value body = json::parse(received.body);
    const auto number = static_cast<std::uint64_t>(body.at("fencing").to_number<std::int64_t>());
    bool old = false;
    {
        const std::lock_guard lock(state.mutex);
        old = number < state.fencing && absl::GetFlag(FLAGS_honour_fencing);
        state.fencing = std::max(state.fencing, number);
    }
    write_log(state, old ? "order_refused" : "order", received, received.body);
    co_await out.send(make_json(old ? 409 : 200, "{}"));
}

std::string describe_load(upstream_state& state)
{
    const std::lock_guard lock(state.mutex);
    const engine_model& engine = state.engine;
    return json::serialize(json::object{{"slots", engine.options.slots},
                                        {"running", engine.running},
                                        {"held_tokens", engine.held},
                                        {"programs", engine.cached.size()}});
}

void free_memory(upstream_state& state, const json::object& wish)
{
    const std::lock_guard lock(state.mutex);
    if (!wish.contains("all")) {
        free_program(state.engine, std::string(wish.at("organisation").as_string()) + "/" +
                                       std::string(wish.at("program").as_string()));
        return;
    }
    state.engine.cached.clear();
    state.engine.age.clear();
    state.engine.held = 0;
}

asio::awaitable<void> serve(upstream_state& state, http::request& received, http::responder& out)
{
    const bool model = absl::GetFlag(FLAGS_kind) == "model";
    if (received.target == "/load" && model) {
        const std::string report = describe_load(state);
        co_await out.send(make_json(200, report));
        co_return;
    }
    if (received.target == "/load") {
        co_await out.send(make_json(200, "{}"));
        co_return;
    }
    if (received.target == "/v1/free") {
        write_log(state, "free", received, received.body);
        free_memory(state, json::parse(received.body).as_object());
        co_await out.send(make_json(200, "{}"));
        co_return;
    }
    if (received.target == "/v1/orders") {
        co_await serve_order(state, received, out);
        co_return;
    }
    if (model) {
        co_await serve_chat(state, received, out);
        co_return;
    }
    co_await serve_service(state, received, out);
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
    const std::string path = absl::GetFlag(FLAGS_run_log);
    state.log.open(path.empty() ? "/dev/null" : path, std::ios::app);
    runtime::worker_pool pool(2);
    http::server server(
        pool.executor(), absl::GetFlag(FLAGS_listen), {},
        [&state](http::request& received, http::responder& out) { return serve(state, received, out); });
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
