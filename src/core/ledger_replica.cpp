// One replica of one ledger group.
#include "core/ledger_replica.hpp"

#include "base/event_type.hpp"
#include "base/failure_type.hpp"

namespace guavawick::core {
namespace {

constexpr std::uint64_t snapshot_entries = 6000; ///< about 12 MB of log at 2 KB an entry
constexpr std::size_t most_waiting = 200;        ///< proposals; a store commits some hundreds a second

const char* to_text(turns::open_outcome outcome)
{
    switch (outcome) {
    case turns::open_outcome::granted:
        return "granted";
    case turns::open_outcome::budget_spent:
        return "budget_spent";
    case turns::open_outcome::unknown_turn:
        return "unknown_turn";
    }
    return "unknown";
}

} // namespace

ledger_replica::ledger_replica(std::uint32_t number, const fleet_settings& given, consensus::member_id disk,
                               wire::link& links)
    : policy_(consensus::make_membership_policy(given.losses, given.data_centres)),
      group_(number, to_replica_settings(given, snapshot_entries), disk, {}, links)
{
    group_.manage_members(policy_, given.data_centre);
}

void ledger_replica::start()
{
    replica::state_machine machine;
    machine.apply = [this](const std::string& command) { return apply(command); };
    machine.save = [this] { return turns::encode_state(state_); };
    machine.restore = [this](const std::string& bytes) { state_ = turns::decode_state(bytes); };
    machine.leadership_changed = [this](bool leads) { lead(leads); };
    machine.tick = [this](time_point) { publish_status(); };
    group_.start(std::move(machine));
}

void ledger_replica::stop()
{
    group_.stop();
}

bool ledger_replica::receive(const wire::envelope& message)
{
    return receive_for_group(group_, message);
}

void ledger_replica::serve(const wire::envelope_ptr& request, answer_function answer)
{
    group_.post([this, request, answer = std::move(answer)] { answer_request(*request, answer); });
}

void ledger_replica::set_contacts(std::vector<std::string> endpoints,
                                  const std::vector<consensus::member>& founders)
{
    group_.set_contacts(std::move(endpoints));
    consensus::membership members;
    members.members = founders;
    group_.found_with(std::move(members));
}

void ledger_replica::set_retiring(std::set<std::string> names)
{
    consensus::membership_policy changed = policy_;
    changed.retiring = std::move(names);
    group_.set_policy(changed);
}

void ledger_replica::answer_request(const wire::envelope& request, const answer_function& answer)
{
    if (!group_.leads()) {
        answer(make_redirect(group_));
        return;
    }
    if (request.has_borrow()) {
        // A former leader that was cut off must not lend beside its successor: may_read() holds for one at a
        // time.
        answer(group_.may_read() ? rates_.borrow(request.borrow(), runtime_clock::now())
                                 : make_redirect(group_));
        return;
    }
    if (request.has_open_turn() && group_.waiting_proposals() > most_waiting) {
        // More would only wait until their callers have gone; the ends of turns still get through.
        wire::envelope refused;
        refused.mutable_refused()->set_failure(static_cast<std::uint32_t>(failure::overloaded));
        log_event(event::turn_opened, {{"request", request.open_turn().request()},
                                       {"group", std::uint64_t{group_.number()}},
                                       {"outcome", "overloaded"},
                                       {"waiting", std::uint64_t{group_.waiting_proposals()}}});
        answer(std::move(refused));
        return;
    }
    if (request.has_open_turn() || request.has_close_turn()) {
        propose(request, answer);
    }
}

void ledger_replica::propose(const wire::envelope& request, const answer_function& answer)
{
    const std::int64_t now_ms = clock_.at(runtime_clock::now()).count();
    wire::turn_command command;
    if (request.has_open_turn()) {
        *command.mutable_open() = request.open_turn();
        command.mutable_open()->set_now_ms(now_ms);
    }
    else {
        *command.mutable_close() = request.close_turn();
        command.mutable_close()->set_now_ms(now_ms);
    }
    group_.propose(command.SerializeAsString(), [this, answer](const wire::envelope* done) {
        answer(done == nullptr ? make_redirect(group_) : *done);
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
    turns::advance_time(state_, turns::group_time{command.close().now_ms()});
    turns::close_turn(state_, turns::from_wire(command.close()));
    reply.mutable_done();
    return reply;
}

wire::envelope ledger_replica::apply_open(const wire::open_turn& wish)
{
    turns::advance_time(state_, turns::group_time{wish.now_ms()});
    const turns::open_result answer = turns::open_turn(state_, turns::from_wire(wish));
    wire::envelope reply;
    wire::open_turn_reply* body = reply.mutable_turn_opened();
    body->set_outcome(static_cast<std::uint32_t>(answer.outcome));
    body->set_history(answer.history);
    body->set_upstream(answer.upstream);
    body->set_spent(answer.spent);
    body->set_reserved(answer.reserved);
    if (group_.leads()) {
        log_event(event::turn_opened, {{"request", wish.request()},
                                       {"group", std::uint64_t{group_.number()}},
                                       {"outcome", to_text(answer.outcome)},
                                       {"budget", wish.budget_tokens()},
                                       {"spent", answer.spent},
                                       {"reserved", answer.reserved},
                                       {"previous", wish.previous()},
                                       {"history_bytes", std::uint64_t{answer.history.size()}},
                                       {"warm", answer.upstream},
                                       {"turns_held", std::uint64_t{state_.turns.size()}}});
    }
    return reply;
}

void ledger_replica::lead(bool leads)
{
    if (leads) {
        clock_ = {state_.now, runtime_clock::now()};
        rates_.take_over(runtime_clock::now());
    }
}

void ledger_replica::publish_status()
{
    auto made = std::make_shared<ledger_status>();
    made->blank = group_.is_blank();
    made->leads = group_.leads() && group_.may_read();
    if (made->leads) {
        made->members = group_.report().members;
    }
    status_.store(std::move(made));
}

} // namespace guavawick::core
