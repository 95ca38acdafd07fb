// State machine of rollouts: requests and changes of stage. Pure functions, without I/O or a clock.
#pragma once

#include "rollout/rollout_type.hpp"

namespace guavawick::rollout {

/// Starts a rollout. A request with the target of the service's latest rollout changes nothing, as it is the
/// same request sent again. @param revision of the replicated state; becomes the rollout's number.
start_result start(record_table& table, const std::string& service, const std::string& target,
                   duration length, std::uint64_t revision);
/// Moves a rollout to another stage. @param revision of the replicated state.
/// @return false if the rollout is another one or its stage does not permit it; a stage is never reverted.
bool change_stage(record_table& table, const std::string& service, std::uint64_t number, stage next,
                  std::uint64_t revision);
/// Records the age of a rollout, which survives the loss of all processes.
void record_age(record_table& table, const std::string& service, std::uint64_t number, duration age);
/// @return whether a rollout has neither completed nor been rolled back.
bool is_running(const record& rollout);
/// @return whether an upstream of a version may get calls. @param to_target the call goes to the target.
bool accepts_version(const record& rollout, bool to_target, const std::string& version);
/// @return "running", "completed" or "rolled_back".
const char* phase_name(stage current);
/// @return the name of a stage, for the log.
const char* to_string(stage current);

} // namespace guavawick::rollout
