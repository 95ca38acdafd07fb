// Validation and lookup of service plans. Pure functions.
#pragma once

#include "plan/plan_type.hpp"

namespace guavawick::plan {

/// Validates a plan. @return all faults; empty if the plan may be published.
std::vector<plan_fault> check_plan(const service_plan& plan);
/// Builds the lookup tables of a plan. @pre check_plan() returned no faults.
indexed_plan index_plan(service_plan plan);
/// @return the route of the host with the longest matching path prefix, or nullptr.
const route* find_route(const indexed_plan& plan, const std::string& host, const std::string& path);
/// @return the organisation that owns an API key, or nullptr.
const organisation* find_organisation(const indexed_plan& plan, const std::string& key);
/// @return whether a service has a share of a route's calls.
bool may_serve(const route& split_route, const service_name& service);
/// Picks one of a route's services by weight.
/// @param random_value uniformly distributed; equal values pick the same service.
const weighted_service& pick_service(const route& split_route, std::uint64_t random_value);

} // namespace guavawick::plan
