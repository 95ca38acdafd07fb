// Metrics of the gateway process.
#include "gateway/gateway_process.hpp"

#include "core/group_metrics.hpp"
#include "gateway/call_run.hpp"

#include <map>

namespace guavawick::gateway {

void gateway_process::add_metrics()
{
    http::add_guard_metrics(metrics_, callers_->guard);
    core::add_link_metrics(metrics_, *link_);
    const auto add = [this](const char* name, const char* help, bool counter,
                            const std::atomic<std::uint64_t>& value) {
        metrics_.add({name, help, counter, [&value] { return static_cast<double>(value.load()); }, ""});
    };
    const gateway_counters& counters = state_->counters;
    add("guavawick_gateway_answered_total", "Calls that got an upstream's answer.", true, counters.answered);
    add("guavawick_gateway_refused_total", "Calls that were refused and did not run.", true,
        counters.refused);
    add("guavawick_gateway_failed_total", "Calls that got no whole answer.", true, counters.failed);
    add("guavawick_gateway_opened_total", "Calls that were admitted.", true, counters.opened);
    const std::map<call_end, const char*> ends{{call_end::answered, "answered"},
                                               {call_end::refused, "refused"},
                                               {call_end::failed, "failed"},
                                               {call_end::caller_left, "caller_left"}};
    for (const auto& [how, label] : ends) {
        const std::atomic<std::uint64_t>& value = counters.ended.at(static_cast<std::size_t>(how));
        metrics_.add({"guavawick_gateway_ended_total", "Admitted calls by how they ended.", true,
                      [&value] { return static_cast<double>(value.load()); }, label});
    }
    for (std::size_t cause = 0; cause < cut_cause_count; ++cause) {
        const std::atomic<std::uint64_t>& value = counters.cut.at(cause);
        metrics_.add({"guavawick_gateway_cut_total",
                      "Calls that were sent to an upstream and whose caller got no complete response.", true,
                      [&value] { return static_cast<double>(value.load()); },
                      label_of(static_cast<cut_cause>(cause))});
    }
    add("guavawick_gateway_retried_total", "Further attempts of calls.", true, counters.retried);
    add("guavawick_gateway_connects_total", "Connections opened to upstreams.", true, counters.connects);
    add("guavawick_gateway_crashes_total", "Calls that were running when their upstream crashed.", true,
        counters.crashes);
    add("guavawick_gateway_leaving_instances_total", "Upstream instances whose answers said that they leave.",
        true, counters.leaving_instances);
    add("guavawick_gateway_leaving_avoided_total", "Placements kept away from an instance that leaves.", true,
        counters.leaving_avoided);
    add("guavawick_gateway_rollout_exposed_total", "Attempts at the targets of running rollouts.", true,
        counters.rollout_exposed);
    add("guavawick_gateway_rollout_target_failures_total",
        "Failed attempts at the targets of running rollouts.", true, counters.rollout_target_failures);
    add("guavawick_gateway_rollout_leases_lost_total",
        "Leases of exposure that ended because control was silent.", true, counters.rollout_leases_lost);
    add("guavawick_gateway_starts_refused_total", "Programs refused because their service is overloaded.",
        true, counters.starts_refused);
    add("guavawick_gateway_starts_held_total", "Programs held before their first turn.", true,
        counters.starts_held);
    add("guavawick_gateway_start_hold_milliseconds_total", "Time for which programs were held.", true,
        counters.start_hold_ms);
    add("guavawick_gateway_starts_waiting", "Programs held at present.", false, counters.starts_waiting);
    add("guavawick_gateway_stretch_percent",
        "Duration of turns relative to the least one lately, of the service last asked for.", false,
        counters.stretch_percent);
    add("guavawick_gateway_plan_version", "Version of the plan in force.", false, counters.plan_version);
    add("guavawick_gateway_plan_delay_ms",
        "Time from the publication of the newest revision until it was in force here.", false,
        counters.plan_delay_ms);
    for (std::size_t i = 0; i < counters.plan_delays.size(); ++i) {
        const std::atomic<std::uint64_t>& value = counters.plan_delays.at(i);
        const std::string bound =
            i < plan_delay_bounds.size() ? std::to_string(plan_delay_bounds.at(i).count()) : "more";
        metrics_.add({"guavawick_gateway_plan_delays_total",
                      "Revisions by the time until they were in force here, up to a number of milliseconds.",
                      true, [&value] { return static_cast<double>(value.load()); }, bound});
    }
    add("guavawick_gateway_view_requests_total",
        "Requests for a view that a control replica has and that no push has brought.", true,
        counters.view_requests);
    add("guavawick_gateway_incomplete_views_total", "Views that lacked the document of their version.", true,
        counters.incomplete_views);
    add("guavawick_gateway_slowest_percent",
        "Learned duration of work at the slowest candidate of the last placement; 100 is usual.", false,
        counters.slowest_percent);
    add("guavawick_gateway_report_age_ms", "Mean age of the candidates' load reports at the last placement.",
        false, counters.report_age_ms);
    add("guavawick_gateway_instances", "Upstream instances in the directory.", false, counters.instances);
}

} // namespace guavawick::gateway
