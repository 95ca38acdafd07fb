// Communication of a sidecar with entries and its upstream: announcements, configuration polls, health
// checks.
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "configuration/configuration_codec.hpp"
#include "http/http_error_type.hpp"
#include "sidecar/sidecar_process.hpp"

#include <boost/json.hpp>

namespace guavawick::sidecar {

namespace asio = boost::asio;

namespace {

constexpr duration announce_interval = 1s;
constexpr duration announce_retry_interval = 200ms;
constexpr duration long_poll_wait = 500ms;
constexpr duration poll_timeout = 2s;
constexpr duration health_interval = 250ms;
constexpr duration health_timeout = 2s;
constexpr duration maintenance_interval = 250ms;
constexpr duration entry_timeout = 1s;    ///< after it the next entry is tried
constexpr duration announce_timeout = 3s; ///< must stay well below the directory's lease
constexpr duration configuration_lease = 4s;
constexpr int health_failure_threshold = 2; ///< consecutive failures before the upstream counts as lost

} // namespace

asio::awaitable<wire::envelope_ptr> sidecar_process::request_from_entry(wire::envelope request,
                                                                        duration timeout)
{
    const time_point deadline = runtime_clock::now() + timeout;
    while (runtime_clock::now() < deadline && !sidecar_settings_.entries.empty()) {
        const std::size_t position = next_entry_.load();
        const std::string& endpoint = sidecar_settings_.entries[position % sidecar_settings_.entries.size()];
        const auto stream =
            links_->open_stream(endpoint, request, std::min(entry_timeout, deadline - runtime_clock::now()));
        const wire::envelope_ptr reply = co_await stream->next();
        if (reply && !reply->has_refused() && !reply->has_redirect()) {
            const std::lock_guard lock(mutex_);
            last_entry_contact_ = runtime_clock::now();
            co_return reply;
        }
        std::size_t expected = position;
        next_entry_.compare_exchange_strong(expected, position + 1);
        co_await runtime::wait_for(reply ? announce_retry_interval : duration{});
    }
    throw link_error("no entry answered in time");
}

asio::awaitable<bool> sidecar_process::announce_once()
{
    wire::envelope request;
    bool leaving = false;
    {
        const std::lock_guard lock(mutex_);
        leaving = stopping_.load() || !upstream_alive_;
        wire::upstream_record* record = request.mutable_announce()->mutable_upstream();
        record->set_name(sidecar_settings_.name);
        record->set_incarnation(table_.incarnation.value);
        record->set_endpoint(sidecar_settings_.link);
        record->set_data_centre(settings_.data_centre);
        record->set_kind(sidecar_settings_.kind == "service" ? 2 : 1);
        record->set_serves(sidecar_settings_.serves);
        record->set_leaving(leaving);
    }
    bool accepted = false;
    try {
        const wire::envelope_ptr reply = co_await request_from_entry(std::move(request), announce_timeout);
        accepted = reply->has_announced();
        const std::lock_guard lock(mutex_);
        fencing_token_ = std::max(fencing_token_, reply->announced().term());
        announced_leaving_ = announced_leaving_ || (stopping_.load() && leaving);
    }
    catch (const link_error&) {
        accepted = false;
    }
    co_return accepted;
}

asio::awaitable<void> sidecar_process::announce_loop()
{
    time_point next_announcement{};
    bool announced_available = false;
    incarnation_id announced_incarnation;
    while (links_) {
        bool available = false;
        incarnation_id current_incarnation;
        bool leaving_announced = false;
        {
            const std::lock_guard lock(mutex_);
            available = upstream_alive_ && !stopping_.load();
            current_incarnation = table_.incarnation;
            leaving_announced = announced_leaving_;
        }
        const time_point now = runtime_clock::now();
        const bool state_changed = available != announced_available ||
                                   current_incarnation != announced_incarnation ||
                                   (stopping_.load() && !leaving_announced);
        if (now >= next_announcement || state_changed) {
            const bool accepted = co_await announce_once();
            next_announcement =
                runtime_clock::now() + (accepted ? announce_interval : announce_retry_interval);
            announced_available = accepted ? available : announced_available;
            announced_incarnation = accepted ? current_incarnation : announced_incarnation;
        }
        co_await runtime::wait_for(50ms);
    }
}

asio::awaitable<void> sidecar_process::configuration_poll_loop()
{
    while (links_) {
        wire::envelope request;
        wire::poll_request* poll = request.mutable_poll();
        {
            const std::lock_guard lock(mutex_);
            poll->set_after_revision(revision_);
        }
        poll->set_wait_ms(static_cast<std::uint32_t>(to_ms(long_poll_wait)));
        poll->set_process(sidecar_settings_.name);
        poll->set_role("sidecar");
        const time_point sent_at = runtime_clock::now();
        wire::envelope_ptr response;
        try {
            response = co_await request_from_entry(std::move(request), poll_timeout);
        }
        catch (const link_error&) {
            response = nullptr;
        }
        if (!response || !response->has_polled()) {
            co_await runtime::wait_for(announce_retry_interval);
            continue;
        }
        const wire::poll_reply& reply = response->polled();
        const std::lock_guard lock(mutex_);
        if (reply.revision() < revision_) {
            continue; // from a lagging entry: a revision never decreases here
        }
        const time_point confirmed_at = sent_at - std::chrono::milliseconds(reply.age_ms());
        configuration_confirmed_at_ = std::max(configuration_confirmed_at_, confirmed_at);
        if (reply.revision() != revision_) {
            if (reply.whole()) {
                objects_.clear();
            }
            configuration::apply_changes(objects_, configuration::from_wire(reply.objects()));
            revision_ = reply.revision();
            view_ = configuration::make_view(revision_, objects_);
            log_event(event::configuration_in_force,
                      {{"revision", revision_}, {"upstream", sidecar_settings_.name}});
        }
        update_admission(runtime_clock::now());
        start_queued_attempts();
    }
}

/// Updates whether attempts are admitted, and the window limit, from configuration and lease. @pre mutex_ is
/// held.
void sidecar_process::update_admission(time_point now)
{
    const bool configuration_current = configuration_confirmed_at_ != time_point{} &&
                                       now - configuration_confirmed_at_ < configuration_lease;
    const bool selected = configuration::accepts_new_work(*view_, data_centre_name{settings_.data_centre},
                                                          upstream_name{sidecar_settings_.name});
    table_.accepts_work = configuration_current && selected;
    table_.leaving = stopping_.load() || !upstream_alive_;
    const auto policy = view_->upstreams.find(sidecar_settings_.name);
    const std::uint64_t configured_max = policy == view_->upstreams.end() ? 0 : policy->second.max_window;
    window_.options.max_size = configured_max == 0 ? sidecar_settings_.max_window
                                                   : std::min(configured_max, sidecar_settings_.max_window);
    window_.size = std::min(window_.size, static_cast<double>(window_.options.max_size));
}

asio::awaitable<bool> sidecar_process::probe_upstream()
{
    http::request request;
    request.method = "GET";
    request.target = "/load";
    try {
        const http::response response =
            co_await http::fetch_response(sidecar_settings_.upstream, std::move(request), health_timeout);
        boost::system::error_code parse_error;
        const boost::json::value parsed = boost::json::parse(response.body, parse_error);
        if (!parse_error && parsed.is_object() && parsed.as_object().contains("slots") &&
            parsed.at("slots").is_int64()) {
            const std::lock_guard lock(mutex_);
            scheduling::set_reported_slots(window_, static_cast<std::uint64_t>(std::max<std::int64_t>(
                                                        0, parsed.at("slots").as_int64())));
        }
        co_return true;
    }
    catch (const http::client_error& error) {
        // A timeout does not count as a loss: a slow upstream still runs its calls.
        co_return error.timed_out;
    }
}

asio::awaitable<void> sidecar_process::health_loop()
{
    int consecutive_failures = 0;
    bool memory_cleared = sidecar_settings_.kind != "model";
    while (links_) {
        const bool alive = co_await probe_upstream();
        if (alive && !memory_cleared) {
            co_await free_all_memory();
            memory_cleared = true;
        }
        consecutive_failures = alive ? 0 : consecutive_failures + 1;
        bool was_alive = false;
        {
            const std::lock_guard lock(mutex_);
            was_alive = upstream_alive_;
            if (alive && !was_alive) {
                upstream_alive_ = true;
                update_admission(runtime_clock::now());
                start_queued_attempts();
            }
        }
        if (was_alive && consecutive_failures >= health_failure_threshold) {
            co_await handle_upstream_loss();
        }
        co_await runtime::wait_for(health_interval);
    }
}

asio::awaitable<void> sidecar_process::maintenance_loop()
{
    while (links_) {
        co_await runtime::wait_for(maintenance_interval);
        const time_point now = runtime_clock::now();
        {
            const std::lock_guard lock(mutex_);
            update_admission(now);
            start_queued_attempts();
        }
        report_unconfirmed_ends(now);
    }
}

} // namespace guavawick::sidecar
