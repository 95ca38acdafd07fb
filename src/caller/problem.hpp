// Responses for refusals, as `application/problem+json`.
#pragma once

#include "base/failure_type.hpp"
#include "http/http_type.hpp"

#include <string>

namespace guavawick::caller {

/// @return the response for a refusal. @param request_id empty: not included.
http::response make_problem(const refusal_error& refusal, const std::string& request_id);
/// @return the JSON body for a refusal, also sent as the last event of a stream that has begun.
/// @param request_id empty: not included.
std::string problem_body(const refusal_error& refusal, const std::string& request_id);

} // namespace guavawick::caller
