// JSON forms of the operators' API.
#pragma once

#include <boost/json/fwd.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <string>

namespace guavawick::wire {
class apply_request;
class apply_reply;
class get_reply;
class audit_reply;
class status_reply;
} // namespace guavawick::wire

namespace guavawick::operators {

/// Reads the body of a publication. @throw refusal_error with what is wrong.
void decode_apply_request(const std::string& body, wire::apply_request* into);
/// @return a text member of a JSON object. @throw refusal_error if it is missing.
std::string read_string_member(const std::string& body, const char* name);
/// @return a number member of a JSON object. @throw refusal_error if it is missing.
std::uint64_t read_number_member(const std::string& body, const char* name);
/// @return the JSON form of an answer.
boost::json::value to_json(const wire::apply_reply& from);
boost::json::value to_json(const wire::get_reply& from);
boost::json::value to_json(const wire::audit_reply& from);
boost::json::value to_json(const wire::status_reply& from);

} // namespace guavawick::operators
