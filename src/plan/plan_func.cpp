// Checks and look-ups of service plans.
#include "plan/plan_func.hpp"

#include "base/hash_func.hpp"

#include <algorithm>
#include <numeric>
#include <set>

namespace guavawick::plan {
namespace {

double total_weight(const route& one)
{
    return std::accumulate(one.services.begin(), one.services.end(), 0.0,
                           [](double sum, const weighted_service& part) { return sum + part.weight; });
}

void check_route(const service_plan& plan, const route& one, std::vector<plan_fault>& faults)
{
    const std::string object = "route " + one.name.value;
    if (one.timeout <= duration{}) {
        faults.push_back({object, "the timeout must be above 0"});
    }
    if (one.services.empty() || total_weight(one) <= 0) {
        faults.push_back({object, "the weights of its services add up to 0"});
    }
    for (const weighted_service& part : one.services) {
        if (!plan.services.contains(part.service)) {
            faults.push_back({object, "service " + part.service.value + " does not exist"});
        }
        if (part.weight < 0) {
            faults.push_back({object, "a weight is negative"});
        }
    }
    const bool framed =
        !one.path_prefix.empty() && one.path_prefix.front() == '/' && one.path_prefix.back() == '/';
    if (!framed) {
        faults.push_back({object, "the path prefix must begin and end with a slash"});
    }
}

} // namespace

std::vector<plan_fault> check_plan(const service_plan& plan)
{
    std::vector<plan_fault> faults;
    std::set<std::pair<std::string, std::string>> places;
    for (const route& one : plan.routes) {
        check_route(plan, one, faults);
        if (!places.insert({one.host, one.path_prefix}).second) {
            faults.push_back({"route " + one.name.value, "another route has the same host and path prefix"});
        }
    }
    std::map<std::string, organisation_name> holders;
    for (const organisation& one : plan.organisations) {
        for (const std::string& key : one.key_hashes) {
            const auto [held, fresh] = holders.emplace(key, one.name);
            if (!fresh && held->second != one.name) {
                faults.push_back({"organisation " + one.name.value,
                                  "shares a key with organisation " + held->second.value});
            }
        }
    }
    return faults;
}

indexed_plan index_plan(service_plan plan)
{
    indexed_plan made;
    made.plan = std::move(plan);
    for (std::size_t i = 0; i < made.plan.routes.size(); ++i) {
        made.routes_by_host[made.plan.routes[i].host].push_back(i);
    }
    for (auto& [host, places] : made.routes_by_host) {
        std::stable_sort(places.begin(), places.end(), [&made](std::size_t left, std::size_t right) {
            return made.plan.routes[left].path_prefix.size() > made.plan.routes[right].path_prefix.size();
        });
    }
    for (std::size_t i = 0; i < made.plan.organisations.size(); ++i) {
        for (const std::string& key : made.plan.organisations[i].key_hashes) {
            made.organisation_by_key[key] = i;
        }
    }
    return made;
}

const route* find_route(const indexed_plan& plan, const std::string& host, const std::string& path)
{
    const auto found = plan.routes_by_host.find(host);
    if (found == plan.routes_by_host.end()) {
        return nullptr;
    }
    for (const std::size_t place : found->second) {
        const route& one = plan.plan.routes[place];
        if (path.compare(0, one.path_prefix.size(), one.path_prefix) == 0) {
            return &one;
        }
    }
    return nullptr;
}

const organisation* find_organisation(const indexed_plan& plan, const std::string& key)
{
    const auto found = plan.organisation_by_key.find(sha256_hex(key));
    return found == plan.organisation_by_key.end() ? nullptr : &plan.plan.organisations[found->second];
}

const weighted_service& pick_service(const route& from, std::uint64_t draw)
{
    constexpr double range = 18446744073709551616.0; // 2^64
    double left = static_cast<double>(draw) / range * total_weight(from);
    for (const weighted_service& part : from.services) {
        left -= part.weight;
        if (left < 0) {
            return part;
        }
    }
    return from.services.back();
}

} // namespace guavawick::plan
