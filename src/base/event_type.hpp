// Numbered log events and the functions that write them.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace guavawick {

/// Severity of an event.
enum class severity : std::uint8_t { debug, info, warning, error };

/// Number of each event. Numbers are stable: append only.
enum class event : std::uint16_t {
    process_started = 1000,
    process_stopping = 1001,
    process_stopped = 1002,
    settings_reloaded = 1005,
    dependency_lost = 1006,
    dependency_back = 1007,
    process_stalled = 1008,
    settings_refused = 1003,
    internal_fault = 1004,
    link_silent = 1100,
    link_refused_peer = 1101,
    request_over_budget = 1200,
    request_over_share = 1201,
    request_too_large = 1202,
    request_timed_out = 1203,
    transfer_given_up = 1204,
    reader_given_up = 1205,
    connection_refused = 1206,
    connection_closed_for_another = 1207,
    request_limits_set = 1208,
    idle_connections_closed = 1209,
    group_started = 2000,
    leader_elected = 2001,
    leader_lost = 2002,
    snapshot_written = 2003,
    snapshot_installed = 2004,
    log_tail_cut = 2005,
    disk_blank = 2006,
    member_joining = 2007,
    membership_changed = 2008,
    leadership_handed_over = 2009,
    storage_failed = 2010,
    member_change_planned = 2011,
    ledger_founded = 2012,
    store_retiring = 2013,
    snapshot_offered = 2014,
    snapshot_query_refused = 2015,
    snapshot_import_ended = 2016,
    store_admission_changed = 2017,
    content_refused = 2018,
    control_replica_hosted = 2019,
    control_replica_failed = 2020,
    group_lacks_voters = 2021,
    group_has_voters = 2022,
    group_without_leader = 2023,
    group_has_leader = 2024,
    confirmation_overdue = 2025,
    configuration_published = 3000,
    configuration_refused = 3001,
    configuration_in_force = 3002,
    configuration_stale = 3003,
    configuration_awaited = 3004,
    view_not_sent = 3005,
    gateway_behind = 3006,
    view_incomplete = 3007,
    upstream_announced = 3100,
    upstream_lost = 3101,
    upstream_leaving = 3102,
    request_quarantined = 3103,
    instance_changed = 3104,
    instance_ignored = 3105,
    instance_suspected = 3106,
    suspect_cleared = 3107,
    instance_leaving = 3108,
    rollout_requested = 3110,
    rollout_refused = 3111,
    rollout_stage_changed = 3112,
    rollout_step_taken = 3113,
    rollout_decided = 3114,
    rollout_lease_lost = 3115,
    data_centre_changed = 3200,
    order_answered = 3201,
    order_superseded = 3202,
    call_opened = 4000,
    call_closed = 4001,
    call_refused = 4002,
    call_retried = 4003,
    call_unknown = 4004,
    call_joined = 4005,
    caller_left = 4006,
    call_answered = 4007,
    call_failed = 4008,
    attempt_sent = 4009,
    attempt_failed = 4010,
    turn_opened = 4011,
    turn_closed = 4012,
    lines_left_out = 4013,
    turn_not_stored = 4014,
    stream_not_recorded = 4015,
    service_congested = 4025,
    service_relieved = 4026,
    start_refused = 4027,
    attempt_started = 5000,
    attempt_finished = 5001,
    attempt_tombstoned = 5002,
    attempt_adopted = 5003,
    order_dropped = 5004,
    window_reset = 5005,
    memory_freed = 5006,
};

/// One field of an event.
struct event_field {
    std::string_view name; ///< field name in snake case
    std::string value;     ///< the value as text; never a key, which must not be logged

    event_field(std::string_view field, std::string text) : name(field), value(std::move(text)) {}
    event_field(std::string_view field, const char* text) : name(field), value(text) {}
    event_field(std::string_view field, std::uint64_t number) : name(field), value(std::to_string(number)) {}
};

/// Writes one log line with the event's number, name and fields. Never blocks on the reader of standard
/// output: a line that can't be written at once, or exceeds the rate limit of its event, is dropped and
/// counted. Thread safety: any thread.
void log_event(event kind, const std::vector<event_field>& fields = {});

/// @return number of lines dropped since the process started. Thread safety: any thread.
std::uint64_t count_dropped_lines();

/// Sets the destination of log lines and the minimum severity that is written.
/// @param file path of the log file; empty for standard output. @param threshold minimum severity.
void configure_logging(const std::string& file, severity threshold);

} // namespace guavawick
