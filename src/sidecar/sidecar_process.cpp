// Requests that entries send to a sidecar.
#include "sidecar/sidecar_process.hpp"

#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"

#include <thread>

namespace guavawick::sidecar {
namespace {

constexpr duration stop_poll = 20ms;
constexpr duration announce_limit = 3s; ///< a stop waits this long for its announcement
constexpr duration lonely_limit =
    10s; ///< a stop waits this long for an entry that takes the ends of attempts

scheduling::window_options make_window_options(const sidecar_settings& own)
{
    return {own.max_window, own.latency_goal};
}

} // namespace

sidecar_process::sidecar_process(const settings& given, const sidecar_settings& own,
                                 runtime::worker_pool& pool)
    : settings_(given), own_(own), pool_(pool), self_(random_id())
{
    table_.incarnation = incarnation_id{random_id()};
    queue_.policy = own.queue == "fifo" ? scheduling::queue_policy::fifo : scheduling::queue_policy::fair;
    window_.options = make_window_options(own);
    view_ = configuration::make_view(0, {});
}

sidecar_process::~sidecar_process()
{
    stopping_.store(true);
}

void sidecar_process::start()
{
    links_ = std::make_unique<wire::link>(pool_.executor(), settings_.links, self_);
    links_->listen(
        own_.listen_link.empty() ? own_.link : own_.listen_link,
        [this](const wire::peer_route& from, const wire::envelope_ptr& message) { receive(from, message); });
    add_metrics();
    if (!settings_.metrics_listen.empty()) {
        metrics_server_ =
            std::make_unique<http::server>(pool_.executor(), settings_.metrics_listen, http::server_limits{},
                                           http::make_metrics_handler(metrics_));
    }
    pool_.spawn(poll_loop());
    pool_.spawn(health_loop());
    pool_.spawn(announce_loop());
    pool_.spawn(check_loop());
}

void sidecar_process::stop()
{
    stopping_.store(true);
    const time_point began = runtime_clock::now();
    while (true) {
        {
            const std::lock_guard lock(mutex_);
            table_.leaving = true;
            // With no entry left to tell, nobody sends anything either.
            const bool told = announced_leaving_ || runtime_clock::now() - began > announce_limit;
            const bool nobody_left = runtime_clock::now() - std::max(began, entry_heard_at_) > lonely_limit;
            if (told && (records_.empty() || (window_.running == 0 && nobody_left))) {
                break;
            }
        }
        std::this_thread::sleep_for(stop_poll);
    }
}

void sidecar_process::close()
{
    if (links_) {
        links_->close();
    }
}

void sidecar_process::receive(const wire::peer_route& from, const wire::envelope_ptr& message)
{
    switch (message->body_case()) {
    case wire::envelope::kRun:
        receive_run(from, message->run());
        return;
    case wire::envelope::kCancel:
        receive_cancel(attempt_id{message->cancel().attempt()});
        return;
    case wire::envelope::kRelease:
        receive_release(attempt_id{message->release().attempt()});
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
        reply_load(from);
        return;
    case wire::envelope::kFreeProgram:
        receive_free(from, message->free_program());
        return;
    case wire::envelope::kOrder:
        receive_order(from, message->order());
        return;
    default:
        log_event(event::link_refused_peer, {{"reason", "unexpected message"}});
        return;
    }
}

void sidecar_process::reply_load(const wire::peer_route& to)
{
    wire::envelope reply;
    {
        const std::lock_guard lock(mutex_);
        *reply.mutable_load() = load();
    }
    links_->reply(to, std::move(reply));
}

wire::load_report sidecar_process::load() const
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

void sidecar_process::receive_run(const wire::peer_route& from, const wire::run_request& request)
{
    const std::lock_guard lock(mutex_);
    refresh_gate(runtime_clock::now());
    scheduling::attempt_offer wish;
    wish.attempt = attempt_id{request.attempt()};
    wish.upstream_incarnation = incarnation_id{request.upstream_incarnation()};
    wish.body = body_hash{request.body_hash()};
    wish.suspect = request.suspect();
    wish.join_only = request.join_only();
    const scheduling::offer_result result = scheduling::offer_attempt(table_, wish);
    switch (result.decision) {
    case scheduling::offer_decision::refuse:
        refuse(from, request, result.reason);
        return;
    case scheduling::offer_decision::join:
        join(from, request, records_.at(wish.attempt));
        return;
    case scheduling::offer_decision::queue:
        enqueue(from, request);
        pump();
        return;
    }
}

void sidecar_process::refuse(const wire::peer_route& to, const wire::run_request& request, failure why)
{
    ++refused_count_;
    wire::run_chunk chunk;
    chunk.set_attempt(request.attempt());
    chunk.set_kind(static_cast<std::uint32_t>(chunk_kind::refused));
    chunk.set_failure(static_cast<std::uint32_t>(why));
    chunk.set_detail(find_failure(why).meaning);
    *chunk.mutable_load() = load();
    send_chunk(to, chunk);
}

void sidecar_process::join(const wire::peer_route& from, const wire::run_request& request,
                           const record_ptr& record)
{
    // The same entry asks again over a new connection, or another entry joins; both get what they lack.
    for (std::size_t i = request.from_chunk(); i < record->chunks.size(); ++i) {
        send_chunk(from, record->chunks[i]);
    }
    if (record->ended) {
        return;
    }
    std::erase_if(record->receivers, [&](const chunk_receiver& one) {
        return one.route.identity == from.identity && one.route.call == from.call;
    });
    record->receivers.push_back({from});
}

void sidecar_process::enqueue(const wire::peer_route& from, const wire::run_request& request)
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

void sidecar_process::receive_cancel(attempt_id attempt)
{
    const std::lock_guard lock(mutex_);
    const auto found = records_.find(attempt);
    if (found == records_.end() || !found->second->request.repeatable()) {
        return; // what may not be repeated runs on and keeps its answer
    }
    const record_ptr record = found->second;
    record->cancelled = true;
    if (scheduling::remove(queue_, attempt)) {
        scheduling::tombstone(table_, attempt);
        records_.erase(attempt);
        return;
    }
    record->stop->cancel();
}

void sidecar_process::receive_release(attempt_id attempt)
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
        pool_.spawn(free_memory(found->second->request.organisation(), found->second->request.program()));
    }
    records_.erase(found);
}

void sidecar_process::receive_free(const wire::peer_route& from, const wire::free_request& request)
{
    pool_.spawn([](sidecar_process* self, wire::peer_route to,
                   wire::free_request wish) -> boost::asio::awaitable<void> {
        co_await self->free_memory(wish.organisation(), wish.program());
        wire::envelope reply;
        reply.mutable_done();
        self->links_->reply(to, std::move(reply));
    }(this, from, request));
}

void sidecar_process::receive_order(const wire::peer_route& from, const wire::order_request& request)
{
    bool old = false;
    {
        const std::lock_guard lock(mutex_);
        old = request.fencing() < control_term_;
        control_term_ = std::max(control_term_, request.fencing());
    }
    wire::envelope reply;
    if (old) {
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
    using self = const sidecar_process&;
    metrics_.add({"guavawick_sidecar_running", "Calls that run at the upstream.", false,
                  locked([](self one) { return one.window_.running; }), own_.name});
    metrics_.add({"guavawick_sidecar_queued", "Calls that wait.", false,
                  locked([](self one) { return one.queue_.calls.size(); }), own_.name});
    metrics_.add({"guavawick_sidecar_window", "Calls that may run at once.", false,
                  locked([](self one) { return scheduling::window_limit(one.window_); }), own_.name});
    metrics_.add({"guavawick_sidecar_window_resets_total", "Times that the window went back to one.", true,
                  locked([](self one) { return one.window_.reset_count; }), own_.name});
    metrics_.add({"guavawick_sidecar_finished_total", "Attempts that ended.", true,
                  locked([](self one) { return one.finished_count_; }), own_.name});
    metrics_.add({"guavawick_sidecar_refused_total", "Attempts that never started.", true,
                  locked([](self one) { return one.refused_count_; }), own_.name});
    metrics_.add({"guavawick_sidecar_unconfirmed", "Attempts kept until their end is confirmed.", false,
                  locked([](self one) { return one.records_.size(); }), own_.name});
}

} // namespace guavawick::sidecar
