// The store role of a fleet.
#include "core/store_process.hpp"

#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "core/group_metrics.hpp"
#include "http/request_guard.hpp"
#include "runtime/memory_func.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <filesystem>

namespace guavawick::core {
namespace {

constexpr duration report_interval =
    300ms; ///< between reports to the control replicas; a third of the shortest membership repair

/// @return numbers of the ledger groups in a data folder. Their replicas start before a control replica is
/// reached.
std::vector<std::uint32_t> find_groups(const std::string& data_folder)
{
    std::vector<std::uint32_t> groups;
    for (std::uint32_t group = 1; std::filesystem::exists(data_folder + "/group-" + std::to_string(group));
         ++group) {
        groups.push_back(group);
    }
    return groups;
}

} // namespace

store_process::store_process(const fleet_settings& settings, runtime::worker_pool& pool)
    : settings_(settings), pool_(pool), disk_(replica::open_identity(settings.data_folder)),
      gate_(settings.memory_limit), control_endpoints_(settings.seeds)
{
    if (disk_.blank) {
        log_event(event::disk_blank, {{"replica", settings_.node}, {"disk", to_hex(disk_.id.value)}});
    }
    links_ =
        std::make_unique<wire::link>(pool_.executor(), make_link_settings(), incarnation_id{random_id()});
}

store_process::~store_process() = default;

void store_process::start()
{
    for (const std::uint32_t group : find_groups(settings_.data_folder)) {
        open_replica(group);
    }
    links_->listen(link_listen_address(settings_),
                   [this](const wire::reply_target& from, const wire::envelope_ptr& message) {
                       receive(from, message);
                   });
    if (!settings_.metrics_listen.empty()) {
        http::server_limits metrics_limits;
        metrics_limits.guard = std::make_shared<http::request_guard>(
            std::make_shared<http::memory_budget>(make_byte_limits(settings_)),
            http::derive_reserved_limits(settings_.max_descriptors));
        add_link_metrics(metrics_, *links_);
        metrics_server_ = std::make_unique<http::server>(
            pool_.executor(), settings_.metrics_listen, metrics_limits, http::make_metrics_handler(metrics_));
    }
    pool_.spawn(report_loop());
}

ledger_replica* store_process::find_replica(std::uint32_t group)
{
    const std::lock_guard lock(mutex_);
    const auto found = replicas_.find(group);
    return found == replicas_.end() ? nullptr : found->second.get();
}

ledger_replica& store_process::open_replica(std::uint32_t group)
{
    auto replica = std::make_unique<ledger_replica>(group, settings_, disk_.id, *links_, gate_);
    replica->start();
    add_group_metrics(metrics_, replica->group());
    metrics_.add({"guavawick_replica_content_bytes", "Contents of turns on disk.", false,
                  [started = replica.get()] { return static_cast<double>(started->status()->content_bytes); },
                  std::to_string(group)});
    const std::lock_guard lock(mutex_);
    return *replicas_.emplace(group, std::move(replica)).first->second;
}

void store_process::set_seeds(const std::vector<std::string>& seeds)
{
    const std::lock_guard lock(mutex_);
    for (const std::string& seed : seeds) {
        if (std::find(control_endpoints_.begin(), control_endpoints_.end(), seed) ==
            control_endpoints_.end()) {
            control_endpoints_.push_back(seed);
        }
    }
}

void store_process::stop()
{
    running_.store(false);
    std::vector<ledger_replica*> replicas;
    {
        const std::lock_guard lock(mutex_);
        for (const auto& [group, replica] : replicas_) {
            replicas.push_back(replica.get());
        }
    }
    for (ledger_replica* replica : replicas) {
        replica->stop();
    }
}

void store_process::close()
{
    links_->close();
}

void store_process::receive(const wire::reply_target& from, const wire::envelope_ptr& message)
{
    if (message->has_hello()) {
        boost::asio::post(pool_.executor(), [this, message] { handle_hello(message->hello()); });
        return;
    }
    const std::uint32_t group = message->has_join() ? message->join().group() : message->group();
    ledger_replica* replica = find_replica(group);
    if (replica != nullptr && replica->receive(*message)) {
        return;
    }
    const bool is_request = message->has_open_turn() || message->has_close_turn() || message->has_borrow() ||
                            message->has_content_offer() || message->has_history_query() ||
                            message->has_record_stream();
    if (!is_request) {
        return; // a consensus message of a group that no hello has named yet; its sender repeats it
    }
    if (replica == nullptr) {
        wire::envelope redirect;
        redirect.mutable_redirect();
        links_->reply(from, std::move(redirect));
        return;
    }
    replica->handle_request(message,
                            [this, from](wire::envelope reply) { links_->reply(from, std::move(reply)); });
}

void store_process::handle_hello(const wire::control_hello& hello)
{
    bool is_newest = false; // a lagging control replica may not know all retiring stores
    {
        const std::lock_guard lock(mutex_);
        if (hello.unchanged() || !running_.load()) {
            return;
        }
        hello_digests_[hello.sender()] = hello.digest();
        is_newest = hello.revision() >= max_known_revision_;
        max_known_revision_ = std::max(max_known_revision_, hello.revision());
        if (hello.control_size() > 0) {
            control_endpoints_.assign(hello.control().begin(), hello.control().end());
        }
    }
    std::vector<std::string> contacts;
    for (const wire::peer_address& store : hello.stores()) {
        contacts.push_back(store.endpoint());
    }
    // There is no group to join before the initial members are chosen.
    const initial_member_lists initial_members = from_wire(hello.ledgers());
    for (std::size_t i = 0; i < initial_members.size(); ++i) {
        const auto group = static_cast<std::uint32_t>(i + 1);
        ledger_replica* existing = find_replica(group);
        ledger_replica& replica = existing != nullptr ? *existing : open_replica(group);
        replica.set_contacts(contacts, initial_members[i]);
        if (is_newest) {
            replica.set_retiring_stores({hello.retiring().begin(), hello.retiring().end()});
        }
    }
}

void store_process::send_report()
{
    wire::envelope message;
    wire::subscribe_request* body = message.mutable_subscribe();
    body->set_endpoint(settings_.link);
    body->set_name(settings_.node);
    body->set_role("store");
    body->set_data_centre(settings_.data_centre);
    wire::store_report* store_report = body->mutable_store();
    store_report->set_disk(disk_.id.value);
    std::vector<std::string> endpoints;
    std::map<std::string, std::uint64_t> digests;
    {
        const std::lock_guard lock(mutex_);
        endpoints = control_endpoints_;
        digests = hello_digests_;
        for (const auto& [group, replica] : replicas_) {
            const std::shared_ptr<const ledger_replica_status> status = replica->status();
            wire::ledger_report* group_report = store_report->add_groups();
            group_report->set_group(group);
            group_report->set_blank(status->blank);
            group_report->set_leads(status->leads);
            for (const replica::member_report& member : status->members) {
                wire::member* member_message = group_report->add_members();
                member_message->set_id(member.info.id.value);
                member_message->set_name(member.info.name);
                member_message->set_endpoint(member.info.endpoint);
                member_message->set_voter(member.info.voter);
                member_message->set_in_touch(member.recently_active);
                member_message->set_data_centre(member.info.data_centre);
            }
        }
    }
    for (const std::string& endpoint : endpoints) {
        const auto digest = digests.find(endpoint);
        body->set_hello_digest(digest == digests.end() ? 0 : digest->second);
        links_->send(endpoint, message);
    }
}

void store_process::check_budget()
{
    store_usage usage;
    usage.memory = runtime::resident_memory();
    usage.memory_limit = settings_.memory_limit;
    usage.disk_limit = settings_.disk_limit;
    const std::lock_guard lock(mutex_);
    for (const auto& [group, replica] : replicas_) {
        usage.disk += replica->status()->content_bytes + replica->group().counters().log_bytes.load();
    }
    if (usage.disk_limit > 0) {
        const auto usable = static_cast<std::uint64_t>(static_cast<double>(usage.disk_limit) * refusal_share);
        gate_.set_disk_room(usable > usage.disk ? usable - usage.disk : 1);
    }
    const store_pressure previous = pressure_;
    pressure_ = next_pressure(usage, previous);
    if (pressure_ > previous) {
        runtime::return_free_memory();
    }
    const bool admits = pressure_ != store_pressure::refuses_turns;
    for (const auto& [group, replica] : replicas_) {
        replica->set_admits_turns(admits);
    }
    if (admits == (previous != store_pressure::refuses_turns)) {
        return;
    }
    log_event(event::store_admission_changed, {{"admits_turns", admits ? "yes" : "no"},
                                               {"memory", usage.memory},
                                               {"memory_limit", usage.memory_limit},
                                               {"disk", usage.disk},
                                               {"disk_limit", usage.disk_limit}});
}

boost::asio::awaitable<void> store_process::report_loop()
{
    while (running_.load()) {
        send_report();
        check_budget();
        co_await runtime::wait_for(report_interval);
    }
}

} // namespace guavawick::core
