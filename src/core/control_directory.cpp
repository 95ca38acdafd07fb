// The control role of a fleet: the directory of upstream instances and its distribution to gateways and
// to other control replicas.
#include "core/control_process.hpp"

#include "base/event_type.hpp"
#include "base/failure_type.hpp"

namespace guavawick::core {

namespace asio = boost::asio;

namespace {

constexpr duration batch_interval = 1s; ///< delay of routine announcements; gateways only log their age
constexpr std::uint64_t peer_forward_interval =
    8; ///< every 8th announcement is forwarded to the other replicas, so that none lets the instance expire
constexpr duration confirm_timeout = 300ms; ///< below the 1 s that an instance waits for its acknowledgement
constexpr duration confirm_poll_interval = 2ms; ///< about a round trip between data centres

const char* to_string(directory::instance_state state)
{
    switch (state) {
    case directory::instance_state::serving:
        return "serving";
    case directory::instance_state::draining:
        return "draining";
    case directory::instance_state::gone:
        return "gone";
    }
    return "gone";
}

void log_instance_change(const directory::instance_record& record, const char* source)
{
    log_event(event::instance_changed, {{"instance", record.id.value},
                                        {"state", to_string(record.state)},
                                        {"service", record.service},
                                        {"address", record.address},
                                        {"version", record.version},
                                        {"data_centre", record.data_centre.value},
                                        {"started_ms", record.started_ms},
                                        {"sequence", record.sequence},
                                        {"told_by", source}});
}

} // namespace

void to_wire(const directory::instance_record& record, time_point now, wire::instance_record* message)
{
    message->set_id(record.id.value);
    message->set_service(record.service);
    message->set_address(record.address);
    message->set_data_centre(record.data_centre.value);
    message->set_slots(record.slots);
    message->set_state(static_cast<std::uint32_t>(record.state));
    message->set_started_ms(record.started_ms);
    message->set_sequence(record.sequence);
    message->set_version(record.version);
    if (record.cold_until > now) {
        message->set_cold_ms(static_cast<std::uint32_t>(to_ms(record.cold_until - now)));
    }
}

directory::instance_record from_wire(const wire::instance_record& message, time_point now)
{
    directory::instance_record record;
    record.id = directory::instance_id{message.id()};
    record.service = message.service();
    record.address = message.address();
    record.data_centre = data_centre_name{message.data_centre()};
    record.slots = message.slots();
    record.version = message.version();
    record.state = message.state() == 0   ? directory::instance_state::serving
                   : message.state() == 1 ? directory::instance_state::draining
                                          : directory::instance_state::gone;
    record.started_ms = message.started_ms();
    record.sequence = message.sequence();
    record.last_seen_at = now;
    record.cold_until = now + std::chrono::milliseconds(message.cold_ms());
    return record;
}

void to_wire(const directory::crash_report& report, time_point now, wire::crash_record* message)
{
    message->set_request_hash(report.request_hash);
    message->set_instance(report.instance.value);
    message->set_started_ms(report.started_ms);
    message->set_age_ms(static_cast<std::uint32_t>(to_ms(now - report.crashed_at)));
    message->set_ran_ms(static_cast<std::uint32_t>(to_ms(report.crashed_at - report.attempt_started_at)));
}

directory::crash_report from_wire(const wire::crash_record& message, time_point now)
{
    directory::crash_report report;
    report.request_hash = message.request_hash();
    report.instance = directory::instance_id{message.instance()};
    report.started_ms = message.started_ms();
    report.crashed_at = now - std::chrono::milliseconds(message.age_ms());
    report.attempt_started_at = report.crashed_at - std::chrono::milliseconds(message.ran_ms());
    return report;
}

/// @return false if a confirmation was waited for and none of the other replicas sent it in time.
asio::awaitable<bool> control_process::send_to_peers(wire::envelope update, bool wait_for_peer)
{
    const std::vector<std::string> receivers = peers();
    std::uint64_t confirm_number = 0;
    if (wait_for_peer) {
        const std::lock_guard lock(mutex_);
        confirm_number = next_confirm_number_++;
        pending_confirms_.insert(confirm_number);
        update.mutable_directory()->set_confirm(confirm_number);
    }
    update.mutable_directory()->set_endpoint(settings_.link);
    for (const std::string& peer : receivers) {
        links_->send(peer, update);
    }
    if (!wait_for_peer) {
        co_return true;
    }
    const time_point deadline = runtime_clock::now() + confirm_timeout;
    while (runtime_clock::now() < deadline) {
        {
            const std::lock_guard lock(mutex_);
            if (!pending_confirms_.contains(confirm_number)) {
                co_return true;
            }
        }
        co_await runtime::wait_for(confirm_poll_interval);
    }
    const std::lock_guard lock(mutex_);
    const bool is_confirmed = pending_confirms_.erase(confirm_number) == 0;
    // A replica without others acknowledges after the wait, in which the gateways receive the change.
    co_return is_confirmed || receivers.empty();
}

asio::awaitable<void> control_process::replicate_stop(directory::instance_id id, wire::envelope update)
{
    const bool confirmed = co_await send_to_peers(std::move(update), true);
    const std::lock_guard lock(mutex_);
    if (confirmed) {
        unconfirmed_stops_.erase(id);
    }
    else if (unconfirmed_stops_.contains(id)) {
        throw link_error("no other control replica confirmed the planned stop in time");
    }
}

asio::awaitable<void> control_process::announce(directory::instance_record announcement)
{
    wire::envelope update;
    bool stops = false;
    bool changed = false;
    {
        const std::lock_guard lock(mutex_);
        const time_point now = runtime_clock::now();
        const directory::merge_result result = directory::merge(instances_, announcement, now);
        if (result == directory::merge_result::invalid) {
            throw decode_error(directory::describe_fault(announcement));
        }
        const directory::instance_record current = instances_.instances.at(announcement.id);
        changed = result == directory::merge_result::changed;
        // One that was announced before is replicated again until another replica has it.
        stops = current.state != directory::instance_state::serving &&
                (changed || unconfirmed_stops_.contains(announcement.id));
        if (stops) {
            unconfirmed_stops_.insert(announcement.id);
        }
        if (result == directory::merge_result::stale && !stops) {
            co_return;
        }
        wire::instance_record* batch_entry = batch_.add_instances();
        to_wire(current, now, batch_entry);
        const bool forward = announcement.sequence % peer_forward_interval == 0;
        // A gateway that lost the connection on which a planned stop was pushed gets it with the next
        // heartbeat.
        const bool is_routine = result == directory::merge_result::renewed && !forward && !stops &&
                                current.state == directory::instance_state::serving;
        if (is_routine) {
            batch_entry->set_routine(true);
            batch_entry->clear_service();
            batch_entry->clear_address();
            batch_entry->clear_data_centre();
            batch_entry->clear_version();
            co_return;
        }
        if (changed) {
            log_instance_change(current, "itself");
        }
        to_wire(current, now, update.mutable_directory()->add_instances());
    }
    if (changed) {
        flush_batch();
    }
    if (stops) {
        co_await replicate_stop(announcement.id, std::move(update));
    }
    else {
        co_await send_to_peers(std::move(update), false);
    }
}

asio::awaitable<void> control_process::deregister(directory::instance_id id, std::uint64_t started_ms)
{
    wire::envelope update;
    {
        const std::lock_guard lock(mutex_);
        const time_point now = runtime_clock::now();
        if (std::string fault = directory::describe_fault(id); !fault.empty()) {
            throw decode_error(fault);
        }
        directory::mark_gone(instances_, id, started_ms, now);
        const directory::instance_record current = instances_.instances.at(id);
        if (current.state != directory::instance_state::gone) {
            co_return; // a later incarnation of the instance is running
        }
        unconfirmed_stops_.insert(id);
        log_instance_change(current, "itself");
        to_wire(current, now, batch_.add_instances());
        to_wire(current, now, update.mutable_directory()->add_instances());
    }
    flush_batch();
    co_await replicate_stop(std::move(id), std::move(update));
}

void control_process::handle_directory_update(const wire::directory_update& update)
{
    bool changed = false;
    {
        const std::lock_guard lock(mutex_);
        const time_point now = runtime_clock::now();
        for (const wire::instance_record& encoded : update.instances()) {
            const directory::instance_record record = from_wire(encoded, now);
            if (std::string fault = directory::describe_fault(record); !fault.empty()) {
                log_event(event::instance_ignored,
                          {{"instance", record.id.value}, {"reason", fault}, {"told_by", update.endpoint()}});
                continue;
            }
            const bool is_new =
                record.state == directory::instance_state::gone
                    ? directory::mark_gone(instances_, record.id, record.started_ms, now)
                    : directory::merge(instances_, record, now) == directory::merge_result::changed;
            const directory::instance_record& known = instances_.instances.at(record.id);
            if (known.state == record.state && known.started_ms == record.started_ms) {
                unconfirmed_stops_.erase(record.id);
            }
            if (!is_new) {
                continue;
            }
            // Gateways get the change from this replica as well, because one may have lost the connection to
            // the replica that received the change first.
            changed = true;
            log_instance_change(instances_.instances.at(record.id), update.endpoint().c_str());
            to_wire(instances_.instances.at(record.id), now, batch_.add_instances());
        }
        for (const wire::leaving_record& leaving : update.leaving()) {
            const directory::instance_id id{leaving.id()};
            if (directory::mark_leaving(leaving_, id, leaving.started_ms())) {
                changed = true;
                *batch_.add_leaving() = leaving;
                log_event(event::instance_leaving, {{"instance", id.value},
                                                    {"started_ms", leaving.started_ms()},
                                                    {"told_by", update.endpoint()}});
            }
        }
        for (const wire::crash_record& crash : update.crashes()) {
            const directory::crash_report report = from_wire(crash, now);
            if (directory::record_crash(crashes_, report)) {
                changed = true;
                *batch_.add_crashes() = crash;
                log_event(
                    event::request_quarantined,
                    {{"body_hash", report.request_hash},
                     {"instance", report.instance.value},
                     {"started_ms", report.started_ms},
                     {"crashes", std::uint64_t{directory::count_crashes(crashes_, report.request_hash)}},
                     {"refused",
                      directory::is_quarantined(crashes_, report.request_hash, now) ? "yes" : "no"}});
            }
        }
        for (const std::uint64_t request_hash : update.completed_requests()) {
            if (directory::clear_suspect(crashes_, request_hash)) {
                changed = true;
                batch_.add_completed_requests(request_hash);
                log_event(event::suspect_cleared, {{"body_hash", request_hash}});
            }
        }
    }
    if (update.confirm() != 0) {
        wire::envelope confirmation;
        confirmation.mutable_directory_confirmed()->set_number(update.confirm());
        links_->send(update.endpoint(), std::move(confirmation));
    }
    if (!changed) {
        return;
    }
    flush_batch();
    const bool is_report_of_gateway =
        update.crashes_size() > 0 || update.completed_requests_size() > 0 || update.leaving_size() > 0;
    if (is_report_of_gateway && !update.relayed()) {
        wire::envelope relay;
        *relay.mutable_directory()->mutable_crashes() = update.crashes();
        *relay.mutable_directory()->mutable_completed_requests() = update.completed_requests();
        *relay.mutable_directory()->mutable_leaving() = update.leaving();
        relay.mutable_directory()->set_relayed(true);
        for (const std::string& peer : peers()) {
            links_->send(peer, relay);
        }
    }
}

void control_process::flush_batch()
{
    wire::envelope message;
    std::vector<std::string> endpoints;
    {
        const std::lock_guard lock(mutex_);
        if (batch_.instances_size() == 0 && batch_.crashes_size() == 0 &&
            batch_.completed_requests_size() == 0 && batch_.leaving_size() == 0) {
            return;
        }
        message.mutable_directory()->Swap(&batch_);
        for (const auto& [endpoint, subscriber] : subscribers_) {
            endpoints.push_back(endpoint);
        }
    }
    for (const std::string& endpoint : endpoints) {
        links_->send(endpoint, message);
    }
}

asio::awaitable<void> control_process::batch_loop()
{
    while (running_.load()) {
        co_await runtime::wait_for(batch_interval);
        flush_batch();
        const std::lock_guard lock(mutex_);
        std::erase_if(unconfirmed_stops_, [this](const directory::instance_id& id) {
            return !instances_.instances.contains(id);
        });
    }
}

} // namespace guavawick::core
