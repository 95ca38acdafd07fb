// Runs attempts at the upstream, forwards their chunks and reports their ends.
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "http/http_error_type.hpp"
#include "sidecar/sidecar_process.hpp"

namespace guavawick::sidecar {

namespace asio = boost::asio;

namespace {

constexpr duration max_run_time = std::chrono::hours(2);
constexpr duration confirmation_timeout = 3s; ///< after it the sidecar reports an unconfirmed end itself
constexpr duration report_timeout = 10s;
constexpr duration free_memory_timeout = 5s;
constexpr double smoothing_factor = 0.1;                 ///< weight of a new sample in an average
constexpr std::uint64_t min_prefill_sample_tokens = 500; ///< a shorter prefill does not measure the speed
constexpr std::size_t max_raw_body_bytes = 64U << 20U;

void update_average(double& average, double sample)
{
    average = average * (1 - smoothing_factor) + sample * smoothing_factor;
}

} // namespace

/// Refuses queued attempts whose deadline has passed and starts others while the window allows. @pre mutex_
/// is held.
void sidecar_process::start_queued_attempts()
{
    const time_point now = runtime_clock::now();
    for (const scheduling::queued_call& expired : scheduling::remove_expired(queue_, now)) {
        const auto found = records_.find(expired.attempt);
        scheduling::tombstone(table_, expired.attempt);
        for (const chunk_receiver& receiver : found->second->receivers) {
            send_refusal(receiver.route, found->second->request, failure::overloaded);
        }
        records_.erase(found);
    }
    while (upstream_alive_ && scheduling::may_start(window_)) {
        const auto next = scheduling::pop(queue_);
        if (!next) {
            return;
        }
        const record_ptr record = records_.at(next->attempt);
        record->started_at = now;
        scheduling::mark_running(table_, next->attempt);
        scheduling::record_start(window_);
        log_event(event::attempt_started, {{"attempt", to_hex(next->attempt.value)},
                                           {"program", record->request.program()},
                                           {"request", record->request.request_id()}});
        pool_.spawn(run_attempt(next->attempt, record));
    }
}

http::request sidecar_process::make_request(const wire::run_request& request) const
{
    http::request result;
    result.method = request.method();
    result.target = request.path();
    result.body = request.body();
    result.headers["Content-Type"] = request.content_type();
    result.headers["X-Request-Id"] = request.request_id();
    result.headers["X-Guavawick-Organisation"] = request.organisation();
    result.headers["X-Guavawick-Program"] = request.program();
    result.headers["X-Guavawick-Attempt"] = to_hex(request.attempt());
    result.headers["X-Guavawick-Priority"] = std::to_string(request.attained_tokens());
    return result;
}

asio::awaitable<void> sidecar_process::run_attempt(attempt_id attempt, record_ptr record)
{
    failure outcome = failure::none;
    bool connection_failed = false;
    try {
        http::chunk_handler on_part = [this, attempt, record](int status, const std::string& content_type,
                                                              std::string part) {
            return receive_part(attempt, record, status, content_type, std::move(part));
        };
        http::request request = make_request(record->request);
        record->status = co_await http::fetch(sidecar_settings_.upstream, std::move(request), max_run_time,
                                              record->cancel_signal, std::move(on_part));
    }
    catch (const http::client_error& error) {
        const std::lock_guard lock(mutex_);
        const bool never_sent = error.sent == http::sent_state::not_sent;
        outcome = record->cancelled ? failure::cancelled
                  : never_sent      ? failure::no_upstream
                                    : failure::upstream_lost;
        connection_failed = !record->cancelled;
    }
    if (connection_failed && !co_await probe_upstream()) {
        co_await handle_upstream_loss();
    }
    const std::lock_guard lock(mutex_);
    if (record->ended) {
        co_return; // handle_upstream_loss() finished it
    }
    finish_attempt(attempt, record, outcome);
    start_queued_attempts();
}

asio::awaitable<bool> sidecar_process::receive_part(attempt_id attempt, record_ptr record, int status,
                                                    const std::string& content_type, std::string part)
{
    const std::lock_guard lock(mutex_);
    if (record->cancelled || record->ended) {
        co_return false;
    }
    record->status = status;
    record->content_type = content_type;
    if (record->first_data_at == time_point{}) {
        const time_point now = runtime_clock::now();
        record->first_data_at = now;
        if (scheduling::record_first_token(
                window_, now - record->started_at,
                scheduling::prefill_allowance(record->request.prompt_tokens(), prefill_tokens_per_second_),
                now)) {
            log_event(event::window_reset, {{"upstream", sidecar_settings_.name}});
        }
        start_queued_attempts();
    }
    add_chunk(record, chunk_kind::part, std::move(part));
    co_return true;
}

/// Stores a chunk and sends it to all receivers. @pre mutex_ is held.
void sidecar_process::add_chunk(const record_ptr& record, chunk_kind kind, std::string data)
{
    wire::run_chunk chunk;
    chunk.set_attempt(record->request.attempt());
    chunk.set_number(record->chunks.size());
    chunk.set_kind(static_cast<std::uint32_t>(kind));
    chunk.set_status(static_cast<std::uint32_t>(record->status));
    chunk.set_content_type(record->content_type);
    record->checksum = crc32c(data, record->checksum);
    if (record->raw_body.size() + data.size() <= max_raw_body_bytes) {
        record->raw_body += data;
    }
    chunk.set_data(std::move(data));
    for (const chunk_receiver& receiver : record->receivers) {
        send_chunk(receiver.route, chunk);
    }
    record->chunks.push_back(std::move(chunk));
}

void sidecar_process::send_chunk(const wire::reply_target& to, const wire::run_chunk& chunk)
{
    wire::envelope message;
    *message.mutable_chunk() = chunk;
    links_->reply(to, std::move(message));
}

/// Records the end of an attempt and sends the end chunk to all receivers. @pre mutex_ is held.
void sidecar_process::finish_attempt(attempt_id attempt, const record_ptr& record, failure outcome)
{
    const time_point now = runtime_clock::now();
    record->ended = true;
    record->ended_at = now;
    const bool streamed =
        !record->request.service() && record->content_type.rfind("text/event-stream", 0) == 0;
    if (streamed) {
        caller::event_splitter splitter;
        for (const std::string& payload : splitter.feed(record->raw_body)) {
            record->answer.feed(payload);
        }
        if (outcome == failure::none && !splitter.done()) {
            outcome = failure::upstream_lost; // the upstream closed the stream before its final event
        }
    }
    record->end_failure = static_cast<std::uint32_t>(outcome);
    scheduling::record_end(window_);
    scheduling::mark_finished(table_, attempt);
    ++finished_count_;
    const std::uint64_t generated_tokens = record->answer.completion_tokens();
    const double seconds = to_seconds(now - record->started_at);
    update_average(mean_call_seconds_, seconds);
    if (generated_tokens > 1 && record->first_data_at != time_point{}) {
        update_average(seconds_per_token_,
                       to_seconds(now - record->first_data_at) / static_cast<double>(generated_tokens));
    }
    const std::uint64_t prefilled_tokens =
        record->answer.prompt_tokens() -
        std::min(record->answer.prompt_tokens(), record->answer.cached_tokens());
    const double seconds_to_first_data = to_seconds(record->first_data_at - record->started_at);
    if (prefilled_tokens > min_prefill_sample_tokens && record->first_data_at != time_point{} &&
        seconds_to_first_data > 0) {
        update_average(prefill_tokens_per_second_,
                       static_cast<double>(prefilled_tokens) / seconds_to_first_data);
    }
    const double actual_cost = scheduling::expected_cost(record->answer.prompt_tokens(),
                                                         record->answer.cached_tokens(), generated_tokens);
    scheduling::correct_charge(queue_, organisation_name{record->request.organisation()},
                               record->expected_cost, actual_cost);
    wire::run_chunk end_chunk;
    end_chunk.set_attempt(record->request.attempt());
    end_chunk.set_number(record->chunks.size());
    end_chunk.set_kind(static_cast<std::uint32_t>(chunk_kind::end));
    end_chunk.set_status(static_cast<std::uint32_t>(record->status));
    end_chunk.set_content_type(record->content_type);
    end_chunk.set_count(record->chunks.size());
    end_chunk.set_checksum(record->checksum);
    end_chunk.set_failure(static_cast<std::uint32_t>(outcome));
    end_chunk.set_prompt_tokens(record->answer.prompt_tokens());
    end_chunk.set_completion_tokens(generated_tokens);
    *end_chunk.mutable_load() = make_load_report();
    for (const chunk_receiver& receiver : record->receivers) {
        send_chunk(receiver.route, end_chunk);
    }
    record->receivers.clear();
    record->chunks.push_back(std::move(end_chunk));
    log_event(event::attempt_finished,
              {{"attempt", to_hex(attempt.value)}, {"failure", find_failure(outcome).name}});
}

/// Handles the loss of the upstream and of all calls running there: reports it to control before any caller
/// receives the failure, then begins a new incarnation. @pre mutex_ is not held.
asio::awaitable<void> sidecar_process::handle_upstream_loss()
{
    wire::envelope report;
    std::vector<std::pair<attempt_id, record_ptr>> running;
    {
        const std::lock_guard lock(mutex_);
        if (!upstream_alive_) {
            co_return; // another attempt reported it
        }
        upstream_alive_ = false;
        report.mutable_loss()->set_upstream(sidecar_settings_.name);
        report.mutable_loss()->set_incarnation(table_.incarnation.value);
        for (const auto& [attempt, record] : records_) {
            if (scheduling::status_of(table_, attempt) == scheduling::attempt_status::running) {
                running.emplace_back(attempt, record);
                report.mutable_loss()->add_body_hashes(record->request.body_hash());
            }
        }
    }
    log_event(event::upstream_lost,
              {{"upstream", sidecar_settings_.name}, {"running", std::uint64_t{running.size()}}});
    try {
        co_await request_from_entry(std::move(report), report_timeout);
    }
    catch (const link_error&) {
        // The entries report the loss for the calls that they hold.
    }
    const std::lock_guard lock(mutex_);
    for (const auto& [attempt, record] : running) {
        if (!record->ended) {
            record->cancel_signal->cancel();
            finish_attempt(attempt, record, failure::upstream_lost);
        }
    }
    for (const attempt_id attempt : scheduling::renew_incarnation(table_, incarnation_id{random_id()})) {
        scheduling::remove(queue_, attempt);
        const record_ptr record = records_.at(attempt);
        for (const chunk_receiver& receiver : record->receivers) {
            send_refusal(receiver.route, record->request, failure::incarnation_mismatch);
        }
        records_.erase(attempt);
    }
    scheduling::reset_window(window_);
    log_event(event::window_reset, {{"upstream", sidecar_settings_.name}});
}

/// Reports ends that no entry has confirmed within the timeout. @pre mutex_ is not held.
void sidecar_process::report_unconfirmed_ends(time_point now)
{
    const std::lock_guard lock(mutex_);
    for (const auto& [attempt, record] : records_) {
        if (record->ended && !record->reporting_end && now - record->ended_at > confirmation_timeout) {
            record->reporting_end = true;
            pool_.spawn(report_end(attempt, record));
        }
    }
}

asio::awaitable<void> sidecar_process::report_end(attempt_id attempt, record_ptr record)
{
    wire::envelope report;
    {
        const std::lock_guard lock(mutex_);
        wire::close_call_request* request = report.mutable_close();
        request->set_organisation(record->request.organisation());
        request->set_program(record->request.program());
        request->set_root(record->request.root());
        request->set_attempt(attempt.value);
        const failure outcome = to_failure(record->end_failure);
        const bool succeeded = outcome == failure::none && record->status > 0 && record->status < 400;
        // Values of ledger::call_outcome.
        constexpr std::uint32_t done = 0;
        constexpr std::uint32_t failed = 1;
        constexpr std::uint32_t not_executed = 2;
        constexpr std::uint32_t unknown = 3;
        constexpr std::uint32_t abandoned = 4;
        const std::uint32_t failure_outcome = outcome == failure::no_upstream ? not_executed
                                              : record->request.repeatable()  ? abandoned
                                                                              : unknown;
        request->set_outcome(outcome != failure::none ? failure_outcome : succeeded ? done : failed);
        request->set_prompt_tokens(record->answer.prompt_tokens());
        request->set_completion_tokens(record->answer.completion_tokens());
        const bool streamed =
            record->content_type.rfind("text/event-stream", 0) == 0 && !record->request.service();
        request->mutable_answer()->set_status(static_cast<std::uint32_t>(record->status));
        request->mutable_answer()->set_content_type(streamed ? "application/json" : record->content_type);
        request->mutable_answer()->set_body(streamed ? record->answer.body() : record->raw_body);
        if (succeeded && streamed) {
            wire::chat_message* message = request->add_messages();
            message->set_role("assistant");
            message->set_content(record->answer.message());
        }
    }
    bool confirmed = false;
    try {
        const wire::envelope_ptr reply = co_await request_from_entry(std::move(report), report_timeout);
        confirmed = reply->has_closed();
    }
    catch (const link_error&) {
        // Retried by report_unconfirmed_ends() after another confirmation timeout.
    }
    if (confirmed) {
        log_event(event::attempt_adopted,
                  {{"attempt", to_hex(attempt.value)}, {"program", record->request.program()}});
        handle_release(attempt);
        co_return;
    }
    const std::lock_guard lock(mutex_);
    record->reporting_end = false;
    record->ended_at = runtime_clock::now();
}

namespace {

http::request make_free_request(const std::string& body)
{
    http::request request;
    request.method = "POST";
    request.target = "/v1/free";
    request.headers["Content-Type"] = "application/json";
    request.body = body;
    return request;
}

} // namespace

asio::awaitable<void> sidecar_process::free_program_memory(std::string organisation, std::string program)
{
    // The entry has validated both names: they contain no characters that JSON must escape.
    http::request request =
        make_free_request(R"({"organisation":")" + organisation + R"(","program":")" + program + R"("})");
    try {
        co_await http::fetch_response(sidecar_settings_.upstream, std::move(request), free_memory_timeout);
        log_event(event::memory_freed, {{"upstream", sidecar_settings_.name}, {"program", program}});
    }
    catch (const http::client_error&) {
        // An unreachable upstream is treated as lost, together with its memory.
    }
}

/// Frees the engine memory retained from before this sidecar's start, which may belong to programs that have
/// ended since.
asio::awaitable<void> sidecar_process::free_all_memory()
{
    http::request request = make_free_request(R"({"all":true})");
    try {
        co_await http::fetch_response(sidecar_settings_.upstream, std::move(request), free_memory_timeout);
    }
    catch (const http::client_error&) {
        // Not every upstream supports freeing memory.
    }
}

} // namespace guavawick::sidecar
