// Responses for refusals, as `application/problem+json`.
#include "caller/problem.hpp"

#include "base/text_func.hpp"

#include <boost/json.hpp>

namespace guavawick::caller {

std::string problem_body(const refusal_error& refusal, const std::string& request_id)
{
    const failure_row& row = find_failure(refusal.kind);
    boost::json::object body{{"type", std::string("urn:guavawick:failure:") + row.name},
                             {"title", row.meaning},
                             {"status", row.status},
                             {"detail", escape_invalid_utf8(refusal.what())},
                             {"ran", to_string(refusal.ran)}};
    if (!request_id.empty()) {
        body["request_id"] = escape_invalid_utf8(request_id);
    }
    return boost::json::serialize(body);
}

http::response make_problem(const refusal_error& refusal, const std::string& request_id)
{
    constexpr std::uint32_t ms_per_second = 1000;
    http::response response;
    response.status = find_failure(refusal.kind).status;
    response.content_type = "application/problem+json";
    response.body = problem_body(refusal, request_id);
    if (refusal.retry_after_ms != 0) {
        response.headers["Retry-After"] =
            std::to_string((refusal.retry_after_ms + ms_per_second - 1) / ms_per_second);
    }
    if (!request_id.empty()) {
        response.headers["X-Request-Id"] = request_id;
    }
    return response;
}

} // namespace guavawick::caller
