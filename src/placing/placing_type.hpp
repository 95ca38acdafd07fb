// Where a call runs: what is known of each upstream instance, and the choice among them. Plain data.
#pragma once

#include "base/clock_type.hpp"
#include "base/id_type.hpp"
#include "directory/directory_type.hpp"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace guavawick::placing {

using namespace std::chrono_literals;

/// What this entry knows of one instance beside its announcements.
struct instance_load {
    std::uint32_t own_running = 0;      ///< calls of this entry that run there
    std::uint32_t reported_running = 0; ///< of all callers, as the instance last said
    std::uint32_t reported_waiting = 0;
    std::uint32_t own_running_at_report = 0; ///< own calls when it said so
    time_point reported_at{};
    time_point suspect_until{};             ///< it did not answer; avoided until then
    std::uint32_t consecutive_failures = 0; ///< in a row
    double error_rate = 0;                  ///< recent answers that were failures, as of errors_at
    time_point error_rate_at{};
    double cold_tokens = 0; ///< calls that it may get from this entry while cold
    time_point cold_refilled_at{};
};

/// One instance that a call could run at.
struct candidate {
    const directory::instance_record* record = nullptr;
    instance_load* load = nullptr;
};

/// What matters for the choice.
struct placement_request {
    bool model = false;                     ///< runs on an engine with a prompt cache
    std::string affinity_key;               ///< calls with the same text share cache
    std::string warm_instance;              ///< ran the previous turn; empty if unknown
    std::uint64_t prompt_tokens = 0;        ///< the whole prompt
    std::uint64_t shared_prefix_tokens = 0; ///< the part that most instances hold
    data_centre_name own_data_centre;
    std::set<std::string> tried_instances; ///< instances that this call was sent to
    double cold_rate_share = 0;            ///< calls a second that a cold instance takes from this entry
};

/// How many of what counts as one step of waiting; see the sources.
struct placement_costs {
    double prefill_tokens_per_ms = 30; ///< the deployments' engines read 30.9 tokens a millisecond
    double model_running_ms = 3; ///< delay by one more call in the batch: 33 tokens x 0.03 ms and its prefill
    double model_waiting_ms = 60;    ///< delay by one call that waits for a place
    double service_running_ms = 20;  ///< one more call on an instance with free places
    double service_waiting_ms = 100; ///< one call that waits: the mean work of the deployments' services
    double model_other_data_centre_ms =
        25; ///< a prompt of some KB to another data centre, for each turn of the line
    double service_other_data_centre_ms = 10; ///< a round trip between data centres, and its bytes
    double error_ms =
        2000; ///< a failed call: its time, the callers' pause of up to 400 ms and a later one's risk
    double suspect_ms = 100'000;  ///< only where nothing else is left
    duration max_report_age = 1s; ///< older reports are not believed
};

} // namespace guavawick::placing
