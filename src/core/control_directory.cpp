// The control role of a fleet: how announcements of upstream instances are taken in and spread.
#include "core/control_process.hpp"

#include "base/event_type.hpp"

namespace guavawick::core {

namespace asio = boost::asio;

namespace {

constexpr duration batch_interval = 1s; ///< routine announcements wait this long; entries only log their age
constexpr std::uint64_t peer_interval =
    8; ///< every eighth announcement goes to the other replicas: none forgets
constexpr duration confirm_limit = 300ms; ///< an instance waits a second for its acknowledgement
constexpr duration confirm_step = 2ms;    ///< a round trip between data centres

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

void log_change(const directory::instance_record& one, const char* from)
{
    log_event(event::instance_changed, {{"instance", one.id.value},
                                        {"state", to_string(one.state)},
                                        {"service", one.service},
                                        {"address", one.address},
                                        {"data_centre", one.data_centre.value},
                                        {"started_ms", one.started_ms},
                                        {"sequence", one.sequence},
                                        {"told_by", from}});
}

} // namespace

void to_wire(const directory::instance_record& record, time_point now, wire::instance_record* into)
{
    into->set_id(record.id.value);
    into->set_service(record.service);
    into->set_address(record.address);
    into->set_data_centre(record.data_centre.value);
    into->set_slots(record.slots);
    into->set_state(static_cast<std::uint32_t>(record.state));
    into->set_started_ms(record.started_ms);
    into->set_sequence(record.sequence);
    if (record.cold_until > now) {
        into->set_cold_ms(static_cast<std::uint32_t>(to_ms(record.cold_until - now)));
    }
}

directory::instance_record from_wire(const wire::instance_record& message, time_point now)
{
    directory::instance_record made;
    made.id = directory::instance_id{message.id()};
    made.service = message.service();
    made.address = message.address();
    made.data_centre = data_centre_name{message.data_centre()};
    made.slots = message.slots();
    made.state = message.state() == 0   ? directory::instance_state::serving
                 : message.state() == 1 ? directory::instance_state::draining
                                        : directory::instance_state::gone;
    made.started_ms = message.started_ms();
    made.sequence = message.sequence();
    made.last_seen_at = now;
    made.cold_until = now + std::chrono::milliseconds(message.cold_ms());
    return made;
}

asio::awaitable<void> control_process::spread(wire::envelope update, bool wait_for_peer)
{
    std::uint64_t number = 0;
    if (wait_for_peer) {
        const std::lock_guard lock(mutex_);
        number = next_confirm_++;
        confirms_.insert(number);
        update.mutable_directory()->set_confirm(number);
    }
    update.mutable_directory()->set_endpoint(settings_.link);
    for (const std::string& peer : peers()) {
        links_->send(peer, update);
    }
    if (!wait_for_peer) {
        co_return;
    }
    const time_point limit = runtime_clock::now() + confirm_limit;
    while (runtime_clock::now() < limit) {
        {
            const std::lock_guard lock(mutex_);
            if (!confirms_.contains(number)) {
                co_return;
            }
        }
        co_await runtime::wait_for(confirm_step);
    }
    const std::lock_guard lock(mutex_);
    confirms_.erase(number);
}

asio::awaitable<void> control_process::announce(directory::instance_record word)
{
    wire::envelope update;
    bool leaving = false;
    bool changed = false;
    {
        const std::lock_guard lock(mutex_);
        const time_point now = runtime_clock::now();
        const directory::merge_result merged = directory::merge(instances_, word, now);
        if (merged == directory::merge_result::stale) {
            co_return;
        }
        const directory::instance_record held = instances_.instances.at(word.id);
        wire::instance_record* record = batch_.add_instances();
        to_wire(held, now, record);
        const bool shared = word.sequence % peer_interval == 0;
        if (merged == directory::merge_result::renewed && !shared) {
            record->set_routine(true);
            record->clear_service();
            record->clear_address();
            record->clear_data_centre();
            co_return;
        }
        if (merged == directory::merge_result::changed) {
            log_change(held, "itself");
        }
        changed = merged == directory::merge_result::changed;
        leaving = changed && held.state != directory::instance_state::serving;
        to_wire(held, now, update.mutable_directory()->add_instances());
    }
    if (changed) {
        flush_batch();
    }
    co_await spread(std::move(update), leaving);
}

asio::awaitable<void> control_process::leave(directory::instance_id id, std::uint64_t started_ms)
{
    wire::envelope update;
    {
        const std::lock_guard lock(mutex_);
        const time_point now = runtime_clock::now();
        directory::mark_gone(instances_, id, started_ms, now);
        const directory::instance_record held = instances_.instances.at(id);
        if (held.state != directory::instance_state::gone) {
            co_return; // a later incarnation runs under this id
        }
        log_change(held, "itself");
        to_wire(held, now, batch_.add_instances());
        to_wire(held, now, update.mutable_directory()->add_instances());
    }
    flush_batch();
    co_await spread(std::move(update), true);
}

void control_process::take_directory(const wire::directory_update& update)
{
    bool changed = false;
    {
        const std::lock_guard lock(mutex_);
        const time_point now = runtime_clock::now();
        for (const wire::instance_record& one : update.instances()) {
            const directory::instance_record word = from_wire(one, now);
            if (word.state == directory::instance_state::gone) {
                if (!directory::mark_gone(instances_, word.id, word.started_ms, now)) {
                    continue;
                }
            }
            else if (directory::merge(instances_, word, now) != directory::merge_result::changed) {
                continue;
            }
            // What changed reaches an entry also when it can't reach the replica that heard it first.
            changed = true;
            log_change(instances_.instances.at(word.id), update.endpoint().c_str());
            to_wire(instances_.instances.at(word.id), now, batch_.add_instances());
        }
        for (const wire::crash_record& one : update.crashes()) {
            if (directory::record_crash(crashes_, one.request_hash(), one.instance(), now)) {
                changed = true;
                *batch_.add_crashes() = one;
                log_event(event::request_quarantined,
                          {{"body_hash", one.request_hash()},
                           {"instance", one.instance()},
                           {"refused",
                            directory::is_quarantined(crashes_, one.request_hash(), now) ? "yes" : "no"}});
            }
        }
    }
    if (update.confirm() != 0) {
        wire::envelope confirmed;
        confirmed.mutable_directory_confirmed()->set_number(update.confirm());
        links_->send(update.endpoint(), std::move(confirmed));
    }
    if (!changed) {
        return;
    }
    flush_batch();
    if (update.crashes_size() > 0 && !update.relayed()) {
        wire::envelope relay;
        *relay.mutable_directory()->mutable_crashes() = update.crashes();
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
        if (batch_.instances_size() == 0 && batch_.crashes_size() == 0) {
            return;
        }
        message.mutable_directory()->Swap(&batch_);
        for (const auto& [endpoint, heard] : subscribers_) {
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
    }
}

} // namespace guavawick::core
