// Typed refusals as `application/problem+json`.
#pragma once

#include "base/failure_type.hpp"
#include "http/http_type.hpp"

#include <string>

namespace guavawick::caller {

/// @return the answer that tells a caller of a refusal.
http::response make_problem(const refusal_error& refused, const std::string& request_id);
/// @return the JSON body of a refusal, for the end of a stream that already began.
std::string problem_body(const refusal_error& refused, const std::string& request_id);

} // namespace guavawick::caller
