// Tables for people, from the operators' API.
#pragma once

#include "configuration/configuration_type.hpp"

#include <boost/json/object.hpp>

namespace guavawick::operators {

/// Prints a set as a set file.
void print_configuration(const configuration::object_set& objects);
/// Prints the audit trail.
void print_audit(const boost::json::object& answer);
/// Prints groups, upstreams and processes.
void print_status(const boost::json::object& answer);

} // namespace guavawick::operators
