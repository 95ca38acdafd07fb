// Runs attempts at the upstream, hands their chunks on and reports their end.
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "http/http_error_type.hpp"
#include "sidecar/sidecar_process.hpp"

namespace guavawick::sidecar {

namespace asio = boost::asio;

namespace {

constexpr duration longest_run = std::chrono::hours(2);
constexpr duration release_limit = 3s; ///< an end that no entry confirmed by then is reported by the sidecar
constexpr duration close_limit = 10s;
constexpr duration free_limit = 5s;
constexpr double smoothing = 0.1;                   ///< of a new figure in an average
constexpr std::uint64_t least_prefill_sample = 500; ///< tokens; a shorter prefill tells nothing of the speed
constexpr std::size_t most_raw_bytes = 64U << 20U;

void smooth(double& average, double fresh)
{
    average = average * (1 - smoothing) + fresh * smoothing;
}

} // namespace

/// @pre mutex_ is held.
void sidecar_process::pump()
{
    const time_point now = runtime_clock::now();
    for (const scheduling::queued_call& late : scheduling::remove_expired(queue_, now)) {
        const auto found = records_.find(late.attempt);
        scheduling::tombstone(table_, late.attempt);
        for (const chunk_receiver& one : found->second->receivers) {
            refuse(one.route, found->second->request, failure::overloaded);
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
        pool_.spawn(run(next->attempt, record));
    }
}

http::request sidecar_process::make_request(const wire::run_request& request) const
{
    http::request made;
    made.method = request.method();
    made.target = request.path();
    made.body = request.body();
    made.headers["Content-Type"] = request.content_type();
    made.headers["X-Request-Id"] = request.request_id();
    made.headers["X-Guavawick-Organisation"] = request.organisation();
    made.headers["X-Guavawick-Program"] = request.program();
    made.headers["X-Guavawick-Attempt"] = to_hex(request.attempt());
    made.headers["X-Guavawick-Priority"] = std::to_string(request.attained_tokens());
    return made;
}

asio::awaitable<void> sidecar_process::run(attempt_id attempt, record_ptr record)
{
    failure why = failure::none;
    bool lost = false;
    try {
        http::part_handler parts = [this, attempt, record](int status, const std::string& content_type,
                                                           std::string part) {
            return take_part(attempt, record, status, content_type, std::move(part));
        };
        http::request request = make_request(record->request);
        record->status = co_await http::fetch(own_.upstream, std::move(request), longest_run, record->stop,
                                              std::move(parts));
    }
    catch (const http::client_error& fault) {
        const std::lock_guard lock(mutex_);
        const bool never_sent = fault.sent == http::sent_state::not_sent;
        why = record->cancelled ? failure::cancelled
              : never_sent      ? failure::no_upstream
                                : failure::upstream_lost;
        lost = !record->cancelled;
    }
    if (lost && !co_await is_upstream_alive()) {
        co_await note_upstream_lost();
    }
    const std::lock_guard lock(mutex_);
    if (record->ended) {
        co_return; // note_upstream_lost() ended it
    }
    end(attempt, record, why);
    pump();
}

asio::awaitable<bool> sidecar_process::take_part(attempt_id attempt, record_ptr record, int status,
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
            log_event(event::window_reset, {{"upstream", own_.name}});
        }
        pump();
    }
    add_chunk(record, chunk_kind::part, std::move(part));
    co_return true;
}

/// @pre mutex_ is held.
void sidecar_process::add_chunk(const record_ptr& record, chunk_kind kind, std::string data)
{
    wire::run_chunk chunk;
    chunk.set_attempt(record->request.attempt());
    chunk.set_number(record->chunks.size());
    chunk.set_kind(static_cast<std::uint32_t>(kind));
    chunk.set_status(static_cast<std::uint32_t>(record->status));
    chunk.set_content_type(record->content_type);
    record->checksum = crc32c(data, record->checksum);
    if (record->raw.size() + data.size() <= most_raw_bytes) {
        record->raw += data;
    }
    chunk.set_data(std::move(data));
    for (const chunk_receiver& one : record->receivers) {
        send_chunk(one.route, chunk);
    }
    record->chunks.push_back(std::move(chunk));
}

void sidecar_process::send_chunk(const wire::peer_route& to, const wire::run_chunk& chunk)
{
    wire::envelope message;
    *message.mutable_chunk() = chunk;
    links_->reply(to, std::move(message));
}

/// @pre mutex_ is held.
void sidecar_process::end(attempt_id attempt, const record_ptr& record, failure why)
{
    const time_point now = runtime_clock::now();
    record->ended = true;
    record->ended_at = now;
    const bool streamed =
        !record->request.service() && record->content_type.rfind("text/event-stream", 0) == 0;
    if (streamed) {
        caller::event_splitter splitter;
        for (const std::string& payload : splitter.feed(record->raw)) {
            record->answer.feed(payload);
        }
        if (why == failure::none && !splitter.done()) {
            why = failure::upstream_lost; // the upstream closed the stream before its closing event
        }
    }
    record->why = static_cast<std::uint32_t>(why);
    scheduling::record_end(window_);
    scheduling::mark_finished(table_, attempt);
    ++finished_count_;
    const std::uint64_t generated = record->answer.completion_tokens();
    const double seconds = to_seconds(now - record->started_at);
    smooth(mean_call_seconds_, seconds);
    if (generated > 1 && record->first_data_at != time_point{}) {
        smooth(seconds_per_token_, to_seconds(now - record->first_data_at) / static_cast<double>(generated));
    }
    const std::uint64_t prefilled = record->answer.prompt_tokens() -
                                    std::min(record->answer.prompt_tokens(), record->answer.cached_tokens());
    const double first_seconds = to_seconds(record->first_data_at - record->started_at);
    if (prefilled > least_prefill_sample && record->first_data_at != time_point{} && first_seconds > 0) {
        smooth(prefill_tokens_per_second_, static_cast<double>(prefilled) / first_seconds);
    }
    const double real =
        scheduling::expected_cost(record->answer.prompt_tokens(), record->answer.cached_tokens(), generated);
    scheduling::correct_charge(queue_, organisation_name{record->request.organisation()},
                               record->expected_cost, real);
    wire::run_chunk last;
    last.set_attempt(record->request.attempt());
    last.set_number(record->chunks.size());
    last.set_kind(static_cast<std::uint32_t>(chunk_kind::end));
    last.set_status(static_cast<std::uint32_t>(record->status));
    last.set_content_type(record->content_type);
    last.set_count(record->chunks.size());
    last.set_checksum(record->checksum);
    last.set_failure(static_cast<std::uint32_t>(why));
    last.set_prompt_tokens(record->answer.prompt_tokens());
    last.set_completion_tokens(generated);
    *last.mutable_load() = load();
    for (const chunk_receiver& one : record->receivers) {
        send_chunk(one.route, last);
    }
    record->receivers.clear();
    record->chunks.push_back(std::move(last));
    log_event(event::attempt_finished,
              {{"attempt", to_hex(attempt.value)}, {"failure", find_failure(why).name}});
}

/// The upstream is gone with all that ran there: tells control before any caller hears of it, then starts
/// anew.
asio::awaitable<void> sidecar_process::note_upstream_lost()
{
    wire::envelope report;
    std::vector<std::pair<attempt_id, record_ptr>> running;
    {
        const std::lock_guard lock(mutex_);
        if (!upstream_alive_) {
            co_return; // another attempt reported it
        }
        upstream_alive_ = false;
        report.mutable_loss()->set_upstream(own_.name);
        report.mutable_loss()->set_incarnation(table_.incarnation.value);
        for (const auto& [attempt, record] : records_) {
            if (scheduling::status_of(table_, attempt) == scheduling::attempt_status::running) {
                running.emplace_back(attempt, record);
                report.mutable_loss()->add_body_hashes(record->request.body_hash());
            }
        }
    }
    log_event(event::upstream_lost, {{"upstream", own_.name}, {"running", std::uint64_t{running.size()}}});
    try {
        co_await ask_entry(std::move(report), close_limit);
    }
    catch (const link_error&) {
        // The entries report the loss themselves for the calls that they hold.
    }
    const std::lock_guard lock(mutex_);
    for (const auto& [attempt, record] : running) {
        if (!record->ended) {
            record->stop->cancel();
            end(attempt, record, failure::upstream_lost);
        }
    }
    for (const attempt_id attempt : scheduling::renew_incarnation(table_, incarnation_id{random_id()})) {
        scheduling::remove(queue_, attempt);
        const record_ptr record = records_.at(attempt);
        for (const chunk_receiver& one : record->receivers) {
            refuse(one.route, record->request, failure::incarnation_mismatch);
        }
        records_.erase(attempt);
    }
    scheduling::reset_window(window_);
    log_event(event::window_reset, {{"upstream", own_.name}});
}

/// Reports the ends that no entry has confirmed. @pre mutex_ is not held.
void sidecar_process::adopt_finished(time_point now)
{
    const std::lock_guard lock(mutex_);
    for (const auto& [attempt, record] : records_) {
        if (record->ended && !record->closing && now - record->ended_at > release_limit) {
            record->closing = true;
            pool_.spawn(close_self(attempt, record));
        }
    }
}

asio::awaitable<void> sidecar_process::close_self(attempt_id attempt, record_ptr record)
{
    wire::envelope report;
    {
        const std::lock_guard lock(mutex_);
        wire::close_call_request* close = report.mutable_close();
        close->set_organisation(record->request.organisation());
        close->set_program(record->request.program());
        close->set_root(record->request.root());
        close->set_attempt(attempt.value);
        const failure why = to_failure(record->why);
        const bool answered = why == failure::none && record->status > 0 && record->status < 400;
        // Numbers of ledger::call_outcome.
        constexpr std::uint32_t done = 0;
        constexpr std::uint32_t failed = 1;
        constexpr std::uint32_t not_run = 2;
        constexpr std::uint32_t unknown = 3;
        constexpr std::uint32_t abandoned = 4;
        const std::uint32_t cut = why == failure::no_upstream    ? not_run
                                  : record->request.repeatable() ? abandoned
                                                                 : unknown;
        close->set_outcome(why != failure::none ? cut : answered ? done : failed);
        close->set_prompt_tokens(record->answer.prompt_tokens());
        close->set_completion_tokens(record->answer.completion_tokens());
        const bool streamed =
            record->content_type.rfind("text/event-stream", 0) == 0 && !record->request.service();
        close->mutable_answer()->set_status(static_cast<std::uint32_t>(record->status));
        close->mutable_answer()->set_content_type(streamed ? "application/json" : record->content_type);
        close->mutable_answer()->set_body(streamed ? record->answer.body() : record->raw);
        if (answered && streamed) {
            wire::chat_message* message = close->add_messages();
            message->set_role("assistant");
            message->set_content(record->answer.message());
        }
    }
    bool confirmed = false;
    try {
        const wire::envelope_ptr reply = co_await ask_entry(std::move(report), close_limit);
        confirmed = reply->has_closed();
    }
    catch (const link_error&) {
        // Tried again after the next check.
    }
    if (confirmed) {
        log_event(event::attempt_adopted,
                  {{"attempt", to_hex(attempt.value)}, {"program", record->request.program()}});
        receive_release(attempt);
        co_return;
    }
    const std::lock_guard lock(mutex_);
    record->closing = false;
    record->ended_at = runtime_clock::now();
}

namespace {

http::request make_free_request(const std::string& body)
{
    http::request wish;
    wish.method = "POST";
    wish.target = "/v1/free";
    wish.headers["Content-Type"] = "application/json";
    wish.body = body;
    return wish;
}

} // namespace

asio::awaitable<void> sidecar_process::free_memory(std::string organisation, std::string program)
{
    // Both names were checked by the entry: they hold no character that JSON escapes.
    http::request wish =
        make_free_request(R"({"organisation":")" + organisation + R"(","program":")" + program + R"("})");
    try {
        co_await http::fetch_whole(own_.upstream, std::move(wish), free_limit);
        log_event(event::memory_freed, {{"upstream", own_.name}, {"program", program}});
    }
    catch (const http::client_error&) {
        // An upstream that can't be reached is taken for lost, and its memory with it.
    }
}

/// Frees what an engine may still hold from before this sidecar's start, also of programs that ended
/// meanwhile.
asio::awaitable<void> sidecar_process::free_all_memory()
{
    http::request wish = make_free_request(R"({"all":true})");
    try {
        co_await http::fetch_whole(own_.upstream, std::move(wish), free_limit);
    }
    catch (const http::client_error&) {
        // Not every upstream has engine memory to free.
    }
}

} // namespace guavawick::sidecar
