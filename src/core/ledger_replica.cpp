// One replica of a ledger group.
#include "core/ledger_replica.hpp"

#include "base/event_type.hpp"
#include "base/failure_type.hpp"

namespace guavawick::core {
namespace {

constexpr std::uint64_t snapshot_entries = 20000; ///< a snapshot is due earlier by the bytes of the log
constexpr std::uint64_t max_history_part =
    256U << 10U; ///< bytes of a history in one message, unless a single content is larger
constexpr std::size_t max_pending_proposals = 200; ///< a store commits some hundreds of proposals a second

const char* to_string(turns::open_outcome outcome)
{
    switch (outcome) {
    case turns::open_outcome::granted:
        return "granted";
    case turns::open_outcome::budget_spent:
        return "budget_spent";
    case turns::open_outcome::closed:
        return "closed";
    case turns::open_outcome::unknown_turn:
        return "unknown_turn";
    }
    return "unknown";
}

} // namespace

ledger_replica::ledger_replica(std::uint32_t number, const fleet_settings& settings,
                               consensus::member_id disk_id, wire::link& links, content_gate& gate)
    : policy_(consensus::make_membership_policy(settings.tolerated_failures, settings.data_centre_count)),
      gate_(gate), contents_(settings.data_folder + "/group-" + std::to_string(number) + "/contents"),
      group_(number, make_replica_settings(settings, snapshot_entries), disk_id, {}, links)
{
    group_.enable_managed_membership(policy_, settings.data_centre);
}

void ledger_replica::start()
{
    replica::state_machine machine;
    machine.apply = [this](const std::string& command) { return apply(command); };
    machine.save = [this] {
        contents_.sync();
        import_ = {}; // a member that applies entries no longer needs what it copied for an import
        return turns::encode_state(state_);
    };
    machine.restore = [this](const std::string& bytes) {
        state_ = turns::decode_state(bytes,
                                     [this](std::string_view content) { return contents_.append(content); });
    };
    machine.contents = make_content_callbacks();
    machine.leadership_changed = [this](bool leads) { handle_leadership_change(leads); };
    machine.tick = [this](time_point) {
        publish_status();
        gate_.check();
    };
    group_.start(std::move(machine));
}

replica::content_callbacks ledger_replica::make_content_callbacks()
{
    replica::content_callbacks callbacks;
    callbacks.read = [this](const std::vector<content_range>& ranges, std::string& into) {
        for (const content_range& range : ranges) {
            contents_.read(range, into);
        }
    };
    callbacks.begin_import = [this](const std::string& encoded) { begin_import(import_, encoded, state_); };
    callbacks.next_missing = [this] { return next_missing(import_); };
    callbacks.add = [this](const std::string& bytes) {
        add_contents(import_, bytes, [this](std::string_view content) { return contents_.append(content); });
    };
    callbacks.finish_import = [this] {
        contents_.sync();
        return turns::encode_state(take_state(import_));
    };
    callbacks.remove_unused = [this] { remove_unused_contents(); };
    return callbacks;
}

void ledger_replica::remove_unused_contents()
{
    std::set<std::uint32_t> used;
    for (const auto& [key, turn] : state_.turns) {
        used.insert(turn.content.segment);
    }
    for (const auto& [key, content] : import_.copied) {
        used.insert(content.segment);
    }
    contents_.remove_unused(used);
}

void ledger_replica::stop()
{
    group_.stop();
}

bool ledger_replica::receive(const wire::envelope& message)
{
    return dispatch_to_group(group_, message);
}

void ledger_replica::handle_request(const wire::envelope_ptr& request, reply_function send_reply)
{
    group_.post(
        [this, request, send_reply = std::move(send_reply)] { process_request(*request, send_reply); });
}

void ledger_replica::set_contacts(std::vector<std::string> endpoints,
                                  const std::vector<consensus::member>& initial_members)
{
    group_.set_contacts(std::move(endpoints));
    consensus::membership membership;
    membership.members = initial_members;
    group_.bootstrap(std::move(membership));
}

void ledger_replica::set_retiring_stores(std::set<std::string> names)
{
    consensus::membership_policy policy = policy_;
    policy.retiring = std::move(names);
    group_.set_membership_policy(policy);
}

void ledger_replica::process_request(const wire::envelope& request, const reply_function& send_reply)
{
    if (!group_.leads()) {
        send_reply(make_redirect(group_));
        return;
    }
    if (request.has_borrow()) {
        // A former leader that is cut off must not lend tokens while its successor does. has_read_lease()
        // holds on one replica at a time.
        send_reply(group_.has_read_lease() ? rate_owner_.borrow(request.borrow(), runtime_clock::now())
                                           : make_redirect(group_));
        return;
    }
    if (request.has_open_turn()) {
        // Further turns would wait until their callers have given up, or their contents would not fit. Turns
        // can still be closed.
        const bool overloaded = group_.pending_proposals() > max_pending_proposals;
        if (overloaded || !admits_turns_.load()) {
            refuse(request.open_turn(), overloaded ? "overloaded" : "store_full", send_reply);
            return;
        }
        propose_open(request.open_turn(), send_reply);
    }
    else if (request.has_content_offer()) {
        handle_offer(request.content_offer(), send_reply);
    }
    else if (request.has_history_query()) {
        handle_history_query(request.history_query(), send_reply);
    }
    else if (request.has_close_turn()) {
        propose_close(request.close_turn(), send_reply);
    }
    else if (request.has_record_stream()) {
        propose_stream(request.record_stream(), send_reply);
    }
}

void ledger_replica::refuse(const wire::open_turn& request, const char* outcome,
                            const reply_function& send_reply)
{
    wire::envelope refusal;
    refusal.mutable_refused()->set_failure(static_cast<std::uint32_t>(failure::overloaded));
    log_event(event::turn_opened, {{"request", request.request()},
                                   {"group", std::uint64_t{group_.number()}},
                                   {"outcome", outcome},
                                   {"waiting", std::uint64_t{group_.pending_proposals()}}});
    send_reply(std::move(refusal));
}

void ledger_replica::handle_offer(const wire::content_offer& request, const reply_function& send_reply)
{
    const turns::turn_key turn{organisation_name{request.organisation()}, request_name{request.request()}};
    if (state_.turns.contains(turn)) {
        send_reply(make_offer_reply(offer_outcome::stored));
        return;
    }
    const time_point deadline = runtime_clock::now() + std::chrono::milliseconds(request.timeout_ms());
    gate_.offer({{group_.number(), turn}, request.bytes(), deadline}, send_reply);
}

void ledger_replica::handle_history_query(const wire::history_query& request,
                                          const reply_function& send_reply)
{
    const turns::turn_key last{organisation_name{request.organisation()}, request_name{request.last()}};
    const std::vector<content_range> part =
        turns::select_part(turns::find_history(state_, last), request.first(), max_history_part);
    if (part.empty() && !group_.has_read_lease()) {
        send_reply(make_redirect(group_)); // entries that store the turn may not be applied yet
        return;
    }
    std::uint64_t bytes = 0;
    for (const content_range& content : part) {
        bytes += content.size;
    }
    wire::envelope reply;
    wire::history_part* body = reply.mutable_history_part();
    if (bytes > max_inline_content && !gate_.begin_timed({group_.number(), last}, bytes)) {
        body->set_busy(true);
        send_reply(std::move(reply));
        return;
    }
    for (const content_range& content : part) {
        contents_.read(content, *body->mutable_bytes());
    }
    body->set_contents(static_cast<std::uint32_t>(part.size()));
    send_reply(std::move(reply));
}

void ledger_replica::propose_open(const wire::open_turn& request, const reply_function& send_reply)
{
    const content_key key{group_.number(),
                          {organisation_name{request.organisation()}, request_name{request.request()}}};
    if (request.content_bytes() > 0 &&
        !gate_.reserve(key, request.content_bytes(), std::chrono::milliseconds(request.run_timeout_ms()))) {
        refuse(request, "no_room_for_content", send_reply);
        return;
    }
    wire::turn_command command;
    *command.mutable_open() = request;
    command.mutable_open()->set_now_ms(clock_.at(runtime_clock::now()).count());
    group_.propose(command.SerializeAsString(), [this, key, send_reply](const wire::envelope* result) {
        const bool granted =
            result != nullptr &&
            result->turn_opened().outcome() == static_cast<std::uint32_t>(turns::open_outcome::granted);
        if (!granted) {
            gate_.release(key);
        }
        send_reply(result == nullptr ? make_redirect(group_) : *result);
    });
}

void ledger_replica::propose_close(const wire::close_turn& request, const reply_function& send_reply)
{
    const turns::turn_key turn{organisation_name{request.organisation()}, request_name{request.request()}};
    const content_key key{group_.number(), turn};
    const std::uint64_t bytes = request.input().size() + request.output().size();
    const bool is_large = bytes > max_inline_content;
    if (const auto found = closings_.find(turn); is_large && found != closings_.end()) {
        found->second.push_back(send_reply); // sent again before it was committed
        return;
    }
    if (is_large && !gate_.begin(key, bytes)) {
        wire::envelope refusal;
        refusal.mutable_refused()->set_failure(static_cast<std::uint32_t>(failure::overloaded));
        send_reply(std::move(refusal));
        return;
    }
    if (is_large) {
        closings_[turn] = {};
    }
    wire::turn_command command;
    *command.mutable_close() = request;
    command.mutable_close()->set_now_ms(clock_.at(runtime_clock::now()).count());
    group_.propose(command.SerializeAsString(),
                   [this, key, is_large, send_reply](const wire::envelope* result) {
                       const wire::envelope reply = result == nullptr ? make_redirect(group_) : *result;
                       gate_.release(key);
                       send_reply(reply);
                       if (!is_large) {
                           return;
                       }
                       for (const reply_function& send_again : closings_[key.turn]) {
                           send_again(reply);
                       }
                       closings_.erase(key.turn);
                       gate_.end(key, result != nullptr);
                   });
}

void ledger_replica::propose_stream(const wire::record_stream& request, const reply_function& send_reply)
{
    wire::turn_command command;
    *command.mutable_stream() = request;
    command.mutable_stream()->set_now_ms(clock_.at(runtime_clock::now()).count());
    group_.propose(command.SerializeAsString(), [this, send_reply](const wire::envelope* result) {
        send_reply(result == nullptr ? make_redirect(group_) : *result);
    });
}

wire::envelope ledger_replica::apply(const std::string& bytes)
{
    wire::turn_command command;
    wire::envelope reply;
    if (!command.ParseFromString(bytes)) {
        log_event(event::link_refused_peer, {{"reason", "a committed command does not decode"}});
        return reply;
    }
    if (command.has_open()) {
        return apply_open(command.open());
    }
    if (command.has_stream()) {
        turns::advance_time(state_, turns::group_time{command.stream().now_ms()});
        turns::record_stream(state_, turns::from_wire(command.stream()));
        reply.mutable_done();
        return reply;
    }
    return apply_close(*command.mutable_close());
}

wire::envelope ledger_replica::apply_close(wire::close_turn& request)
{
    turns::advance_time(state_, turns::group_time{request.now_ms()});
    const turns::close_request closing = turns::from_wire(request);
    content_range content;
    if (turns::stores_content(state_, closing)) {
        request.mutable_input()->append(request.output());
        content = contents_.append(request.input());
    }
    const turns::close_result result = turns::close_turn(state_, closing, content);
    wire::envelope reply;
    if (result.accepted) {
        reply.mutable_done();
        return reply;
    }
    reply.mutable_refused()->set_failure(static_cast<std::uint32_t>(failure::not_found));
    if (group_.leads()) {
        log_event(event::turn_not_stored, {{"request", request.request()},
                                           {"group", std::uint64_t{group_.number()}},
                                           {"previous", request.previous()},
                                           {"missing", result.missing.value}});
    }
    return reply;
}

wire::envelope ledger_replica::apply_open(const wire::open_turn& request)
{
    turns::advance_time(state_, turns::group_time{request.now_ms()});
    const turns::open_result result = turns::open_turn(state_, turns::from_wire(request));
    wire::envelope reply;
    wire::open_turn_reply* body = reply.mutable_turn_opened();
    body->set_outcome(static_cast<std::uint32_t>(result.outcome));
    if (group_.leads()) { // the other members' replies go nowhere
        std::vector<content_range> sent = result.history;
        if (request.accepts_history_parts()) {
            sent = turns::select_part(result.history, 0, max_history_part);
            if (!sent.empty() && sent.front().size > max_history_part) {
                sent.clear(); // queried when there is room for it
            }
        }
        for (const content_range& content : sent) {
            contents_.read(content, *body->mutable_history());
        }
        body->set_history_contents(static_cast<std::uint32_t>(result.history.size()));
        body->set_history_sent(static_cast<std::uint32_t>(sent.size()));
    }
    body->set_upstream(result.upstream);
    body->set_spent(result.spent);
    body->set_reserved(result.reserved);
    body->set_takes_offers(true);
    if (result.origin) {
        turns::to_wire(*result.origin, body->mutable_origin());
    }
    if (group_.leads()) {
        log_event(event::turn_opened, {{"request", request.request()},
                                       {"group", std::uint64_t{group_.number()}},
                                       {"outcome", to_string(result.outcome)},
                                       {"budget", request.budget_tokens()},
                                       {"spent", result.spent},
                                       {"reserved", result.reserved},
                                       {"previous", request.previous()},
                                       {"missing", result.missing.value},
                                       {"history_bytes", std::uint64_t{body->history().size()}},
                                       {"warm", result.upstream},
                                       {"turns_held", std::uint64_t{state_.turns.size()}}});
    }
    return reply;
}

void ledger_replica::handle_leadership_change(bool leads)
{
    if (leads) {
        clock_ = {state_.now, runtime_clock::now()};
        rate_owner_.take_over(runtime_clock::now());
        return;
    }
    gate_.drop_group(group_.number());
}

void ledger_replica::publish_status()
{
    auto status = std::make_shared<ledger_replica_status>();
    status->blank = group_.is_blank();
    status->content_bytes = contents_.size();
    status->leads = group_.leads() && group_.has_read_lease();
    replica::group_report report = group_.report();
    if (status->leads && report.members_committed) {
        status->members = std::move(report.members);
    }
    status_.store(std::move(status));
}

} // namespace guavawick::core
