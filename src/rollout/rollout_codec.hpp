// Wire format of rollouts: records in snapshots and views, and the gateways' reports.
#pragma once

#include "rollout/rollout_type.hpp"

namespace google::protobuf {
template <typename Element>
class RepeatedPtrField;
}
namespace guavawick::wire {
class rollout_record;
class rollout_report;
} // namespace guavawick::wire

namespace guavawick::rollout {

/// @return the stage with a number of a message; `rolling_back` for one of a later version, as that exposes
/// no calls.
stage to_stage(std::uint32_t number);
/// Encodes a record.
void to_wire(const record& rollout, wire::rollout_record* message);
/// @return the decoded records, by service.
record_table from_wire(const google::protobuf::RepeatedPtrField<wire::rollout_record>& messages);
/// Encodes a gateway's report, without its incarnation.
void to_wire(const gateway_report& report, wire::rollout_report* message);
/// @return the decoded report. @param now when it was received.
gateway_report from_wire(const wire::rollout_report& message, time_point now);

} // namespace guavawick::rollout
