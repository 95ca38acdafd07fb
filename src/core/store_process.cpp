// The store role of a fleet.
#include "core/store_process.hpp"

#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "core/group_metrics.hpp"

#include <algorithm>

namespace guavawick::core {
namespace {

constexpr std::uint32_t ledger_group = 1;
constexpr std::uint64_t snapshot_entries = 6000; ///< about 12 MB of log at 2 KB an entry
constexpr std::size_t most_waiting = 200;        ///< proposals; a store commits some hundreds a second
constexpr duration report_interval = 300ms;      ///< of stores to control; a third of the fastest repair

} // namespace

store_process::store_process(const fleet_settings& given, runtime::worker_pool& pool)
    : settings_(given), pool_(pool), disk_(replica::open_identity(given.data_folder)), controls_(given.seeds)
{
    if (disk_.blank) {
        log_event(event::disk_blank, {{"replica", settings_.node}, {"disk", to_hex(disk_.id.value)}});
    }
    links_ =
        std::make_unique<wire::link>(pool_.executor(), make_link_settings(), incarnation_id{random_id()});
    group_ = std::make_unique<replica::group>(ledger_group, to_replica_settings(given, snapshot_entries),
                                              disk_.id, std::vector<replica_address>{}, *links_);
    group_->manage_members(consensus::make_policy(settings_.losses, settings_.data_centres),
                           settings_.data_centre);
}

store_process::~store_process() = default;

void store_process::start()
{
    replica::state_machine machine;
    machine.apply = [this](const std::string& command) { return apply(command); };
    machine.save = [this] { return turns::encode_state(state_); };
    machine.restore = [this](const std::string& bytes) { state_ = turns::decode_state(bytes); };
    machine.leadership_changed = [this](bool leads) { lead(leads); };
    machine.tick = [](time_point) {};
    group_->start(std::move(machine));
    links_->listen(settings_.link, [this](const wire::peer_route& from, const wire::envelope_ptr& message) {
        receive(from, message);
    });
    if (!settings_.metrics_listen.empty()) {
        add_group_metrics(metrics_, *group_);
        metrics_server_ =
            std::make_unique<http::server>(pool_.executor(), settings_.metrics_listen, http::server_limits{},
                                           http::make_metrics_handler(metrics_));
    }
    pool_.spawn(report_loop());
}

void store_process::set_seeds(const std::vector<std::string>& seeds)
{
    group_->post([this, seeds] {
        for (const std::string& one : seeds) {
            if (std::find(controls_.begin(), controls_.end(), one) == controls_.end()) {
                controls_.push_back(one);
            }
        }
    });
}

void store_process::stop()
{
    running_.store(false);
    group_->stop();
}

void store_process::close()
{
    links_->close();
}

void store_process::receive(const wire::peer_route& from, const wire::envelope_ptr& message)
{
    if (receive_for_group(*group_, *message)) {
        return;
    }
    if (message->has_hello()) {
        group_->post([this, message] { take_hello(message->hello()); });
        return;
    }
    group_->post([this, from, message] {
        serve(message, [this, from](wire::envelope reply) { links_->reply(from, std::move(reply)); });
    });
}

void store_process::serve(const wire::envelope_ptr& request, const answer_function& answer)
{
    if (!group_->leads()) {
        answer(make_redirect(*group_));
        return;
    }
    if (request->has_open_turn() && group_->waiting_proposals() > most_waiting) {
        // More would only wait until their callers have gone; the ends of turns still get through.
        wire::envelope refused;
        refused.mutable_refused()->set_failure(static_cast<std::uint32_t>(failure::overloaded));
        log_event(event::turn_opened, {{"request", request->open_turn().request()},
                                       {"outcome", "overloaded"},
                                       {"waiting", std::uint64_t{group_->waiting_proposals()}}});
        answer(std::move(refused));
        return;
    }
    if (request->has_open_turn() || request->has_close_turn()) {
        propose(*request, answer);
    }
}

void store_process::propose(const wire::envelope& request, const answer_function& answer)
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
    group_->propose(command.SerializeAsString(), [this, answer](const wire::envelope* done) {
        answer(done == nullptr ? make_redirect(*group_) : *done);
    });
}

wire::envelope store_process::apply(const std::string& bytes)
{
    wire::turn_command command;
    wire::envelope reply;
    if (!command.ParseFromString(bytes)) {
        log_event(event::link_refused_peer, {{"reason", "a committed command does not decode"}});
        return reply;
    }
    if (command.has_open()) {
        turns::advance(state_, turns::group_time{command.open().now_ms()});
        const turns::open_answer answer = turns::open(state_, turns::from_wire(command.open()));
        wire::open_turn_reply* body = reply.mutable_turn_opened();
        body->set_outcome(static_cast<std::uint32_t>(answer.outcome));
        body->set_history(answer.history);
        body->set_upstream(answer.upstream);
        body->set_spent(answer.spent);
        body->set_reserved(answer.reserved);
        if (group_->leads() && answer.outcome != turns::open_outcome::granted) {
            log_event(event::turn_opened, {{"request", command.open().request()},
                                           {"outcome", std::uint64_t{body->outcome()}},
                                           {"budget", command.open().budget_tokens()},
                                           {"spent", answer.spent},
                                           {"reserved", answer.reserved},
                                           {"previous", command.open().previous()},
                                           {"turns_held", std::uint64_t{state_.turns.size()}}});
        }
        return reply;
    }
    turns::advance(state_, turns::group_time{command.close().now_ms()});
    turns::close(state_, turns::from_wire(command.close()));
    reply.mutable_done();
    return reply;
}

void store_process::lead(bool leads)
{
    if (leads) {
        clock_ = {state_.now, runtime_clock::now()};
    }
}

void store_process::take_hello(const wire::control_hello& hello)
{
    const std::string bytes = hello.SerializeAsString();
    if (bytes == known_hello_) {
        return;
    }
    known_hello_ = bytes;
    if (hello.control_size() > 0) {
        controls_.assign(hello.control().begin(), hello.control().end());
    }
    std::vector<std::string> contacts;
    for (const wire::peer_address& one : hello.stores()) {
        contacts.push_back(one.endpoint());
    }
    // Before the first members are chosen there is nobody to join.
    if (hello.founders_size() > 0) {
        group_->set_contacts(contacts);
        consensus::membership founders;
        for (const wire::member& one : hello.founders()) {
            founders.members.push_back(
                {consensus::member_id{one.id()}, one.name(), one.endpoint(), true, 0, one.data_centre()});
        }
        group_->found_with(std::move(founders));
    }
    consensus::membership_policy policy = consensus::make_policy(settings_.losses, settings_.data_centres);
    policy.retiring.insert(hello.retiring().begin(), hello.retiring().end());
    group_->set_policy(policy);
}

void store_process::report(time_point now)
{
    wire::envelope message;
    wire::subscribe_request* body = message.mutable_subscribe();
    body->set_endpoint(settings_.link);
    body->set_name(settings_.node);
    body->set_role("store");
    body->set_data_centre(settings_.data_centre);
    wire::store_report* store = body->mutable_store();
    const replica::group_report known = group_->report();
    store->set_disk(disk_.id.value);
    store->set_blank(group_->is_blank());
    store->set_leads(group_->leads() && group_->may_read());
    for (const replica::member_report& one : known.members) {
        if (one.who.id == disk_.id) {
            store->set_in_group(true);
        }
        if (!store->leads()) {
            continue;
        }
        wire::member* made = store->add_members();
        made->set_id(one.who.id.value);
        made->set_name(one.who.name);
        made->set_endpoint(one.who.endpoint);
        made->set_voter(one.who.voter);
        made->set_in_touch(one.in_touch);
        made->set_data_centre(one.who.data_centre);
    }
    for (const std::string& endpoint : controls_) {
        links_->send(endpoint, message);
    }
}

boost::asio::awaitable<void> store_process::report_loop()
{
    while (running_.load()) {
        group_->post([this] { report(runtime_clock::now()); });
        co_await runtime::wait_for(report_interval);
    }
}

} // namespace guavawick::core
