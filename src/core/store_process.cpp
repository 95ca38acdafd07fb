// The store role of a fleet.
#include "core/store_process.hpp"

#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "core/group_metrics.hpp"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <filesystem>

namespace guavawick::core {
namespace {

constexpr duration report_interval = 300ms; ///< of stores to control; a third of the fastest repair

/// @return numbers of the ledger groups that a data folder holds, so that they serve before control is heard.
std::vector<std::uint32_t> find_groups(const std::string& folder)
{
    std::vector<std::uint32_t> made;
    for (std::uint32_t group = 1; std::filesystem::exists(folder + "/group-" + std::to_string(group));
         ++group) {
        made.push_back(group);
    }
    return made;
}

} // namespace

store_process::store_process(const fleet_settings& given, runtime::worker_pool& pool)
    : settings_(given), pool_(pool), disk_(replica::open_identity(given.data_folder)), controls_(given.seeds)
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
    links_->listen(
        link_listen_address(settings_),
        [this](const wire::peer_route& from, const wire::envelope_ptr& message) { receive(from, message); });
    if (!settings_.metrics_listen.empty()) {
        metrics_server_ =
            std::make_unique<http::server>(pool_.executor(), settings_.metrics_listen, http::server_limits{},
                                           http::make_metrics_handler(metrics_));
    }
    pool_.spawn(report_loop());
}

ledger_replica* store_process::find_replica(std::uint32_t group)
{
    const std::lock_guard lock(mutex_);
    const auto found = ledgers_.find(group);
    return found == ledgers_.end() ? nullptr : found->second.get();
}

ledger_replica& store_process::open_replica(std::uint32_t group)
{
    auto made = std::make_unique<ledger_replica>(group, settings_, disk_.id, *links_);
    made->start();
    add_group_metrics(metrics_, made->group());
    const std::lock_guard lock(mutex_);
    return *ledgers_.emplace(group, std::move(made)).first->second;
}

void store_process::set_seeds(const std::vector<std::string>& seeds)
{
    const std::lock_guard lock(mutex_);
    for (const std::string& one : seeds) {
        if (std::find(controls_.begin(), controls_.end(), one) == controls_.end()) {
            controls_.push_back(one);
        }
    }
}

void store_process::stop()
{
    running_.store(false);
    std::vector<ledger_replica*> all;
    {
        const std::lock_guard lock(mutex_);
        for (const auto& [group, one] : ledgers_) {
            all.push_back(one.get());
        }
    }
    for (ledger_replica* one : all) {
        one->stop();
    }
}

void store_process::close()
{
    links_->close();
}

void store_process::receive(const wire::peer_route& from, const wire::envelope_ptr& message)
{
    if (message->has_hello()) {
        boost::asio::post(pool_.executor(), [this, message] { take_hello(message->hello()); });
        return;
    }
    const std::uint32_t group = message->has_join() ? message->join().group() : message->group();
    ledger_replica* replica = find_replica(group);
    if (replica != nullptr && replica->receive(*message)) {
        return;
    }
    const bool asked = message->has_open_turn() || message->has_close_turn() || message->has_borrow();
    if (!asked) {
        return; // consensus of a group that control has not told of yet; its sender repeats it
    }
    if (replica == nullptr) {
        wire::envelope unknown;
        unknown.mutable_redirect();
        links_->reply(from, std::move(unknown));
        return;
    }
    replica->serve(message, [this, from](wire::envelope reply) { links_->reply(from, std::move(reply)); });
}

void store_process::take_hello(const wire::control_hello& hello)
{
    bool newest = false; // a replica that lags behind may not know of stores that retire
    {
        const std::lock_guard lock(mutex_);
        if (hello.unchanged() || !running_.load()) {
            return;
        }
        hello_digests_[hello.sender()] = hello.digest();
        newest = hello.revision() >= known_revision_;
        known_revision_ = std::max(known_revision_, hello.revision());
        if (hello.control_size() > 0) {
            controls_.assign(hello.control().begin(), hello.control().end());
        }
    }
    std::vector<std::string> contacts;
    for (const wire::peer_address& one : hello.stores()) {
        contacts.push_back(one.endpoint());
    }
    // Before the first members are chosen there is nobody to join.
    const initial_member_lists initial_members = from_wire(hello.ledgers());
    for (std::size_t i = 0; i < initial_members.size(); ++i) {
        const auto group = static_cast<std::uint32_t>(i + 1);
        ledger_replica* held = find_replica(group);
        ledger_replica& replica = held != nullptr ? *held : open_replica(group);
        replica.set_contacts(contacts, initial_members[i]);
        if (newest) {
            replica.set_retiring({hello.retiring().begin(), hello.retiring().end()});
        }
    }
}

void store_process::report()
{
    wire::envelope message;
    wire::subscribe_request* body = message.mutable_subscribe();
    body->set_endpoint(settings_.link);
    body->set_name(settings_.node);
    body->set_role("store");
    body->set_data_centre(settings_.data_centre);
    wire::store_report* store = body->mutable_store();
    store->set_disk(disk_.id.value);
    std::vector<std::string> controls;
    std::map<std::string, std::uint64_t> digests;
    {
        const std::lock_guard lock(mutex_);
        controls = controls_;
        digests = hello_digests_;
        for (const auto& [group, one] : ledgers_) {
            const std::shared_ptr<const ledger_replica_status> status = one->status();
            wire::ledger_report* told = store->add_groups();
            told->set_group(group);
            told->set_blank(status->blank);
            told->set_leads(status->leads);
            for (const replica::member_report& member : status->members) {
                wire::member* made = told->add_members();
                made->set_id(member.who.id.value);
                made->set_name(member.who.name);
                made->set_endpoint(member.who.endpoint);
                made->set_voter(member.who.voter);
                made->set_in_touch(member.in_touch);
                made->set_data_centre(member.who.data_centre);
            }
        }
    }
    for (const std::string& endpoint : controls) {
        const auto digest = digests.find(endpoint);
        body->set_hello_digest(digest == digests.end() ? 0 : digest->second);
        links_->send(endpoint, message);
    }
}

boost::asio::awaitable<void> store_process::report_loop()
{
    while (running_.load()) {
        report();
        co_await runtime::wait_for(report_interval);
    }
}

} // namespace guavawick::core
