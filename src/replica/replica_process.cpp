// The replica role: dispatch of messages and the replica's status.
#include "replica/replica_process.hpp"

#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "core/group_metrics.hpp"
#include "operator/operator_api.hpp"
#include "replica/consensus_codec.hpp"
#include "replica/redirect_func.hpp"
#include "wire.pb.h"

namespace guavawick::replica {

replica_process::replica_process(const settings& process_settings, runtime::worker_pool& pool)
    : settings_(process_settings), pool_(pool), incarnation_(random_id()),
      disk_(open_identity(process_settings.replica.data_folder))
{
    if (disk_.blank) {
        log_event(event::disk_blank, {{"replica", settings_.replica.name}, {"disk", to_hex(disk_.id.value)}});
    }
    links_ = std::make_unique<wire::link>(pool_.executor(), settings_.links, incarnation_);
    client_ = std::make_unique<wire::group_client>(*links_, settings_.replicas);
    for (std::uint32_t number = 0; number <= settings_.replica.ledger_shards; ++number) {
        groups_.push_back(
            std::make_unique<group>(number, settings_.replica, disk_.id, settings_.replicas, *links_));
    }
    control_ = std::make_unique<control_service>(*groups_[0], settings_.replica.name);
    for (std::size_t number = 1; number < groups_.size(); ++number) {
        ledgers_.push_back(std::make_unique<ledger_service>(*groups_[number], *control_));
    }
}

replica_process::~replica_process() = default;

void replica_process::start()
{
    add_metrics();
    control_->start();
    for (const auto& ledger : ledgers_) {
        ledger->start();
    }
    const std::string& listen_address =
        settings_.replica.listen_link.empty() ? settings_.replica.link : settings_.replica.listen_link;
    links_->listen(listen_address,
                   [this](const wire::reply_target& sender, const wire::envelope_ptr& message) {
                       handle_message(sender, message);
                   });
    if (!settings_.replica.operator_listen.empty()) {
        operator_server_ = std::make_unique<http::server>(
            pool_.executor(), settings_.replica.operator_listen, http::server_limits{},
            operators::make_api_handler(*client_, *links_, settings_.replicas,
                                        settings_.replica.operator_keys,
                                        [this] { return metrics_.prometheus_text(); }));
    }
}

void replica_process::stop()
{
    if (operator_server_) {
        operator_server_->drain_within(http::operator_drain_limit); // running requests need the groups
    }
    for (const auto& group : groups_) {
        group->stop();
    }
}

void replica_process::close()
{
    if (links_) {
        links_->close();
    }
}

void replica_process::handle_message(const wire::reply_target& sender, const wire::envelope_ptr& message)
{
    try {
        if (message->has_consensus()) {
            handle_consensus(*message);
            return;
        }
        if (message->has_join()) {
            handle_join_request(*message);
            return;
        }
    }
    catch (const decode_error& error) {
        log_event(event::link_refused_peer, {{"reason", error.what()}});
        return;
    }
    dispatch_request(message,
                     [this, sender](wire::envelope reply) { links_->reply(sender, std::move(reply)); });
}

void replica_process::handle_consensus(const wire::envelope& message)
{
    const std::uint32_t number = message.consensus().group();
    if (number >= groups_.size()) {
        return;
    }
    groups_[number]->handle(from_wire(message.consensus()), message.consensus().from_endpoint());
}

void replica_process::handle_join_request(const wire::envelope& message)
{
    const wire::join_request& join = message.join();
    if (join.group() >= groups_.size() || join.id() == 0) {
        return;
    }
    groups_[join.group()]->handle_join(
        {consensus::member_id{join.id()}, join.name(), join.endpoint(), false, 0});
}

void replica_process::dispatch_request(const wire::envelope_ptr& message, const reply_function& send_reply)
{
    const std::uint32_t number = message->group();
    if (message->has_remove()) {
        handle_removal(*message, send_reply);
        return;
    }
    if (message->has_status()) {
        handle_status(send_reply);
        return;
    }
    if (number >= groups_.size()) {
        wire::envelope refused;
        refused.mutable_refused()->set_failure(static_cast<std::uint32_t>(failure::bad_request));
        refused.mutable_refused()->set_detail(
            "there is no such group; the settings of all processes must name the same ledger_shards");
        send_reply(std::move(refused));
        return;
    }
    if (number == 0) {
        control_->handle_request(message, send_reply);
        return;
    }
    ledgers_[number - 1]->handle_request(message, send_reply);
}

void replica_process::handle_removal(const wire::envelope& message, const reply_function& send_reply)
{
    const std::uint32_t number = message.remove().group();
    if (number >= groups_.size()) {
        return;
    }
    groups_[number]->remove_member(
        message.remove().name(), [this, send_reply, number](consensus::change_result result) {
            wire::envelope reply;
            if (result == consensus::change_result::not_leader) {
                reply = make_redirect(*groups_[number]);
            }
            else if (result == consensus::change_result::proposed ||
                     result == consensus::change_result::already_done) {
                reply.mutable_done();
            }
            else {
                const bool unknown = result == consensus::change_result::unknown_member;
                reply.mutable_refused()->set_failure(
                    static_cast<std::uint32_t>(unknown ? failure::not_found : failure::busy));
            }
            send_reply(std::move(reply));
        });
}

namespace {

void fill_status(const group& from, wire::group_status* into)
{
    const group_report report = from.report();
    into->set_group(from.number());
    into->set_role(static_cast<std::uint32_t>(report.role));
    into->set_term(report.term);
    into->set_commit(report.commit);
    into->set_applied(report.applied);
    into->set_last(report.last);
    into->set_leader(report.leader);
    for (const member_report& member : report.members) {
        wire::member* member_message = into->add_members();
        member_message->set_id(member.info.id.value);
        member_message->set_name(member.info.name);
        member_message->set_endpoint(member.info.endpoint);
        member_message->set_voter(member.info.voter);
        member_message->set_in_touch(member.recently_active);
        member_message->set_match(member.match);
    }
}

/// Collects the status of the control service and of all groups. The last part to arrive sends the reply.
struct status_collector {
    std::mutex mutex;
    wire::envelope reply;
    std::size_t remaining = 0;
    reply_function send_reply;

    void add(const std::function<void(wire::status_reply*)>& fill)
    {
        const std::lock_guard lock(mutex);
        fill(reply.mutable_status_is());
        if (--remaining == 0) {
            send_reply(std::move(reply));
        }
    }
};

} // namespace

void replica_process::handle_status(const reply_function& send_reply)
{
    auto collector = std::make_shared<status_collector>();
    collector->remaining = groups_.size() + 1;
    collector->send_reply = send_reply;
    auto status_request = std::make_shared<wire::envelope>();
    status_request->mutable_status();
    control_->handle_request(status_request, [collector](const wire::envelope& reply) {
        collector->add([&reply](wire::status_reply* into) { into->MergeFrom(reply.status_is()); });
    });
    for (const auto& owned_group : groups_) {
        group* consensus_group = owned_group.get();
        consensus_group->post([consensus_group, collector] {
            collector->add([consensus_group](wire::status_reply* into) {
                fill_status(*consensus_group, into->add_groups());
            });
        });
    }
}

void replica_process::add_metrics()
{
    for (const auto& group : groups_) {
        core::add_group_metrics(metrics_, *group);
    }
}

} // namespace guavawick::replica
