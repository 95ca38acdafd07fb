// Figures of a consensus group.
#include "core/group_metrics.hpp"

namespace guavawick::core {

void add_group_metrics(http::metric_set& metrics, const replica::group& from)
{
    const std::string number = std::to_string(from.number());
    const replica::group_counters& counters = from.counters();
    metrics.add({"guavawick_replica_leads", "1 while this replica leads the group.", false,
                 [&counters] { return counters.leads.load() ? 1.0 : 0.0; }, number});
    metrics.add({"guavawick_replica_applied_index", "Last log entry that was applied.", false,
                 [&counters] { return static_cast<double>(counters.applied.load()); }, number});
    metrics.add({"guavawick_replica_proposals_total", "Commands proposed here.", true,
                 [&counters] { return static_cast<double>(counters.proposals.load()); }, number});
    metrics.add({"guavawick_replica_syncs_total", "Times that the log was synced.", true,
                 [&counters] { return static_cast<double>(counters.syncs.load()); }, number});
    metrics.add({"guavawick_replica_log_bytes", "Size of the log file.", false,
                 [&counters] { return static_cast<double>(counters.log_bytes.load()); }, number});
}

} // namespace guavawick::core
