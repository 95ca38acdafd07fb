// Handling of the requests that entries send to a sidecar.
#include "sidecar/sidecar_process.hpp"

#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"

#include <thread>

namespace guavawick::sidecar {
namespace {

constexpr duration stop_poll_interval = 20ms;
constexpr duration announce_timeout = 3s; ///< stop() waits at most this long for its announcement
constexpr duration entry_absence_timeout =
    10s; ///< stop() waits this long for an entry to confirm unconfirmed ends

scheduling::window_options make_window_options(const sidecar_settings& upstream_settings)
{
    return {upstream_settings.max_window, upstream_settings.latency_goal};
}

} // namespace

sidecar_process::sidecar_process(const settings& process_settings, const sidecar_settings& upstream_settings,
                                 runtime::worker_pool& pool)
    : settings_(process_settings), sidecar_settings_(upstream_settings), pool_(pool),
      process_incarnation_(random_id())
{
    table_.incarnation = incarnation_id{random_id()};
    queue_.policy =
        upstream_settings.queue == "fifo" ? scheduling::queue_policy::fifo : scheduling::queue_policy::fair;
    window_.options = make_window_options(upstream_settings);
    view_ = configuration::make_view(0, {});
}

sidecar_process::~sidecar_process()
{
    stopping_.store(true);
}

void sidecar_process::start()
{
    links_ = std::make_unique<wire::link>(pool_.executor(), settings_.links, process_incarnation_);
    links_->listen(sidecar_settings_.listen_link.empty() ? sidecar_settings_.link
                                                         : sidecar_settings_.listen_link,
                   [this](const wire::reply_target& from, const wire::envelope_ptr& message) {
                       handle_message(from, message);
                   });
    add_metrics();
    if (!settings_.metrics_listen.empty()) {
        metrics_server_ =
            std::make_unique<http::server>(pool_.executor(), settings_.metrics_listen, http::server_limits{},
                                           http::make_metrics_handler(metrics_));
    }
    pool_.spawn(configuration_poll_loop());
    pool_.spawn(health_loop());
    pool_.spawn(announce_loop());
    pool_.spawn(maintenance_loop());
}

void sidecar_process::stop()
{
    stopping_.store(true);
    const time_point stop_started_at = runtime_clock::now();
    while (true) {
        {
            const std::lock_guard lock(mutex_);
            table_.leaving = true;
            // If no entry is reachable, none can send new attempts either.
            const bool announcement_done =
                announced_leaving_ || runtime_clock::now() - stop_started_at > announce_timeout;
            const bool entries_absent =
                runtime_clock::now() - std::max(stop_started_at, last_entry_contact_) > entry_absence_timeout;
            if (announcement_done && (records_.empty() || (window_.running == 0 && entries_absent))) {
                break;
            }
        }
        std::this_thread::sleep_for(stop_poll_interval);
    }
}

void sidecar_process::close()
{
    if (links_) {
        links_->close();
    }
}

void sidecar_process::handle_message(const wire::reply_target& from, const wire::envelope_ptr& message)
{
    switch (message->body_case()) {
    case wire::envelope::kRun:
        handle_run(from, message->run());
        return;
    case wire::envelope::kCancel:
        handle_cancel(attempt_id{message->cancel().attempt()});
        return;
    case wire::envelope::kRelease:
        handle_release(attempt_id{message->release().attempt()});
        return;
    case wire::envelope::kTombstone: {
        const std::lock_guard lock(mutex_);
        const attempt_id attempt{message->tombstone().attempt()};
        scheduling::remove(queue_, attempt);
        const scheduling::attempt_status status = scheduling::tombstone(table_, attempt);
        if (status == scheduling::attempt_status::tombstoned) {
            records_.erase(attempt);
            log_event(event::attempt_tombstoned, {{"attempt", to_hex(attempt.value)}});
        }
        wire::envelope reply;
        reply.mutable_tombstoned()->set_state(static_cast<std::uint32_t>(status));
        links_->reply(from, std::move(reply));
        return;
    }
    case wire::envelope::kLoad:
        send_load_report(from);
        return;
    case wire::envelope::kFreeProgram:
        handle_free(from, message->free_program());
        return;
    case wire::envelope::kOrder:
        handle_order(from, message->order());
        return;
    default:
        log_event(event::link_refused_peer, {{"reason", "unexpected message"}});
        return;
    }
}

void sidecar_process::send_load_report(const wire::reply_target& to)
{
    wire::envelope reply;
    {
        const std::lock_guard lock(mutex_);
        *reply.mutable_load() = make_load_report();
    }
    links_->reply(to, std::move(reply));
}

wire::load_report sidecar_process::make_load_report() const
{
    wire::load_report report;
    report.set_running(static_cast<std::uint32_t>(window_.running));
    report.set_queued(static_cast<std::uint32_t>(queue_.calls.size()));
    report.set_window(static_cast<std::uint32_t>(scheduling::window_limit(window_)));
    report.set_queued_tokens(queue_.cost_tokens);
    report.set_seconds_per_token(seconds_per_token_);
    report.set_prefill_tokens_per_second(prefill_tokens_per_second_);
    report.set_mean_call_seconds(mean_call_seconds_);
    report.set_suspects(static_cast<std::uint32_t>(table_.suspects.size()));
    report.set_cold(window_.average_latency_seconds == 0);
    return report;
}

void sidecar_process::handle_run(const wire::reply_target& from, const wire::run_request& request)
{
    const std::lock_guard lock(mutex_);
    update_admission(runtime_clock::now());
    scheduling::attempt_offer offered;
    offered.attempt = attempt_id{request.attempt()};
    offered.upstream_incarnation = incarnation_id{request.upstream_incarnation()};
    offered.body = body_hash{request.body_hash()};
    offered.suspect = request.suspect();
    offered.join_only = request.join_only();
    const scheduling::offer_result result = scheduling::offer_attempt(table_, offered);
    switch (result.decision) {
    case scheduling::offer_decision::refuse:
        send_refusal(from, request, result.error);
        return;
    case scheduling::offer_decision::join:
        join_attempt(from, request, records_.at(offered.attempt));
        return;
    case scheduling::offer_decision::queue:
        enqueue(from, request);
        start_queued_attempts();
        return;
    }
}

void sidecar_process::send_refusal(const wire::reply_target& to, const wire::run_request& request,
                                   failure error)
{
    ++refused_count_;
    wire::run_chunk chunk;
    chunk.set_attempt(request.attempt());
    chunk.set_kind(static_cast<std::uint32_t>(chunk_kind::refused));
    chunk.set_failure(static_cast<std::uint32_t>(error));
    chunk.set_detail(find_failure(error).meaning);
    *chunk.mutable_load() = make_load_report();
    send_chunk(to, chunk);
}

void sidecar_process::join_attempt(const wire::reply_target& from, const wire::run_request& request,
                                   const record_ptr& record)
{
    // Either the same entry asks again over a new connection or another entry joins. Send the chunks it is
    // missing.
    for (std::size_t i = request.from_chunk(); i < record->chunks.size(); ++i) {
        send_chunk(from, record->chunks[i]);
    }
    if (record->ended) {
        return;
    }
    std::erase_if(record->receivers, [&](const chunk_receiver& receiver) {
        return receiver.route.identity == from.identity && receiver.route.call == from.call;
    });
    record->receivers.push_back({from});
}

void sidecar_process::enqueue(const wire::reply_target& from, const wire::run_request& request)
{
    const time_point now = runtime_clock::now();
    auto record = std::make_shared<attempt_record>();
    record->request = request;
    record->receivers.push_back({from});
    record->expected_cost =
        scheduling::expected_cost(request.prompt_tokens(), request.cached_tokens(), request.most_tokens());
    scheduling::queued_call call;
    call.attempt = attempt_id{request.attempt()};
    call.organisation = organisation_name{request.organisation()};
    call.program = program_name{request.program()};
    call.weight = request.weight() > 0 ? request.weight() : 1.0;
    call.attained_tokens = request.attained_tokens();
    call.cost_tokens = record->expected_cost;
    call.arrived_at = now;
    if (request.deadline_ms() != 0) {
        call.deadline = now + std::chrono::milliseconds(request.deadline_ms());
    }
    scheduling::push(queue_, call);
    records_[call.attempt] = std::move(record);
}

void sidecar_process::handle_cancel(attempt_id attempt)
{
    const std::lock_guard lock(mutex_);
    const auto found = records_.find(attempt);
    if (found == records_.end() || !found->second->request.repeatable()) {
        return; // a non-repeatable request continues, and its response is kept
    }
    const record_ptr record = found->second;
    record->cancelled = true;
    if (scheduling::remove(queue_, attempt)) {
        scheduling::tombstone(table_, attempt);
        records_.erase(attempt);
        return;
    }
    record->cancel_signal->cancel();
}

void sidecar_process::handle_release(attempt_id attempt)
{
    const std::lock_guard lock(mutex_);
    if (scheduling::status_of(table_, attempt) != scheduling::attempt_status::finished) {
        return;
    }
    scheduling::release(table_, attempt);
    const auto found = records_.find(attempt);
    if (found == records_.end()) {
        return;
    }
    if (found->second->request.ephemeral() && !found->second->request.service()) {
        pool_.spawn(
            free_program_memory(found->second->request.organisation(), found->second->request.program()));
    }
    records_.erase(found);
}

void sidecar_process::handle_free(const wire::reply_target& from, const wire::free_request& request)
{
    pool_.spawn([](sidecar_process* process, wire::reply_target to,
                   wire::free_request program_request) -> boost::asio::awaitable<void> {
        co_await process->free_program_memory(program_request.organisation(), program_request.program());
        wire::envelope reply;
        reply.mutable_done();
        process->links_->reply(to, std::move(reply));
    }(this, from, request));
}

void sidecar_process::handle_order(const wire::reply_target& from, const wire::order_request& request)
{
    bool outdated = false;
    {
        const std::lock_guard lock(mutex_);
        outdated = request.fencing() < fencing_token_;
        fencing_token_ = std::max(fencing_token_, request.fencing());
    }
    wire::envelope reply;
    if (outdated) {
        log_event(event::order_dropped, {{"operation", request.operation()}, {"fencing", request.fencing()}});
        reply.mutable_refused()->set_failure(static_cast<std::uint32_t>(failure::fencing_old));
    }
    else {
        reply.mutable_done();
    }
    links_->reply(from, std::move(reply));
}

void sidecar_process::add_metrics()
{
    const auto locked = [this](auto read) {
        return [this, read] {
            const std::lock_guard lock(mutex_);
            return static_cast<double>(read(*this));
        };
    };
    using process_ref = const sidecar_process&;
    metrics_.add({"guavawick_sidecar_running", "Calls running at the upstream.", false,
                  locked([](process_ref process) { return process.window_.running; }),
                  sidecar_settings_.name});
    metrics_.add({"guavawick_sidecar_queued", "Calls waiting in the queue.", false,
                  locked([](process_ref process) { return process.queue_.calls.size(); }),
                  sidecar_settings_.name});
    metrics_.add({"guavawick_sidecar_window", "Calls that may run concurrently.", false,
                  locked([](process_ref process) { return scheduling::window_limit(process.window_); }),
                  sidecar_settings_.name});
    metrics_.add({"guavawick_sidecar_window_resets_total", "Times that the window was reset to one.", true,
                  locked([](process_ref process) { return process.window_.reset_count; }),
                  sidecar_settings_.name});
    metrics_.add({"guavawick_sidecar_finished_total", "Attempts that ended.", true,
                  locked([](process_ref process) { return process.finished_count_; }),
                  sidecar_settings_.name});
    metrics_.add({"guavawick_sidecar_refused_total", "Attempts that never started.", true,
                  locked([](process_ref process) { return process.refused_count_; }),
                  sidecar_settings_.name});
    metrics_.add({"guavawick_sidecar_unconfirmed", "Attempts kept until their end is confirmed.", false,
                  locked([](process_ref process) { return process.records_.size(); }),
                  sidecar_settings_.name});
}

} // namespace guavawick::sidecar
