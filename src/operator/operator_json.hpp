// JSON requests and replies of the operators' API.
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

/// Decodes the body of a publication. @throw refusal_error of kind bad_request that names the invalid member.
void decode_apply_request(const std::string& body, wire::apply_request* into);
/// @return a string member of a JSON object. @throw refusal_error of kind bad_request if it is missing or has
/// another type.
std::string read_string_member(const std::string& body, const char* name);
/// @return an unsigned integer member of a JSON object. @throw refusal_error of kind bad_request if it is
/// missing or has another type.
std::uint64_t read_number_member(const std::string& body, const char* name);
/// @return a reply as JSON.
boost::json::value to_json(const wire::apply_reply& from);
boost::json::value to_json(const wire::get_reply& from);
boost::json::value to_json(const wire::audit_reply& from);
boost::json::value to_json(const wire::status_reply& from);

} // namespace guavawick::operators
