// Prints replies of the operators' API as tables on standard output.
#pragma once

#include "configuration/configuration_type.hpp"

#include <boost/json/object.hpp>

namespace guavawick::operators {

/// Prints a configuration set in the format of a configuration file.
void print_configuration(const configuration::object_set& objects);
/// Prints the audit records of an audit reply.
void print_audit(const boost::json::object& reply);
/// Prints the replicas, groups, upstreams and processes of a status reply.
void print_status(const boost::json::object& reply);

} // namespace guavawick::operators
