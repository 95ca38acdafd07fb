// Admission of programs to a service that is congested.
#pragma once

#include "admission/congestion_type.hpp"

#include <map>
#include <string>

namespace guavawick::admission {

/// Constants of the decision. The values come from the simulation in tests/unit/admission_world.hpp.
struct admission_settings {
    congestion_settings congestion;
    double max_stretch = 2.0; ///< from here on starts are paced; objectives are 2 to 2.9 times the least time
    double target_stretch = 1.2;  ///< at which paced starts would keep the full pace
    double min_rate_factor = 0.1; ///< of the full pace; some programs always start
    double hold_share = 0.02;     ///< of the time until the objective; longer holds made more programs late
    double max_credit =
        0.5; ///< intervals by which a program of an organisation within its share starts early
    double min_credit = -0.5;         ///< of an organisation far beyond its share; -1 would end its starts
    double priority_credit = 0.25;    ///< intervals lost with each step of lower priority
    std::uint32_t priority_steps = 3; ///< lower priorities count as the last of these steps
    duration max_hold = 500ms;        ///< also for programs with a distant objective
    duration share_half_life = 6s;    ///< of the work counted for an organisation; a burst lasts 6 s
    double share_allowance = 20'000;  ///< tokens beyond its share that never count, five turns
    double busy_share = 0.5;          ///< of a service's slots; below, starts are refused only if calls wait
    std::uint32_t min_waiting_instances = 1; ///< with a fresh report that calls wait there
    duration max_report_age = 1s;            ///< of the reports that may allow a refusal
    double rejections = 2;                   ///< of the last seconds that also allow a refusal
    duration min_retry_after = 300ms;        ///< a retry sooner meets the same load
    duration max_retry_after = 4s; ///< overloads last some 20 s, but programs can't wait for their end
    double retry_spread = 0.5;     ///< of Retry-After, added at random
};

/// Work of one organisation that this gateway has seen served.
struct organisation_work {
    decayed_sum tokens;
    double weight = 0; ///< its rate; 0 if it has none, which counts as the mean of the others
};

/// Work of the organisations of a service, by name.
using work_by_organisation = std::map<std::string, organisation_work>;

/// Load of a service's instances as far as this gateway knows it from their reports.
struct believed_load {
    double slots = 0;
    double taken = 0;
    std::uint32_t reports = 0;           ///< instances with a fresh report
    std::uint32_t waiting_instances = 0; ///< of these, instances at which calls wait
};

/// What a gateway knows of the admission to one service.
struct service_admission {
    service_congestion congestion;
    work_by_organisation work;
    time_point next_start_at{};  ///< when the next paced program may start
    time_point next_return_at{}; ///< when the next refused caller should return
    bool paced = false;          ///< starts are paced, as of the last decision
};

/// A program that wants to start.
struct start_request {
    duration finish_in{};       ///< until the program's objective, or the call's deadline if there is none
    duration time_left{};       ///< until the call's deadline
    std::uint32_t priority = 0; ///< 0 is the highest
    double share_use = 1;       ///< work served to the organisation relative to its share
    bool may_refuse = false;    ///< the service is busy enough for refusals
    double random = 0;          ///< 0 to 1, spreads Retry-After
};

enum class start_action : std::uint8_t { start, hold, refuse };

/// What happens to the program, with the inputs for logs.
struct start_decision {
    start_action action = start_action::start;
    duration hold{};        ///< after which the program starts
    duration retry_after{}; ///< of a refusal
    double stretch = 1;
    double rate = 0;     ///< paced starts per second; 0 if starts are not paced
    duration wait{};     ///< until its turn by the pace
    duration max_wait{}; ///< what it might have waited
};

} // namespace guavawick::admission
