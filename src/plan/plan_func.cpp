// Validation and lookup of service plans.
#include "plan/plan_func.hpp"

#include "base/hash_func.hpp"

#include <algorithm>
#include <numeric>
#include <set>

namespace guavawick::plan {
namespace {

double total_weight(const route& split_route)
{
    return std::accumulate(
        split_route.services.begin(), split_route.services.end(), 0.0,
        [](double sum, const weighted_service& weighted) { return sum + weighted.weight; });
}

void check_route(const service_plan& plan, const route& checked_route, std::vector<plan_fault>& faults)
{
    const std::string object = "route " + checked_route.name.value;
    if (checked_route.timeout <= duration{}) {
        faults.push_back({object, "the timeout must be above 0"});
    }
    if (checked_route.services.empty() || total_weight(checked_route) <= 0) {
        faults.push_back({object, "the weights of its services add up to 0"});
    }
    for (const weighted_service& weighted : checked_route.services) {
        if (!plan.services.contains(weighted.service)) {
            faults.push_back({object, "service " + weighted.service.value + " does not exist"});
        }
        if (weighted.weight < 0) {
            faults.push_back({object, "a weight is negative"});
        }
    }
    const bool has_slashes = !checked_route.path_prefix.empty() && checked_route.path_prefix.front() == '/' &&
                             checked_route.path_prefix.back() == '/';
    if (!has_slashes) {
        faults.push_back({object, "the path prefix must begin and end with a slash"});
    }
}

} // namespace

std::vector<plan_fault> check_plan(const service_plan& plan)
{
    std::vector<plan_fault> faults;
    std::set<std::pair<std::string, std::string>> prefixes;
    for (const route& checked_route : plan.routes) {
        check_route(plan, checked_route, faults);
        if (!prefixes.insert({checked_route.host, checked_route.path_prefix}).second) {
            faults.push_back(
                {"route " + checked_route.name.value, "another route has the same host and path prefix"});
        }
    }
    std::map<std::string, const organisation*> key_owners;
    for (const organisation& key_holder : plan.organisations) {
        for (const std::string& key : key_holder.key_hashes) {
            const auto [owner, inserted] = key_owners.emplace(key, &key_holder);
            if (!inserted && owner->second != &key_holder) {
                faults.push_back({"organisation " + key_holder.name.value,
                                  "shares a key with organisation " + owner->second->name.value});
            }
        }
    }
    return faults;
}

indexed_plan index_plan(service_plan plan)
{
    indexed_plan result;
    result.plan = std::move(plan);
    for (std::size_t i = 0; i < result.plan.routes.size(); ++i) {
        result.routes_by_host[result.plan.routes[i].host].push_back(i);
    }
    for (auto& [host, indices] : result.routes_by_host) {
        std::stable_sort(indices.begin(), indices.end(), [&result](std::size_t left, std::size_t right) {
            return result.plan.routes[left].path_prefix.size() > result.plan.routes[right].path_prefix.size();
        });
    }
    for (std::size_t i = 0; i < result.plan.organisations.size(); ++i) {
        for (const std::string& key : result.plan.organisations[i].key_hashes) {
            result.organisation_by_key[key] = i;
        }
    }
    return result;
}

const route* find_route(const indexed_plan& plan, const std::string& host, const std::string& path)
{
    const auto found = plan.routes_by_host.find(host);
    if (found == plan.routes_by_host.end()) {
        return nullptr;
    }
    for (const std::size_t index : found->second) {
        const route& candidate = plan.plan.routes[index];
        if (path.compare(0, candidate.path_prefix.size(), candidate.path_prefix) == 0) {
            return &candidate;
        }
    }
    return nullptr;
}

const organisation* find_organisation(const indexed_plan& plan, const std::string& key)
{
    const auto found = plan.organisation_by_key.find(sha256_hex(key));
    return found == plan.organisation_by_key.end() ? nullptr : &plan.plan.organisations[found->second];
}

bool may_serve(const route& split_route, const service_name& service)
{
    return std::any_of(split_route.services.begin(), split_route.services.end(),
                       [&service](const weighted_service& weighted) {
                           return weighted.service == service && weighted.weight > 0;
                       });
}

const weighted_service& pick_service(const route& split_route, std::uint64_t random_value)
{
    constexpr double range = 18446744073709551616.0; // 2^64
    double remaining = static_cast<double>(random_value) / range * total_weight(split_route);
    const weighted_service* last = &split_route.services.back();
    for (const weighted_service& weighted : split_route.services) {
        last = weighted.weight > 0 ? &weighted : last;
        remaining -= weighted.weight;
        if (remaining < 0) {
            return weighted;
        }
    }
    return *last; // the highest random values are rounded up to the end of the range
}

} // namespace guavawick::plan
