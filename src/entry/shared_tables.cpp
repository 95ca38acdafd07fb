// Tables shared by an entry's threads.
#include "entry/shared_tables.hpp"

#include "configuration/configuration_codec.hpp"
#include "configuration/directory_codec.hpp"
#include "wire.pb.h"

namespace guavawick::entry {
namespace {

constexpr std::size_t max_remembered_programs = 50000;
constexpr std::size_t max_deltas = 1024;

configuration::object_set without_api_keys(const configuration::object_set& objects)
{
    configuration::object_set result;
    for (const auto& [key, fields] : objects) {
        if (key.kind != configuration::object_kind::key) {
            result.emplace(key, fields);
        }
    }
    return result;
}

} // namespace

shared_tables::shared_tables(data_centre_name own_data_centre, duration configuration_lease,
                             std::uint64_t subset_size, std::uint64_t entry_key)
    : own_data_centre_(std::move(own_data_centre)), configuration_lease_(configuration_lease),
      subset_size_(subset_size), entry_key_(entry_key), view_(configuration::make_view(0, {}))
{
}

bool shared_tables::apply_poll_reply(const wire::poll_reply& reply, time_point sent_at)
{
    const configuration::changes changes = configuration::from_wire(reply.objects());
    const std::lock_guard lock(mutex_);
    if (reply.revision() < state_.revision) {
        return false; // a process never returns to an older revision
    }
    confirmed_at_ =
        std::max(confirmed_at_, sent_at + holder_lease_time(std::chrono::milliseconds(reply.held_ms())));
    const bool revision_changed = reply.revision() != state_.revision;
    if (revision_changed) {
        if (reply.whole()) {
            state_.objects.clear();
            state_.deltas.clear();
        }
        configuration::apply_changes(state_.objects, changes);
        if (!reply.whole()) {
            state_.deltas.push_back({reply.revision(), changes});
        }
        while (state_.deltas.size() > max_deltas) {
            state_.deltas.pop_front();
        }
        state_.revision = reply.revision();
        view_ = configuration::make_view(state_.revision, state_.objects);
    }
    if (reply.whole_directory()) {
        upstreams_.clear();
    }
    for (const wire::upstream_record& upstream : reply.upstreams()) {
        configuration::upstream_record record = configuration::from_wire(upstream);
        if (record.removed) {
            upstreams_.erase(record.name);
            continue;
        }
        upstream_state& known_upstream = upstreams_[record.name];
        if (known_upstream.record.incarnation != record.incarnation) {
            known_upstream.load = routing::load_report{};
            known_upstream.load.cold = true;
            known_upstream.sent_since_report = 0;
        }
        known_upstream.record = std::move(record);
    }
    if (reply.whole_directory() || reply.upstreams_size() != 0) {
        rebuild_subsets();
    }
    directory_version_ = reply.version();
    losses_.clear();
    for (const wire::quarantine_record& quarantine : reply.quarantines()) {
        losses_[body_hash{quarantine.body_hash()}] = quarantine.losses();
    }
    return revision_changed;
}

void shared_tables::rebuild_subsets()
{
    subsets_.clear();
    std::map<std::pair<configuration::service_kind, std::string>, std::vector<const upstream_state*>>
        by_route;
    for (const auto& [name, upstream] : upstreams_) {
        by_route[{upstream.record.kind, upstream.record.serves}].push_back(&upstream);
    }
    for (const auto& [key, upstreams] : by_route) {
        std::vector<std::string> names;
        std::vector<bool> in_own_data_centre;
        for (const upstream_state* upstream : upstreams) {
            names.push_back(upstream->record.name.value);
            in_own_data_centre.push_back(upstream->record.data_centre == own_data_centre_);
        }
        for (const std::size_t index :
             routing::pick_subset(names, in_own_data_centre, entry_key_, subset_size_)) {
            subsets_[key].push_back(upstreams[index]->record.name);
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
    return age(now) < configuration_lease_;
}

duration shared_tables::age(time_point now) const
{
    const std::lock_guard lock(mutex_);
    return confirmed_at_ == time_point{} ? duration::max() : now - confirmed_at_;
}

std::pair<std::uint64_t, std::uint64_t> shared_tables::poll_position() const
{
    const std::lock_guard lock(mutex_);
    return {state_.revision, directory_version_};
}

void shared_tables::fill_sidecar_reply(std::uint64_t after_revision, time_point now,
                                       wire::poll_reply* message) const
{
    const std::lock_guard lock(mutex_);
    message->set_revision(state_.revision);
    auto changes = configuration::changes_since(state_, after_revision);
    message->set_whole(!changes.has_value());
    if (changes) {
        std::erase_if(*changes,
                      [](const auto& item) { return item.first.kind == configuration::object_kind::key; });
        configuration::to_wire(*changes, message->mutable_objects());
    }
    else {
        configuration::to_wire(without_api_keys(state_.objects), message->mutable_objects());
    }
    message->set_age_ms(static_cast<std::uint32_t>(to_ms(now - confirmed_at_)));
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
        const upstream_state& upstream = upstreams_.at(name);
        if (upstream.record.leaving ||
            !configuration::accepts_new_work(*view_, upstream.record.data_centre, name)) {
            continue;
        }
        const bool cached = known != programs_.end() && known->second.cache.upstream == name;
        found.push_back({name, upstream.record.incarnation, upstream.record.endpoint,
                         upstream.record.data_centre == own_data_centre_, upstream.load,
                         upstream.sent_since_report, cached ? known->second.cache.tokens : 0});
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

std::uint32_t shared_tables::losses_of(body_hash request_hash) const
{
    const std::lock_guard lock(mutex_);
    const auto found = losses_.find(request_hash);
    return found == losses_.end() ? 0 : found->second;
}

void shared_tables::record_load(const upstream_name& name, const wire::load_report& report)
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
    found->second.sent_since_report = 0;
}

void shared_tables::record_sent(const upstream_name& name)
{
    const std::lock_guard lock(mutex_);
    const auto found = upstreams_.find(name);
    if (found != upstreams_.end()) {
        ++found->second.sent_since_report;
    }
}

shared_tables::program_state& shared_tables::touch_program(const std::string& program_key)
{
    const auto found = programs_.find(program_key);
    if (found != programs_.end()) {
        program_lru_.splice(program_lru_.end(), program_lru_, found->second.lru_position);
        return found->second;
    }
    if (programs_.size() >= max_remembered_programs) {
        programs_.erase(program_lru_.front());
        program_lru_.pop_front();
    }
    program_lru_.push_back(program_key);
    program_state& state = programs_[program_key];
    state.lru_position = std::prev(program_lru_.end());
    return state;
}

void shared_tables::record_cache(const std::string& program_key, const upstream_name& name,
                                 std::uint64_t tokens)
{
    const std::lock_guard lock(mutex_);
    touch_program(program_key).cache = {name, tokens};
}

program_cache shared_tables::cache_of(const std::string& program_key) const
{
    const std::lock_guard lock(mutex_);
    const auto found = programs_.find(program_key);
    return found == programs_.end() ? program_cache{} : found->second.cache;
}

void shared_tables::record_root(const std::string& program_key, const program_name& root)
{
    const std::lock_guard lock(mutex_);
    touch_program(program_key).root = root;
}

program_name shared_tables::root_of(const std::string& program_key) const
{
    const std::lock_guard lock(mutex_);
    const auto found = programs_.find(program_key);
    return found == programs_.end() ? program_name{} : found->second.root;
}

} // namespace guavawick::entry
