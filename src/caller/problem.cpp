// Typed refusals as `application/problem+json`.
#include "caller/problem.hpp"

#include <boost/json.hpp>

namespace guavawick::caller {

std::string problem_body(const refusal_error& refused, const std::string& request_id)
{
    const failure_row& row = find_failure(refused.kind);
    boost::json::object body{{"type", std::string("urn:guavawick:failure:") + row.name},
                             {"title", row.meaning},
                             {"status", row.status},
                             {"detail", refused.what()},
                             {"ran", to_string(refused.ran)}};
    if (!request_id.empty()) {
        body["request_id"] = request_id;
    }
    return boost::json::serialize(body);
}

http::response make_problem(const refusal_error& refused, const std::string& request_id)
{
    constexpr std::uint32_t ms_per_second = 1000;
    http::response answer;
    answer.status = find_failure(refused.kind).status;
    answer.content_type = "application/problem+json";
    answer.body = problem_body(refused, request_id);
    if (refused.retry_after_ms != 0) {
        answer.headers["Retry-After"] =
            std::to_string((refused.retry_after_ms + ms_per_second - 1) / ms_per_second);
    }
    if (!request_id.empty()) {
        answer.headers["X-Request-Id"] = request_id;
    }
    return answer;
}

} // namespace guavawick::caller
