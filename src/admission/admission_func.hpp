// Decisions on the admission of programs. Pure functions; thread safety: one thread a service.
#pragma once

#include "admission/admission_type.hpp"

namespace guavawick::admission {

/// Counts work that was served to an organisation. @param weight its rate, 0 if it has no limit.
void record_work(service_admission& service, const std::string& organisation, double weight, double tokens,
                 const admission_settings& settings, time_point now);
/// @return the work served to an organisation relative to an equal share, by weight, among those that are
/// active. 1 or less: within its share.
double share_use(service_admission& service, const std::string& organisation,
                 const admission_settings& settings, time_point now);
/// @return whether programs may be refused: half of the slots are believed taken, or calls wait.
bool may_refuse(const believed_load& load, const service_congestion& congestion,
                const admission_settings& settings, time_point now);
/// Decides on the start of a program. The pace is that at which turns end, divided by the turns of a program:
/// so many programs can start without making the others late. Programs that find no place within the time
/// that they may be held are refused, if that is allowed. Counts a program that starts.
start_decision decide_start(service_admission& service, const start_request& request,
                            const admission_settings& settings, time_point now);

} // namespace guavawick::admission
