// Marks of upstream instances whose answers say that they leave.
#include "base/event_type.hpp"
#include "gateway/call_run.hpp"
#include "wire.pb.h"

#include <algorithm>

namespace guavawick::gateway {

void note_leaving(const call_context& context, const directory::instance_record& target,
                  const response_head& head)
{
    if (!head.metadata.leaving) {
        return;
    }
    gateway_state& state = *context.state;
    directory::instance_record sender = target;
    if (head.status == misdirected_status) {
        // Another instance has the address now.
        const auto found = std::find_if(
            state.instances.instances.begin(), state.instances.instances.end(), [&target](const auto& entry) {
                return entry.second.address == target.address && entry.second.id != target.id &&
                       entry.second.state == directory::instance_state::serving;
            });
        if (found == state.instances.instances.end()) {
            return;
        }
        sender = found->second;
    }
    if (!directory::mark_leaving(state.leaving, sender.id, sender.started_ms)) {
        return;
    }
    state.counters.leaving_instances.fetch_add(1);
    log_event(event::instance_leaving, {{"instance", sender.id.value},
                                        {"address", sender.address},
                                        {"started_ms", sender.started_ms},
                                        {"status", std::uint64_t(head.status)}});
    wire::envelope report;
    wire::leaving_record* record = report.mutable_directory()->add_leaving();
    record->set_id(sender.id.value);
    record->set_started_ms(sender.started_ms);
    send_to_control(context, report);
}

} // namespace guavawick::gateway
