// The control role of a fleet: orders, the published view and the group.
#include "core/control_process.hpp"

#include "base/compress_func.hpp"
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "core/group_metrics.hpp"

#include <algorithm>

namespace guavawick::core {

namespace asio = boost::asio;

namespace {

constexpr std::uint32_t control_group = 0;
constexpr std::uint64_t snapshot_entries = 400; ///< a document may have 100 KB; 40 MB of log at the most
constexpr duration order_limit = 900ms; ///< callers of orders wait a second for an answer before they move on
constexpr duration read_limit = 800ms;  ///< as order_limit, for reads
constexpr duration subscriber_silence = 3s; ///< six subscriptions of an entry
constexpr duration push_patience = 600ms; ///< with a subscription's interval half of the time to be in force
constexpr duration store_memory = 10s;    ///< a store that is silent for longer is no contact any more
constexpr duration founding_delay = 1500ms; ///< all instances start within a fraction of a second

/// What a store reports of each ledger group.
std::map<std::uint32_t, ledger_view> read_groups(const wire::store_report& report)
{
    std::map<std::uint32_t, ledger_view> made;
    for (const wire::ledger_report& group : report.groups()) {
        ledger_view& view = made[group.group()];
        view.blank = group.blank();
        view.leads = group.leads();
        for (const wire::member& one : group.members()) {
            view.members.push_back({consensus::member_id{one.id()}, one.name(), one.endpoint(), one.voter(),
                                    0, one.data_centre()});
            if (!one.in_touch()) {
                view.silent_members.push_back(one.name());
            }
        }
    }
    return made;
}

} // namespace

control_process::control_process(const fleet_settings& given, runtime::worker_pool& pool)
    : settings_(given), pool_(pool), disk_(replica::open_identity(given.data_folder)),
      view_(std::make_shared<const fleet_state>()), seeds_(given.seeds)
{
    if (disk_.blank) {
        log_event(event::disk_blank, {{"replica", settings_.node}, {"disk", to_hex(disk_.id.value)}});
    }
    links_ =
        std::make_unique<wire::link>(pool_.executor(), make_link_settings(), incarnation_id{random_id()});
    group_ = std::make_unique<replica::group>(control_group, to_replica_settings(given, snapshot_entries),
                                              disk_.id, std::vector<replica_address>{}, *links_);
    group_->manage_members(consensus::make_membership_policy(settings_.losses, settings_.data_centres),
                           settings_.data_centre);
    client_ = std::make_unique<wire::group_client>(*links_, std::vector<replica_address>{});
}

control_process::~control_process() = default;

void control_process::start(http::handler operators)
{
    replica::state_machine machine;
    machine.apply = [this](const std::string& command) { return apply(command); };
    machine.save = [this] { return encode_state(state_); };
    machine.restore = [this](const std::string& bytes) {
        state_ = decode_fleet_state(bytes);
        publish_view();
    };
    machine.leadership_changed = [](bool) {};
    machine.tick = [this](time_point now) { tick(now); };
    set_seeds(settings_.seeds);
    if (settings_.first_start) {
        group_->set_contacts(settings_.seeds);
        group_->found_with_contacts();
    }
    group_->start(std::move(machine));
    links_->listen(
        link_listen_of(settings_),
        [this](const wire::peer_route& from, const wire::envelope_ptr& message) { receive(from, message); });
    operators_ = std::make_unique<http::server>(pool_.executor(), settings_.operator_listen,
                                                http::server_limits{}, std::move(operators));
    if (!settings_.metrics_listen.empty()) {
        add_group_metrics(metrics_, *group_);
        metrics_.add({"guavawick_control_plan_version", "Version of the plan that was last applied.", false,
                      [this] { return static_cast<double>(view_.load()->version); }, ""});
        metrics_server_ =
            std::make_unique<http::server>(pool_.executor(), settings_.metrics_listen, http::server_limits{},
                                           http::make_metrics_handler(metrics_));
    }
    pool_.spawn(batch_loop());
}

void control_process::set_seeds(const std::vector<std::string>& seeds)
{
    std::vector<replica_address> replicas;
    replicas.reserve(seeds.size());
    for (const std::string& one : seeds) {
        replicas.push_back({one, one});
    }
    const std::lock_guard lock(mutex_);
    seeds_ = seeds;
    if (members_.empty()) {
        client_->set_replicas(std::move(replicas));
    }
}

void control_process::stop()
{
    running_.store(false);
    if (operators_) {
        operators_->drain();
    }
    group_->stop();
}

void control_process::close()
{
    links_->close();
}

std::vector<std::string> control_process::peers() const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> made;
    for (const auto* list : {&members_, &seeds_}) {
        for (const std::string& one : *list) {
            if (one != settings_.link && std::find(made.begin(), made.end(), one) == made.end()) {
                made.push_back(one);
            }
        }
    }
    return made;
}

void control_process::receive(const wire::peer_route& from, const wire::envelope_ptr& message)
{
    if (receive_for_group(*group_, *message)) {
        return;
    }
    if (message->has_subscribe()) {
        take_subscription(message->subscribe());
        return;
    }
    if (message->has_directory()) {
        take_directory(message->directory());
        return;
    }
    if (message->has_directory_confirmed()) {
        const std::lock_guard lock(mutex_);
        confirms_.erase(message->directory_confirmed().number());
        return;
    }
    group_->post([this, from, message] {
        serve(message, [this, from](wire::envelope reply) { links_->reply(from, std::move(reply)); });
    });
}

void control_process::serve(const wire::envelope_ptr& request, const answer_function& answer)
{
    if (!group_->leads()) {
        answer(make_redirect(*group_));
        return;
    }
    const time_point now = runtime_clock::now();
    if (request->has_fleet()) {
        if (request->fleet().has_retire()) {
            const wire::envelope judged = judge(request->fleet().retire().name(), now);
            const bool goes_on = judged.retired().known() && judged.retired().possible();
            if (!goes_on) {
                answer(judged);
                return;
            }
        }
        group_->propose(request->fleet().SerializeAsString(), [this, answer](const wire::envelope* done) {
            answer(done == nullptr ? make_redirect(*group_) : *done);
        });
        return;
    }
    if (!group_->may_read()) {
        answer(make_redirect(*group_));
        return;
    }
    if (request->has_read()) {
        wire::envelope reply;
        reply.mutable_document()->set_version(state_.version);
        reply.mutable_document()->set_document(state_.document);
        answer(std::move(reply));
        return;
    }
    if (request->has_retire()) {
        answer(judge(request->retire().name(), now));
    }
}

wire::envelope control_process::judge(const std::string& store, time_point now)
{
    retire_phase phase = retire_phase::unknown;
    {
        const std::lock_guard lock(mutex_);
        phase = judge_retirement(state_, stores_, store, 2 * settings_.losses + 1, now);
    }
    wire::envelope reply;
    wire::retire_answer* body = reply.mutable_retired();
    body->set_known(phase != retire_phase::unknown);
    body->set_possible(phase != retire_phase::unknown && phase != retire_phase::impossible);
    body->set_completed(phase == retire_phase::completed);
    return reply;
}

wire::envelope control_process::apply(const std::string& bytes)
{
    wire::envelope reply;
    reply.mutable_done();
    wire::fleet_command command;
    if (!command.ParseFromString(bytes)) {
        log_event(event::link_refused_peer, {{"reason", "a committed command does not decode"}});
        return reply;
    }
    const std::uint64_t version = state_.version;
    if (!execute(state_, command)) {
        return reply;
    }
    if (state_.version != version) {
        log_event(event::configuration_published,
                  {{"version", state_.version}, {"before", version}, {"bytes", state_.document.size()}});
    }
    if (command.has_evacuation()) {
        log_event(event::data_centre_changed, {{"data_centre", command.evacuation().data_centre()},
                                               {"out", command.evacuation().out() ? "yes" : "no"},
                                               {"revision", state_.revision}});
    }
    if (command.has_found()) {
        log_event(event::ledger_founded, {{"groups", std::uint64_t{state_.founders.size()}}});
    }
    if (command.has_retire()) {
        log_event(event::store_retiring, {{"store", command.retire().name()}});
    }
    publish_view();
    if (!push_posted_) {
        // After the whole batch: a new leader's first batch may be the history of hours.
        push_posted_ = true;
        group_->post([this, version] { push_to_all(version); });
    }
    return reply;
}

void control_process::push_to_all(std::uint64_t held_version)
{
    push_posted_ = false;
    if (!group_->may_read()) {
        return;
    }
    const fleet_view view = view_.load();
    std::vector<std::string> endpoints;
    {
        const std::lock_guard lock(mutex_);
        for (const auto& [endpoint, heard] : subscribers_) {
            endpoints.push_back(endpoint);
        }
    }
    for (const std::string& endpoint : endpoints) {
        push_view(endpoint, *view, view->version == held_version ? held_version : 0, true);
    }
}

void control_process::publish_view()
{
    view_.store(std::make_shared<const fleet_state>(state_));
    view_at_.store(runtime_clock::now());
}

void control_process::push_view(const std::string& endpoint, const fleet_state& view,
                                std::uint64_t held_version, bool confirmed)
{
    wire::envelope message;
    wire::control_view* body = message.mutable_view();
    body->set_revision(view.revision);
    body->set_version(view.version);
    body->set_confirmed(confirmed);
    body->set_has_document(held_version < view.version);
    if (body->has_document()) {
        body->set_document(view.document);
    }
    for (const std::string& one : view.evacuated) {
        body->add_evacuated(one);
    }
    links_->send(endpoint, std::move(message));
}

void control_process::take_subscription(const wire::subscribe_request& wish)
{
    const time_point now = runtime_clock::now();
    const bool store = wish.role() == "store";
    wire::envelope directory;
    {
        const std::lock_guard lock(mutex_);
        if (store) {
            store_view& held = stores_[wish.endpoint()];
            held = {wish.name(),
                    wish.endpoint(),
                    wish.data_centre(),
                    consensus::member_id{wish.store().disk()},
                    read_groups(wish.store()),
                    now};
        }
        else {
            subscribers_[wish.endpoint()] = now;
        }
        if (wish.whole_directory()) {
            for (const auto& [id, record] : instances_.instances) {
                to_wire(record, now, directory.mutable_directory()->add_instances());
            }
            for (const auto& [hash, suspect] : crashes_.suspects) {
                for (const std::string& instance : suspect.instances) {
                    wire::crash_record* made = directory.mutable_directory()->add_crashes();
                    made->set_request_hash(hash);
                    made->set_instance(instance);
                }
            }
        }
    }
    if (directory.has_directory()) {
        links_->send(wish.endpoint(), std::move(directory));
    }
    links_->send(wish.endpoint(), make_hello(now, wish.hello_digest()));
    const fleet_view view = view_.load();
    // What is new is on its way from the leader; a whole document from every replica would fill their links.
    const bool missed = wish.version() == 0 || now - view_at_.load() > push_patience;
    if (!store && wish.revision() < view->revision && missed) {
        push_view(wish.endpoint(), *view, wish.version(), confirmed_.load());
    }
}

wire::envelope control_process::make_hello(time_point now, std::uint64_t held_digest)
{
    wire::envelope message = make_whole_hello(now);
    wire::control_hello* hello = message.mutable_hello();
    const std::uint64_t digest = hash_bytes(hello->SerializeAsString());
    if (digest == held_digest) {
        hello->Clear();
        hello->set_unchanged(true);
    }
    hello->set_sender(settings_.link);
    hello->set_digest(digest);
    return message;
}

wire::envelope control_process::make_whole_hello(time_point now)
{
    const fleet_view view = view_.load();
    wire::envelope message;
    wire::control_hello* hello = message.mutable_hello();
    hello->set_revision(view->revision);
    const std::lock_guard lock(mutex_);
    hello->set_entries(static_cast<std::uint32_t>(subscribers_.size()));
    for (const std::string& one : members_) {
        hello->add_control(one);
    }
    for (const auto& [endpoint, one] : stores_) {
        if (now - one.heard_at < store_memory) {
            wire::peer_address* made = hello->add_stores();
            made->set_name(one.name);
            made->set_endpoint(one.endpoint);
            made->set_data_centre(one.data_centre);
        }
    }
    to_wire(view->founders, hello->mutable_ledgers());
    for (const auto& [name, endpoint] : view->retiring) {
        hello->add_retiring(name);
    }
    return message;
}

void control_process::tick(time_point now)
{
    confirmed_.store(group_->may_read());
    std::vector<std::string> members;
    for (const replica::member_report& one : group_->report().members) {
        members.push_back(one.who.endpoint);
    }
    std::vector<std::string> contacts = members;
    std::vector<replica_address> replicas;
    {
        const std::lock_guard lock(mutex_);
        members_ = members;
        for (const std::string& one : seeds_) {
            if (std::find(contacts.begin(), contacts.end(), one) == contacts.end()) {
                contacts.push_back(one);
            }
        }
        std::erase_if(subscribers_, [now](const auto& one) { return now - one.second > subscriber_silence; });
        std::erase_if(stores_, [now](const auto& one) { return now - one.second.heard_at > store_memory; });
        directory::remove_expired(instances_, now);
        directory::remove_expired(crashes_, now);
    }
    replicas.reserve(contacts.size());
    for (const std::string& one : contacts) {
        replicas.push_back({one, one});
    }
    client_->set_replicas(std::move(replicas));
    // While the group is founded the contacts are the founders, so nothing may be added.
    if (!group_->is_blank() || !settings_.first_start) {
        group_->set_contacts(contacts);
    }
    found_ledger(now);
}

void control_process::found_ledger(time_point now)
{
    if (!group_->leads() || !state_.founders.empty()) {
        return;
    }
    founder_lists chosen;
    {
        const std::lock_guard lock(mutex_);
        if (stores_.empty()) {
            return;
        }
        if (stores_seen_at_ == time_point{}) {
            stores_seen_at_ = now;
        }
        if (now - stores_seen_at_ < founding_delay) {
            return;
        }
        chosen = choose_founders(stores_, count_ledgers(stores_.size()), 2 * settings_.losses + 1);
    }
    if (chosen.empty()) {
        return;
    }
    wire::fleet_command command;
    to_wire(chosen, command.mutable_found()->mutable_ledgers());
    stores_seen_at_ = now;
    group_->propose(command.SerializeAsString(), [](const wire::envelope*) {});
}

asio::awaitable<wire::envelope> control_process::order(wire::envelope command)
{
    const wire::envelope_ptr reply = co_await client_->call(control_group, std::move(command), order_limit);
    co_return *reply;
}

asio::awaitable<void> control_process::publish(published_document document)
{
    wire::envelope command;
    command.mutable_fleet()->mutable_publish()->set_version(document.version);
    command.mutable_fleet()->mutable_publish()->set_document(compress(document.bytes));
    co_await order(std::move(command));
}

asio::awaitable<void> control_process::set_evacuation(std::string data_centre, bool out)
{
    wire::envelope command;
    command.mutable_fleet()->mutable_evacuation()->set_data_centre(std::move(data_centre));
    command.mutable_fleet()->mutable_evacuation()->set_out(out);
    co_await order(std::move(command));
}

asio::awaitable<published_document> control_process::read_document()
{
    wire::envelope question;
    question.mutable_read();
    const wire::envelope_ptr reply = co_await client_->call(control_group, std::move(question), read_limit);
    published_document made;
    made.version = reply->document().version();
    made.bytes = made.version == 0 ? std::string() : decompress(reply->document().document());
    co_return made;
}

namespace {

retire_phase to_phase(const wire::envelope& reply)
{
    if (reply.has_done()) {
        return retire_phase::running;
    }
    if (!reply.retired().known()) {
        return retire_phase::unknown;
    }
    if (!reply.retired().possible()) {
        return retire_phase::impossible;
    }
    return reply.retired().completed() ? retire_phase::completed : retire_phase::running;
}

} // namespace

asio::awaitable<retire_phase> control_process::retire(std::string store)
{
    wire::envelope command;
    command.mutable_fleet()->mutable_retire()->set_name(std::move(store));
    const wire::envelope reply = co_await order(std::move(command));
    co_return to_phase(reply);
}

asio::awaitable<retire_phase> control_process::ask_retirement(std::string store)
{
    wire::envelope question;
    question.mutable_retire()->set_name(std::move(store));
    const wire::envelope reply = co_await order(std::move(question));
    co_return to_phase(reply);
}

} // namespace guavawick::core
