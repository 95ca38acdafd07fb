// Dispatch of messages to a consensus group and redirects to its leader.
#include "core/group_serving.hpp"

#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "replica/consensus_codec.hpp"

namespace guavawick::core {

bool dispatch_to_group(replica::group& group, const wire::envelope& message)
{
    if (message.has_consensus()) {
        if (message.consensus().group() != group.number()) {
            return true;
        }
        try {
            group.handle(replica::from_wire(message.consensus()), message.consensus().from_endpoint());
        }
        catch (const decode_error& fault) {
            log_event(event::link_refused_peer, {{"reason", fault.what()}});
        }
        return true;
    }
    if (message.has_snapshot_query() && message.snapshot_query().group() == group.number()) {
        group.handle(std::make_shared<const wire::snapshot_query>(message.snapshot_query()));
        return true;
    }
    if (message.has_snapshot_part() && message.snapshot_part().group() == group.number()) {
        group.handle(std::make_shared<const wire::snapshot_part>(message.snapshot_part()));
        return true;
    }
    if (message.has_join()) {
        const wire::join_request& join = message.join();
        if (join.group() == group.number() && join.id() != 0) {
            group.handle_join({consensus::member_id{join.id()}, join.name(), join.endpoint(), false, 0,
                               join.data_centre(), join.auxiliary()},
                              join.forwarded());
        }
        return true;
    }
    return false;
}

} // namespace guavawick::core
