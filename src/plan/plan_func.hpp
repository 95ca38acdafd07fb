// Checks and look-ups of service plans. Pure.
#pragma once

#include "plan/plan_type.hpp"

namespace guavawick::plan {

/// @return everything that is wrong with a plan; empty if it may be published.
std::vector<plan_fault> check_plan(const service_plan& plan);
/// Makes the look-up tables. @pre check_plan() found nothing.
indexed_plan index_plan(service_plan plan);
/// @return the route of a host with the longest prefix of the path, or nullptr.
const route* find_route(const indexed_plan& plan, const std::string& host, const std::string& path);
/// @return the organisation that holds a key, or nullptr.
const organisation* find_organisation(const indexed_plan& plan, const std::string& key);
/// Picks one of a route's services by weight. @param draw any number; equal numbers give equal services.
const weighted_service& pick_service(const route& from, std::uint64_t draw);

} // namespace guavawick::plan
