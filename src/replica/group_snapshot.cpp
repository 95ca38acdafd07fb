// A group's snapshots: when they are written, and how a member copies one from the leader part by part.
#include "replica/group.hpp"

#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "replica/consensus_codec.hpp"
#include "wire.pb.h"
#include "wire/content_codec.hpp"

#include <algorithm>

namespace guavawick::replica {
namespace {

constexpr std::uint64_t max_part_bytes = 256U << 10U; ///< bytes of a state in one message
constexpr std::uint64_t max_contents_bytes =
    8U << 20U; ///< bytes of contents in one message; a single content may be as large as a request
constexpr duration import_stall_timeout = 500ms; ///< the next offer then repeats the query
constexpr duration export_retention = 5s;        ///< a snapshot that is not queried for this long is given up

} // namespace

void group::snapshot_if_due()
{
    const bool many_entries = state_.applied >= last_snapshot_index_ + settings_.snapshot_entries;
    const bool many_bytes = store_.log_bytes() >= log_bytes_at_snapshot_ + settings_.snapshot_log_bytes;
    if (!many_entries && (!many_bytes || state_.applied <= last_snapshot_index_)) {
        return;
    }
    auto snapshot = std::make_shared<consensus::snapshot>();
    snapshot->index = state_.applied;
    snapshot->term = consensus::term_at(state_, state_.applied);
    for (const consensus::indexed_membership& indexed : state_.memberships) {
        if (indexed.index <= state_.applied) {
            snapshot->members = indexed.value;
        }
    }
    snapshot->state = machine_.save();
    import_.reset();
    consensus::compact(state_, snapshot);
    store_.write_snapshot(state_);
    last_snapshot_index_ = snapshot->index;
    log_bytes_at_snapshot_ = store_.log_bytes();
    remove_unused_contents();
    log_event(event::snapshot_written, {{"group", std::uint64_t{number_}},
                                        {"index", snapshot->index},
                                        {"state_bytes", std::uint64_t{snapshot->state.size()}},
                                        {"log_bytes", store_.log_bytes()}});
}

void group::remove_unused_contents()
{
    const time_point now = runtime_clock::now();
    std::erase_if(exports_,
                  [now](const auto& entry) { return now - entry.second.used_at > export_retention; });
    // Another member may still query contents that only an older snapshot names.
    if (machine_.contents && exports_.empty()) {
        machine_.contents->remove_unused();
    }
}

consensus::message group::make_offer(const consensus::message& request)
{
    exports_[request.state->index] = {request.state, runtime_clock::now()};
    auto offered = std::make_shared<consensus::snapshot>();
    offered->index = request.state->index;
    offered->term = request.state->term;
    offered->members = request.state->members;
    offered->offered_bytes = request.state->state.size();
    consensus::message offer = request;
    offer.state = offered;
    return offer;
}

bool group::receive_offer(const consensus::message& offer, const std::string& endpoint)
{
    const bool is_offer = offer.state && offer.state->offered_bytes > 0 && machine_.contents;
    // Without a need for the snapshot, the algorithm replies to the offer and installs nothing.
    if (!is_offer || offer.to != state_.self || offer.term < state_.term ||
        !consensus::needs_snapshot(state_, *offer.state)) {
        return false;
    }
    const time_point now = runtime_clock::now();
    const bool is_same_leader = import_ && import_->offer.from == offer.from;
    if (is_same_leader && now - import_->progress_at < import_stall_timeout) {
        import_->offer.term = offer.term;
        return true;
    }
    if (is_same_leader && import_->offer.state->index == offer.state->index) {
        import_->offer.term = offer.term;
    }
    else {
        import_.emplace();
        import_->offer = offer;
        import_->endpoint = endpoint;
        log_event(event::snapshot_offered, {{"group", std::uint64_t{number_}},
                                            {"index", offer.state->index},
                                            {"state_bytes", offer.state->offered_bytes},
                                            {"from", endpoint}});
    }
    import_->progress_at = now;
    query_next_part();
    return true;
}

void group::query_next_part()
{
    wire::envelope envelope;
    envelope.set_group(number_);
    wire::snapshot_query* query = envelope.mutable_snapshot_query();
    query->set_group(number_);
    query->set_from(state_.self.value);
    query->set_index(import_->offer.state->index);
    query->set_from_endpoint(settings_.link);
    query->set_offset(import_->copies_contents ? import_->batch : import_->state.size());
    for (const content_range& range : import_->queried) {
        wire::to_wire(range, query->add_contents());
    }
    links_.send(import_->endpoint, std::move(envelope));
}

void group::handle(std::shared_ptr<const wire::snapshot_query> query)
{
    post([this, query = std::move(query)] { answer_query(*query); });
}

void group::handle(std::shared_ptr<const wire::snapshot_part> part)
{
    post([this, part = std::move(part)] { receive_part(*part); });
}

void group::answer_query(const wire::snapshot_query& query)
{
    wire::envelope envelope;
    envelope.set_group(number_);
    wire::snapshot_part* part = envelope.mutable_snapshot_part();
    part->set_group(number_);
    part->set_from(state_.self.value);
    part->set_index(query.index());
    part->set_offset(query.offset());
    part->set_contents(query.contents_size() > 0);
    const auto exported = exports_.find(query.index());
    if (exported == exports_.end() || !machine_.contents) {
        part->set_gone(true);
    }
    else if (query.contents_size() == 0) {
        const std::string& state = exported->second.snapshot->state;
        exported->second.used_at = runtime_clock::now();
        part->set_bytes(state.substr(std::min<std::uint64_t>(query.offset(), state.size()), max_part_bytes));
    }
    else {
        exported->second.used_at = runtime_clock::now();
        std::vector<content_range> ranges;
        std::uint64_t bytes = 0;
        for (const wire::content_place& place : query.contents()) {
            ranges.push_back(wire::from_wire(place));
            bytes += place.size();
        }
        try {
            if (bytes > max_contents_bytes && ranges.size() > 1) {
                throw decode_error("a query for " + std::to_string(bytes) + " bytes");
            }
            machine_.contents->read(ranges, *part->mutable_bytes());
        }
        catch (const error& fault) {
            log_event(
                event::snapshot_query_refused,
                {{"group", std::uint64_t{number_}}, {"index", query.index()}, {"reason", fault.what()}});
            part->clear_bytes();
            part->set_gone(true);
        }
    }
    links_.send(query.from_endpoint(), std::move(envelope));
}

void group::receive_part(const wire::snapshot_part& part)
{
    if (!import_ || part.index() != import_->offer.state->index || part.from() != import_->offer.from.value ||
        part.contents() != import_->copies_contents ||
        part.offset() != (import_->copies_contents ? import_->batch : import_->state.size())) {
        return; // of an import that has ended, or the second answer to a repeated query
    }
    if (part.gone()) {
        log_event(event::snapshot_import_ended,
                  {{"group", std::uint64_t{number_}}, {"index", part.index()}, {"reason", "gone"}});
        import_.reset(); // the leader offers a newer one
        return;
    }
    try {
        if (import_->copies_contents) {
            machine_.contents->add(part.bytes());
            ++import_->batch;
        }
        else {
            if (part.bytes().empty()) {
                throw decode_error("a part of the state is empty");
            }
            import_->state += part.bytes();
            if (import_->state.size() >= import_->offer.state->offered_bytes) {
                machine_.contents->begin_import(import_->state);
                import_->state = {};
                import_->copies_contents = true;
            }
        }
    }
    catch (const decode_error& fault) {
        log_event(event::snapshot_import_ended,
                  {{"group", std::uint64_t{number_}}, {"index", part.index()}, {"reason", fault.what()}});
        import_.reset();
        return;
    }
    import_->progress_at = runtime_clock::now();
    if (import_->copies_contents) {
        import_->queried = machine_.contents->next_missing();
        if (import_->queried.empty()) {
            finish_import();
            return;
        }
    }
    query_next_part();
}

void group::finish_import()
{
    auto complete = std::make_shared<consensus::snapshot>(*import_->offer.state);
    complete->offered_bytes = 0;
    complete->state = machine_.contents->finish_import();
    consensus::message request = std::move(import_->offer);
    request.state = std::move(complete);
    import_.reset();
    consensus::step(state_, request, runtime_clock::now(), pending_effects_);
}

} // namespace guavawick::replica
