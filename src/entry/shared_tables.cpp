// Tables that an entry's workers share.
#include "entry/shared_tables.hpp"

#include "configuration/configuration_codec.hpp"
#include "configuration/directory_codec.hpp"
#include "wire.pb.h"

namespace guavawick::entry {
namespace {

constexpr std::size_t most_remembered_programs = 50000;
constexpr std::size_t kept_deltas = 1024;

configuration::object_set without_keys(const configuration::object_set& objects)
{
    configuration::object_set kept;
    for (const auto& [key, fields] : objects) {
        if (key.kind != configuration::object_kind::key) {
            kept.emplace(key, fields);
        }
    }
    return kept;
}

} // namespace

shared_tables::shared_tables(data_centre_name own_centre, duration lease, std::uint64_t subset,
                             std::uint64_t entry_key)
    : own_centre_(std::move(own_centre)), lease_(lease), subset_(subset), entry_key_(entry_key),
      view_(configuration::make_view(0, {}))
{
}

bool shared_tables::take(const wire::poll_reply& reply, time_point sent_at)
{
    const configuration::changes changed = configuration::from_wire(reply.objects());
    const std::lock_guard lock(mutex_);
    if (reply.revision() < state_.revision) {
        return false; // a process that worked by a revision never goes below it
    }
    confirmed_at_ =
        std::max(confirmed_at_, sent_at + holder_lease(std::chrono::milliseconds(reply.held_ms())));
    const bool risen = reply.revision() != state_.revision;
    if (risen) {
        if (reply.whole()) {
            state_.objects.clear();
            state_.deltas.clear();
        }
        configuration::apply_changes(state_.objects, changed);
        if (!reply.whole()) {
            state_.deltas.push_back({reply.revision(), changed});
        }
        while (state_.deltas.size() > kept_deltas) {
            state_.deltas.pop_front();
        }
        state_.revision = reply.revision();
        view_ = configuration::make_view(state_.revision, state_.objects);
    }
    if (reply.whole_directory()) {
        upstreams_.clear();
    }
    for (const wire::upstream_record& one : reply.upstreams()) {
        configuration::upstream_record record = configuration::from_wire(one);
        if (record.removed) {
            upstreams_.erase(record.name);
            continue;
        }
        upstream_entry& into = upstreams_[record.name];
        if (into.record.incarnation != record.incarnation) {
            into.load = routing::load_report{};
            into.load.cold = true;
            into.sent_since = 0;
        }
        into.record = std::move(record);
    }
    if (reply.whole_directory() || reply.upstreams_size() != 0) {
        rebuild_subsets();
    }
    version_ = reply.version();
    losses_.clear();
    for (const wire::quarantine_record& one : reply.quarantines()) {
        losses_[body_hash{one.body_hash()}] = one.losses();
    }
    return risen;
}

void shared_tables::rebuild_subsets()
{
    subsets_.clear();
    std::map<std::pair<configuration::service_kind, std::string>, std::vector<const upstream_entry*>>
        by_route;
    for (const auto& [name, one] : upstreams_) {
        by_route[{one.record.kind, one.record.serves}].push_back(&one);
    }
    for (const auto& [key, members] : by_route) {
        std::vector<std::string> names;
        std::vector<bool> own;
        for (const upstream_entry* one : members) {
            names.push_back(one->record.name.value);
            own.push_back(one->record.data_centre == own_centre_);
        }
        for (const std::size_t place : routing::pick_subset(names, own, entry_key_, subset_)) {
            subsets_[key].push_back(members[place]->record.name);
        }
    }
}

configuration::view_ptr shared_tables::view() const
{
    const std::lock_guard lock(mutex_);
    return view_;
}

bool shared_tables::is_fresh(time_point now) const
{
    return age(now) < lease_;
}

duration shared_tables::age(time_point now) const
{
    const std::lock_guard lock(mutex_);
    return confirmed_at_ == time_point{} ? duration::max() : now - confirmed_at_;
}

std::pair<std::uint64_t, std::uint64_t> shared_tables::position() const
{
    const std::lock_guard lock(mutex_);
    return {state_.revision, version_};
}

void shared_tables::fill_for_sidecar(std::uint64_t after_revision, time_point now,
                                     wire::poll_reply* into) const
{
    const std::lock_guard lock(mutex_);
    into->set_revision(state_.revision);
    auto changed = configuration::changes_since(state_, after_revision);
    into->set_whole(!changed.has_value());
    if (changed) {
        std::erase_if(*changed,
                      [](const auto& item) { return item.first.kind == configuration::object_kind::key; });
        configuration::to_wire(*changed, into->mutable_objects());
    }
    else {
        configuration::to_wire(without_keys(state_.objects), into->mutable_objects());
    }
    into->set_age_ms(static_cast<std::uint32_t>(to_ms(now - confirmed_at_)));
}

std::vector<routing::candidate> shared_tables::candidates(configuration::service_kind kind,
                                                          const std::string& serves,
                                                          const std::string& program_key) const
{
    const std::lock_guard lock(mutex_);
    std::vector<routing::candidate> found;
    const auto subset = subsets_.find({kind, serves});
    if (subset == subsets_.end()) {
        return found;
    }
    const auto known = programs_.find(program_key);
    for (const upstream_name& name : subset->second) {
        const upstream_entry& one = upstreams_.at(name);
        if (one.record.leaving || !configuration::accepts_new_work(*view_, one.record.data_centre, name)) {
            continue;
        }
        const bool cached = known != programs_.end() && known->second.cache.upstream == name;
        found.push_back({name, one.record.incarnation, one.record.endpoint,
                         one.record.data_centre == own_centre_, one.load, one.sent_since,
                         cached ? known->second.cache.tokens : 0});
    }
    return found;
}

incarnation_id shared_tables::incarnation_of(const upstream_name& name) const
{
    const std::lock_guard lock(mutex_);
    const auto found = upstreams_.find(name);
    return found == upstreams_.end() ? incarnation_id{} : found->second.record.incarnation;
}

std::string shared_tables::endpoint_of(const upstream_name& name) const
{
    const std::lock_guard lock(mutex_);
    const auto found = upstreams_.find(name);
    return found == upstreams_.end() ? std::string() : found->second.record.endpoint;
}

std::vector<std::pair<upstream_name, std::string>> shared_tables::endpoints() const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::pair<upstream_name, std::string>> found;
    for (const auto& [route, names] : subsets_) {
        for (const upstream_name& name : names) {
            found.emplace_back(name, upstreams_.at(name).record.endpoint);
        }
    }
    return found;
}

std::uint32_t shared_tables::losses_of(body_hash body) const
{
    const std::lock_guard lock(mutex_);
    const auto found = losses_.find(body);
    return found == losses_.end() ? 0 : found->second;
}

void shared_tables::note_load(const upstream_name& name, const wire::load_report& report)
{
    const std::lock_guard lock(mutex_);
    const auto found = upstreams_.find(name);
    if (found == upstreams_.end()) {
        return;
    }
    routing::load_report& load = found->second.load;
    load.running = report.running();
    load.queued = report.queued();
    load.window = report.window();
    load.queued_tokens = report.queued_tokens();
    load.seconds_per_token = report.seconds_per_token();
    load.prefill_tokens_per_second = report.prefill_tokens_per_second();
    load.mean_call_seconds = report.mean_call_seconds();
    load.suspects = report.suspects();
    load.cold = report.cold();
    found->second.sent_since = 0;
}

void shared_tables::note_sent(const upstream_name& name)
{
    const std::lock_guard lock(mutex_);
    const auto found = upstreams_.find(name);
    if (found != upstreams_.end()) {
        ++found->second.sent_since;
    }
}

shared_tables::remembered& shared_tables::remember(const std::string& program_key)
{
    const auto found = programs_.find(program_key);
    if (found != programs_.end()) {
        program_ages_.splice(program_ages_.end(), program_ages_, found->second.age);
        return found->second;
    }
    if (programs_.size() >= most_remembered_programs) {
        programs_.erase(program_ages_.front());
        program_ages_.pop_front();
    }
    program_ages_.push_back(program_key);
    remembered& made = programs_[program_key];
    made.age = std::prev(program_ages_.end());
    return made;
}

void shared_tables::note_cache(const std::string& program_key, const upstream_name& name,
                               std::uint64_t tokens)
{
    const std::lock_guard lock(mutex_);
    remember(program_key).cache = {name, tokens};
}

program_cache shared_tables::cache_of(const std::string& program_key) const
{
    const std::lock_guard lock(mutex_);
    const auto found = programs_.find(program_key);
    return found == programs_.end() ? program_cache{} : found->second.cache;
}

void shared_tables::note_root(const std::string& program_key, const program_name& root)
{
    const std::lock_guard lock(mutex_);
    remember(program_key).root = root;
}

program_name shared_tables::root_of(const std::string& program_key) const
{
    const std::lock_guard lock(mutex_);
    const auto found = programs_.find(program_key);
    return found == programs_.end() ? program_name{} : found->second.root;
}

} // namespace guavawick::entry
