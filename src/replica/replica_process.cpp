// The replica role.
#include "replica/replica_process.hpp"

#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "core/group_metrics.hpp"
#include "operator/operator_api.hpp"
#include "replica/consensus_codec.hpp"
#include "wire.pb.h"

namespace guavawick::replica {

replica_process::replica_process(const settings& given, runtime::worker_pool& pool)
    : settings_(given), pool_(pool), self_(random_id()), disk_(open_identity(given.replica.data_folder))
{
    if (disk_.blank) {
        log_event(event::disk_blank, {{"replica", settings_.replica.name}, {"disk", to_hex(disk_.id.value)}});
    }
    links_ = std::make_unique<wire::link>(pool_.executor(), settings_.links, self_);
    client_ = std::make_unique<wire::group_client>(*links_, settings_.replicas);
    for (std::uint32_t number = 0; number <= settings_.replica.ledger_shards; ++number) {
        groups_.push_back(
            std::make_unique<group>(number, settings_.replica, disk_.id, settings_.replicas, *links_));
    }
    control_ = std::make_unique<control_service>(*groups_[0], settings_.replica.name);
    for (std::size_t shard = 1; shard < groups_.size(); ++shard) {
        ledgers_.push_back(std::make_unique<ledger_service>(*groups_[shard], *control_));
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
    const std::string& own =
        settings_.replica.listen_link.empty() ? settings_.replica.link : settings_.replica.listen_link;
    links_->listen(own, [this](const wire::peer_route& from, const wire::envelope_ptr& message) {
        receive(from, message);
    });
    if (!settings_.replica.operator_listen.empty()) {
        operators_ = std::make_unique<http::server>(
            pool_.executor(), settings_.replica.operator_listen, http::server_limits{},
            operators::make_api_handler(*client_, *links_, settings_.replicas,
                                        settings_.replica.operator_keys,
                                        [this] { return metrics_.prometheus_text(); }));
    }
}

void replica_process::stop()
{
    if (operators_) {
        operators_->drain();
    }
    for (const auto& one : groups_) {
        one->stop();
    }
}

void replica_process::close()
{
    if (links_) {
        links_->close();
    }
}

void replica_process::receive(const wire::peer_route& from, const wire::envelope_ptr& message)
{
    try {
        if (message->has_consensus()) {
            receive_consensus(*message);
            return;
        }
        if (message->has_join()) {
            receive_join(*message);
            return;
        }
    }
    catch (const decode_error& fault) {
        log_event(event::link_refused_peer, {{"reason", fault.what()}});
        return;
    }
    dispatch(message, [this, from](wire::envelope reply) { links_->reply(from, std::move(reply)); });
}

void replica_process::receive_consensus(const wire::envelope& message)
{
    const std::uint32_t number = message.consensus().group();
    if (number >= groups_.size()) {
        return;
    }
    groups_[number]->handle(from_wire(message.consensus()), message.consensus().from_endpoint());
}

void replica_process::receive_join(const wire::envelope& message)
{
    const wire::join_request& wish = message.join();
    if (wish.group() >= groups_.size() || wish.id() == 0) {
        return;
    }
    groups_[wish.group()]->handle_join(
        {consensus::member_id{wish.id()}, wish.name(), wish.endpoint(), false, 0});
}

void replica_process::dispatch(const wire::envelope_ptr& message, const reply_function& answer)
{
    const std::uint32_t number = message->group();
    if (message->has_remove()) {
        remove_replica(*message, answer);
        return;
    }
    if (message->has_status()) {
        answer_status(answer);
        return;
    }
    if (number >= groups_.size()) {
        wire::envelope refused;
        refused.mutable_refused()->set_failure(static_cast<std::uint32_t>(failure::bad_request));
        refused.mutable_refused()->set_detail(
            "there is no such group; do all settings name the same ledger_shards?");
        answer(std::move(refused));
        return;
    }
    if (number == 0) {
        control_->handle(message, answer);
        return;
    }
    ledgers_[number - 1]->handle(message, answer);
}

void replica_process::remove_replica(const wire::envelope& message, const reply_function& answer)
{
    const std::uint32_t number = message.remove().group();
    if (number >= groups_.size()) {
        return;
    }
    groups_[number]->remove(message.remove().name(), [this, answer, number](consensus::change_result result) {
        wire::envelope reply;
        if (result == consensus::change_result::not_leader) {
            reply.mutable_redirect()->set_leader_endpoint(
                groups_[number]->leads() ? "" : groups_[number]->leader_endpoint());
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
        answer(std::move(reply));
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
    for (const member_report& one : report.members) {
        wire::member* made = into->add_members();
        made->set_id(one.info.id.value);
        made->set_name(one.info.name);
        made->set_endpoint(one.info.endpoint);
        made->set_voter(one.info.voter);
        made->set_in_touch(one.recently_active);
        made->set_match(one.match);
    }
}

/// Collects the reports of all groups; the last one to report answers.
struct status_collection {
    std::mutex mutex;
    wire::envelope reply;
    std::size_t missing = 0;
    reply_function answer;

    void add(const std::function<void(wire::status_reply*)>& fill)
    {
        const std::lock_guard lock(mutex);
        fill(reply.mutable_status_is());
        if (--missing == 0) {
            answer(std::move(reply));
        }
    }
};

} // namespace

void replica_process::answer_status(const reply_function& answer)
{
    auto collection = std::make_shared<status_collection>();
    collection->missing = groups_.size() + 1;
    collection->answer = answer;
    auto question = std::make_shared<wire::envelope>();
    question->mutable_status();
    control_->handle(question, [collection](const wire::envelope& reply) {
        collection->add([&reply](wire::status_reply* into) { into->MergeFrom(reply.status_is()); });
    });
    for (const auto& one : groups_) {
        group* held = one.get();
        held->post([held, collection] {
            collection->add([held](wire::status_reply* into) { fill_status(*held, into->add_groups()); });
        });
    }
}

void replica_process::add_metrics()
{
    for (const auto& one : groups_) {
        core::add_group_metrics(metrics_, *one);
    }
}

} // namespace guavawick::replica
