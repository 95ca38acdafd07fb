// What a gateway knows of the control group's members.
#include "gateway/control_roster.hpp"

#include "wire.pb.h"

namespace guavawick::gateway {
namespace {

using namespace std::chrono_literals;

constexpr duration report_timeout = 3s; ///< 6 times a gateway's subscription interval

} // namespace

void record_report(control_roster& roster, const wire::control_hello& hello, time_point now)
{
    if (!hello.unchanged()) {
        roster.reports[hello.sender()] = {{hello.control().begin(), hello.control().end()}, now};
        return;
    }
    const auto found = roster.reports.find(hello.sender());
    if (found != roster.reports.end()) {
        found->second.reported_at = now;
    }
}

std::set<std::string> list_members(const control_roster& roster, time_point now)
{
    std::size_t report_count = 0;
    std::map<std::string, std::size_t> counts;
    for (const auto& [sender, report] : roster.reports) {
        if (report.members.empty() || now - report.reported_at > report_timeout) {
            continue;
        }
        ++report_count;
        for (const std::string& endpoint : report.members) {
            ++counts[endpoint];
        }
    }
    std::set<std::string> members;
    for (const auto& [endpoint, count] : counts) {
        if (count * 2 >= report_count) {
            members.insert(endpoint);
        }
    }
    return members;
}

} // namespace guavawick::gateway
