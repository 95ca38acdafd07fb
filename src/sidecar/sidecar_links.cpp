// A sidecar's talk with entries and with its upstream: announcements, configuration, health.
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
constexpr duration announce_retry = 200ms;
constexpr duration poll_wait = 500ms;
constexpr duration poll_limit = 2s;
constexpr duration health_interval = 250ms;
constexpr duration health_limit = 2s;
constexpr duration check_interval = 250ms;
constexpr duration entry_limit = 1s;    ///< an entry that is silent for this long is passed over
constexpr duration announce_limit = 3s; ///< well within the directory's lease
constexpr duration configuration_lease = 4s;
constexpr int most_health_failures = 2; ///< in a row, after which the upstream counts as lost

} // namespace

asio::awaitable<wire::envelope_ptr> sidecar_process::ask_entry(wire::envelope question, duration limit)
{
    const time_point deadline = runtime_clock::now() + limit;
    while (runtime_clock::now() < deadline && !own_.entries.empty()) {
        const std::size_t turn = entry_turn_.load();
        const std::string& endpoint = own_.entries[turn % own_.entries.size()];
        const auto stream =
            links_->open_stream(endpoint, question, std::min(entry_limit, deadline - runtime_clock::now()));
        const wire::envelope_ptr answer = co_await stream->next();
        if (answer && !answer->has_refused() && !answer->has_redirect()) {
            const std::lock_guard lock(mutex_);
            entry_heard_at_ = runtime_clock::now();
            co_return answer;
        }
        std::size_t expected = turn;
        entry_turn_.compare_exchange_strong(expected, turn + 1);
        co_await runtime::wait_for(answer ? announce_retry : duration{});
    }
    throw link_error("no entry answered in time");
}

asio::awaitable<bool> sidecar_process::announce_once()
{
    wire::envelope question;
    bool leaving = false;
    {
        const std::lock_guard lock(mutex_);
        leaving = stopping_.load() || !upstream_alive_;
        wire::upstream_record* record = question.mutable_announce()->mutable_upstream();
        record->set_name(own_.name);
        record->set_incarnation(table_.incarnation.value);
        record->set_endpoint(own_.link);
        record->set_data_centre(settings_.data_centre);
        record->set_kind(own_.kind == "service" ? 2 : 1);
        record->set_serves(own_.serves);
        record->set_leaving(leaving);
    }
    bool done = false;
    try {
        const wire::envelope_ptr answer = co_await ask_entry(std::move(question), announce_limit);
        done = answer->has_announced();
        const std::lock_guard lock(mutex_);
        control_term_ = std::max(control_term_, answer->announced().term());
        announced_leaving_ = announced_leaving_ || (stopping_.load() && leaving);
    }
    catch (const link_error&) {
        done = false;
    }
    co_return done;
}

asio::awaitable<void> sidecar_process::announce_loop()
{
    time_point due{};
    bool announced_alive = false;
    incarnation_id announced;
    while (links_) {
        bool alive = false;
        incarnation_id present;
        bool told = false;
        {
            const std::lock_guard lock(mutex_);
            alive = upstream_alive_ && !stopping_.load();
            present = table_.incarnation;
            told = announced_leaving_;
        }
        const time_point now = runtime_clock::now();
        const bool news = alive != announced_alive || present != announced || (stopping_.load() && !told);
        if (now >= due || news) {
            const bool done = co_await announce_once();
            due = runtime_clock::now() + (done ? announce_interval : announce_retry);
            announced_alive = done ? alive : announced_alive;
            announced = done ? present : announced;
        }
        co_await runtime::wait_for(50ms);
    }
}

asio::awaitable<void> sidecar_process::poll_loop()
{
    while (links_) {
        wire::envelope question;
        wire::poll_request* body = question.mutable_poll();
        {
            const std::lock_guard lock(mutex_);
            body->set_after_revision(revision_);
        }
        body->set_wait_ms(static_cast<std::uint32_t>(to_ms(poll_wait)));
        body->set_process(own_.name);
        body->set_role("sidecar");
        const time_point sent_at = runtime_clock::now();
        wire::envelope_ptr answer;
        try {
            answer = co_await ask_entry(std::move(question), poll_limit);
        }
        catch (const link_error&) {
            answer = nullptr;
        }
        if (!answer || !answer->has_polled()) {
            co_await runtime::wait_for(announce_retry);
            continue;
        }
        const wire::poll_reply& reply = answer->polled();
        const std::lock_guard lock(mutex_);
        if (reply.revision() < revision_) {
            continue; // an entry that lags; revisions only rise here
        }
        const time_point confirmed = sent_at - std::chrono::milliseconds(reply.age_ms());
        confirmed_at_ = std::max(confirmed_at_, confirmed);
        if (reply.revision() != revision_) {
            if (reply.whole()) {
                objects_.clear();
            }
            configuration::apply_changes(objects_, configuration::from_wire(reply.objects()));
            revision_ = reply.revision();
            view_ = configuration::make_view(revision_, objects_);
            log_event(event::configuration_in_force, {{"revision", revision_}, {"upstream", own_.name}});
        }
        refresh_gate(runtime_clock::now());
        pump();
    }
}

/// Brings the gate up to date with configuration and lease. @pre mutex_ is held.
void sidecar_process::refresh_gate(time_point now)
{
    const bool fresh = confirmed_at_ != time_point{} && now - confirmed_at_ < configuration_lease;
    const bool wanted = configuration::accepts_new_work(*view_, data_centre_name{settings_.data_centre},
                                                        upstream_name{own_.name});
    table_.takes_work = fresh && wanted;
    table_.leaving = stopping_.load() || !upstream_alive_;
    const auto policy = view_->upstreams.find(own_.name);
    const std::uint64_t most = policy == view_->upstreams.end() ? 0 : policy->second.max_window;
    window_.options.most = most == 0 ? own_.max_window : std::min(most, own_.max_window);
    window_.size = std::min(window_.size, static_cast<double>(window_.options.most));
}

asio::awaitable<bool> sidecar_process::is_upstream_alive()
{
    http::request question;
    question.method = "GET";
    question.target = "/load";
    try {
        const http::response answer =
            co_await http::fetch_whole(own_.upstream, std::move(question), health_limit);
        boost::system::error_code wrong;
        const boost::json::value parsed = boost::json::parse(answer.body, wrong);
        if (!wrong && parsed.is_object() && parsed.as_object().contains("slots") &&
            parsed.at("slots").is_int64()) {
            const std::lock_guard lock(mutex_);
            scheduling::note_reported(window_, static_cast<std::uint64_t>(
                                                   std::max<std::int64_t>(0, parsed.at("slots").as_int64())));
        }
        co_return true;
    }
    catch (const http::client_error& fault) {
        // An upstream that is only slow is not lost: the calls that run there go on.
        co_return fault.timed_out;
    }
}

asio::awaitable<void> sidecar_process::health_loop()
{
    int failures = 0;
    bool cleared = own_.kind != "model";
    while (links_) {
        const bool alive = co_await is_upstream_alive();
        if (alive && !cleared) {
            co_await free_all_memory();
            cleared = true;
        }
        failures = alive ? 0 : failures + 1;
        bool was_alive = false;
        {
            const std::lock_guard lock(mutex_);
            was_alive = upstream_alive_;
            if (alive && !was_alive) {
                upstream_alive_ = true;
                refresh_gate(runtime_clock::now());
                pump();
            }
        }
        if (was_alive && failures >= most_health_failures) {
            co_await note_upstream_lost();
        }
        co_await runtime::wait_for(health_interval);
    }
}

asio::awaitable<void> sidecar_process::check_loop()
{
    while (links_) {
        co_await runtime::wait_for(check_interval);
        const time_point now = runtime_clock::now();
        {
            const std::lock_guard lock(mutex_);
            refresh_gate(now);
            pump();
        }
        adopt_finished(now);
    }
}

} // namespace guavawick::sidecar
