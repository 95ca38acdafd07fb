// Metrics of a consensus group.
#include "core/group_metrics.hpp"

namespace guavawick::core {

void add_group_metrics(http::metric_set& metrics, const replica::group& group)
{
    const std::string group_number = std::to_string(group.number());
    const replica::group_counters& counters = group.counters();
    metrics.add({"guavawick_replica_leads", "1 while this replica leads the group.", false,
                 [&counters] { return counters.leads.load() ? 1.0 : 0.0; }, group_number});
    metrics.add({"guavawick_replica_applied_index", "Index of the last applied log entry.", false,
                 [&counters] { return static_cast<double>(counters.applied.load()); }, group_number});
    metrics.add({"guavawick_replica_proposals_total", "Commands proposed here.", true,
                 [&counters] { return static_cast<double>(counters.proposals.load()); }, group_number});
    metrics.add({"guavawick_replica_voters", "Voters of the group, as far as this replica knows.", false,
                 [&counters] { return static_cast<double>(counters.voters.load()); }, group_number});
    metrics.add({"guavawick_replica_term", "Newest term that this replica knows.", false,
                 [&counters] { return static_cast<double>(counters.term.load()); }, group_number});
    metrics.add({"guavawick_replica_knows_leader", "0 while this replica knows no leader of the group.",
                 false, [&counters] { return counters.knows_leader.load() ? 1.0 : 0.0; }, group_number});
    metrics.add({"guavawick_replica_unconfirmed",
                 "Committed commands that are not acknowledged yet, as other replicas may not know them.",
                 false, [&counters] { return static_cast<double>(counters.unconfirmed.load()); },
                 group_number});
    metrics.add({"guavawick_replica_syncs_total", "Number of times the log was synced.", true,
                 [&counters] { return static_cast<double>(counters.syncs.load()); }, group_number});
    metrics.add({"guavawick_replica_log_bytes", "Size of the log file.", false,
                 [&counters] { return static_cast<double>(counters.log_bytes.load()); }, group_number});
}

void add_link_metrics(http::metric_set& metrics, const wire::link& link)
{
    metrics.add({"guavawick_link_undecodable_total", "Messages of other processes that could not be decoded.",
                 true, [&link] { return static_cast<double>(link.undecodable_count()); }, ""});
}

} // namespace guavawick::core
