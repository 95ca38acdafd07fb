// Tests of chat completion requests and responses in OpenAI's format.
#include "base/failure_type.hpp"
#include "caller/chat.hpp"
#include "caller/problem.hpp"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

using namespace caller;

BOOST_AUTO_TEST_SUITE(chat_test)

BOOST_AUTO_TEST_CASE(invalid_requests_are_refused_as_bad_request)
{
    for (const char* body :
         {"", "{", "[]", "{}", R"({"model":"m"})", R"({"model":"m","messages":[]})",
          R"({"model":"m","messages":[{"content":"x"}]})", R"({"model":7,"messages":[{"role":"user"}]})",
          R"({"model":"m","messages":[{"role":"user"}],"max_tokens":-1})",
          R"({"model":"m","messages":[{"role":"user"}],"stream":"yes"})",
          R"({"model":"m","messages":[{"role":"user"}],"n":2})"}) {
        BOOST_CHECK_EXCEPTION(parse_chat_request(body), refusal_error, [](const refusal_error& error) {
            return error.kind == failure::bad_request && error.ran == ran_state::no;
        });
    }
}

BOOST_AUTO_TEST_CASE(upstream_body_has_history_before_the_new_messages_and_keeps_other_fields)
{
    const chat_request request =
        parse_chat_request(R"({"model":"m","temperature":0.5,"messages":[{"role":"user","content":"new"}]})");
    const auto body =
        boost::json::parse(build_upstream_body(request, {R"({"role":"user","content":"old"})"})).as_object();
    BOOST_TEST(body.at("messages").as_array().size() == 2U);
    BOOST_TEST(body.at("messages").at(0).at("content").as_string() == "old");
    BOOST_TEST(body.at("temperature").as_double() == 0.5);
    BOOST_TEST(body.at("stream").as_bool());
}

BOOST_AUTO_TEST_CASE(events_split_at_any_byte_give_the_same_payloads)
{
    const std::string stream = "data: {\"a\":1}\r\n\r\n: comment\n\ndata:{\"b\":2}\n\ndata: [DONE]\n\n";
    for (std::size_t split = 0; split <= stream.size(); ++split) {
        event_splitter splitter;
        std::vector<std::string> payloads = splitter.feed(stream.substr(0, split));
        for (const std::string& payload : splitter.feed(stream.substr(split))) {
            payloads.push_back(payload);
        }
        BOOST_REQUIRE(payloads.size() == 2U);
        BOOST_TEST(payloads[1] == "{\"b\":2}");
        BOOST_TEST(splitter.done());
    }
}

BOOST_AUTO_TEST_CASE(completion_is_assembled_from_text_tool_calls_and_usage)
{
    completion_builder builder;
    builder.feed(
        R"({"id":"x","model":"m","created":3,"choices":[{"index":0,"delta":{"role":"assistant","content":"Hel"}}]})");
    builder.feed(
        R"({"choices":[{"index":0,"delta":{"content":"lo","tool_calls":[{"index":0,"id":"c1","function":{"name":"f","arguments":"{\"a\""}}]}}]})");
    builder.feed(
        R"({"choices":[{"index":0,"delta":{"tool_calls":[{"index":0,"function":{"arguments":":1}"}}]},"finish_reason":"tool_calls"}]})");
    builder.feed(
        R"({"choices":[],"usage":{"prompt_tokens":5,"completion_tokens":2,"prompt_tokens_details":{"cached_tokens":4}}})");
    const auto body = boost::json::parse(builder.body()).as_object();
    const auto& message = body.at("choices").at(0).at("message").as_object();
    BOOST_TEST(message.at("content").as_string() == "Hello");
    BOOST_TEST(message.at("tool_calls").at(0).at("function").at("arguments").as_string() == "{\"a\":1}");
    BOOST_TEST(body.at("choices").at(0).at("finish_reason").as_string() == "tool_calls");
    BOOST_TEST(builder.prompt_tokens() == 5U);
    BOOST_TEST(builder.cached_tokens() == 4U);
}

BOOST_AUTO_TEST_CASE(refusal_becomes_a_problem_with_its_type_and_whether_it_ran)
{
    const http::response response =
        make_problem(refusal_error(failure::rate_exceeded, "too many", 1500U), "req-1");
    BOOST_TEST(response.status == 429);
    BOOST_TEST(response.headers.at("Retry-After") == "2");
    BOOST_TEST(response.headers.at("X-Request-Id") == "req-1");
    const auto body = boost::json::parse(response.body).as_object();
    BOOST_TEST(body.at("type").as_string() == "urn:guavawick:failure:rate_exceeded");
    BOOST_TEST(body.at("ran").as_string() == "no");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
