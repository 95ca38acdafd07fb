// The entry role of a fleet: what it hears from control, its readiness and its planned stop.
#include "gateway/gateway_process.hpp"

#include "base/compress_func.hpp"
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "core/control_process.hpp"
#include "gateway/call_flow.hpp"
#include "wire.pb.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <future>

namespace guavawick::gateway {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

using namespace std::chrono_literals;

constexpr duration confirmation_patience = 2500ms; ///< a new leader of control is found within two seconds
constexpr duration subscribe_interval = 500ms;     ///< a quarter of the time in which a plan must be in force
constexpr duration control_silence = 2s;           ///< four subscriptions
constexpr duration balancer_notice = 3s;           ///< the balancer asks every second and wants two misses
constexpr duration stop_margin = 700ms;            ///< before the platform kills the process
constexpr std::uint32_t first_rounds = 4;      ///< in which every replica is asked for its whole directory
constexpr std::uint32_t directory_rounds = 10; ///< then one after the other is, every 5 s
constexpr std::size_t most_controls = 16;      ///< addresses of control replicas that are remembered

tcp::endpoint parse_endpoint(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

} // namespace

gateway_process::gateway_process(const core::fleet_settings& given, const dialect& speaks,
                                 runtime::worker_pool& pool)
    : pool_(pool), self_{random_id()}, state_(std::make_shared<gateway_state>()),
      callers_(std::make_shared<caller_server>())
{
    state_->settings = given;
    state_->speaks = speaks;
    state_->controls = given.seeds;
    links_ = std::make_unique<wire::link>(pool_.executor(), core::make_link_settings(), self_);
    ledger_ = std::make_unique<wire::group_client>(*links_, std::vector<replica_address>{});
    control_ = std::make_unique<wire::group_client>(*links_, std::vector<replica_address>{});
    know_controls();
}

gateway_process::~gateway_process() = default;

void gateway_process::start()
{
    links_->listen(
        core::link_listen_address(state_->settings),
        [this](const wire::peer_route& from, const wire::envelope_ptr& message) { receive(message); });
    callers_->handle = make_call_handler({state_, ledger_.get(), links_.get()});
    const tcp::endpoint at = parse_endpoint(state_->settings.caller_listen);
    acceptor_ = std::make_shared<tcp::acceptor>(pool_.executor());
    try {
        acceptor_->open(at.protocol());
        acceptor_->set_option(tcp::acceptor::reuse_address(true));
        acceptor_->bind(at);
        acceptor_->listen();
    }
    catch (const boost::system::system_error& fault) {
        throw link_error(state_->settings.caller_listen + " can't be listened at: " + fault.what());
    }
    pool_.spawn(accept_callers(acceptor_, callers_));
    pool_.spawn(subscribe_loop());
    readiness_ = std::make_unique<http::server>(
        pool_.executor(), state_->settings.readiness_listen, http::server_limits{},
        [this](http::request& received, http::responder& out) { return answer_readiness(received, out); });
    add_metrics();
    if (!state_->settings.metrics_listen.empty()) {
        metrics_server_ =
            std::make_unique<http::server>(pool_.executor(), state_->settings.metrics_listen,
                                           http::server_limits{}, http::make_metrics_handler(metrics_));
    }
}

void gateway_process::set_seeds(const std::vector<std::string>& seeds)
{
    asio::post(pool_.executor(), [this, seeds] {
        for (const std::string& one : seeds) {
            if (std::find(state_->controls.begin(), state_->controls.end(), one) == state_->controls.end()) {
                state_->controls.push_back(one);
            }
        }
    });
}

void gateway_process::know_controls()
{
    std::vector<replica_address> replicas;
    replicas.reserve(state_->controls.size());
    for (const std::string& one : state_->controls) {
        replicas.push_back({one, one});
    }
    control_->set_replicas(std::move(replicas));
}

bool gateway_process::is_ready() const
{
    return state_->plan != nullptr && state_->ledgers > 0 && !state_->instances.instances.empty() &&
           !state_->leaving;
}

asio::awaitable<void> gateway_process::answer_readiness(http::request& received, http::responder& out)
{
    const bool asked = received.target == state_->speaks.readiness_path;
    http::response answer = http::make_response(!asked ? 404 : is_ready() ? 200 : 503, "text/plain", "");
    co_await out.send(std::move(answer));
}

void gateway_process::stop()
{
    const time_point begun = runtime_clock::now();
    asio::post(pool_.executor(), [this] {
        state_->leaving = true;
        callers_->leaving = true;
    });
    // Until the balancer has noticed, new connections still come and are served.
    const time_point limit = begun + state_->settings.stop_grace - stop_margin;
    bool closed = false;
    while (runtime_clock::now() < limit) {
        std::promise<std::size_t> count;
        const bool close_now = !closed && runtime_clock::now() - begun > balancer_notice;
        asio::post(pool_.executor(), [this, close_now, &count] {
            if (close_now) {
                boost::system::error_code ignored;
                acceptor_->close(ignored);
            }
            if (callers_->close_idle && state_->leaving && close_now) {
                callers_->close_idle();
            }
            count.set_value(callers_->running);
        });
        const std::size_t running = count.get_future().get();
        closed = closed || close_now;
        if (closed && running == 0) {
            break;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    running_.store(false);
    readiness_->drain();
}

void gateway_process::close()
{
    links_->close();
}

void gateway_process::receive(const wire::envelope_ptr& message)
{
    asio::post(pool_.executor(), [this, message] {
        if (message->has_view()) {
            take_view(message->view());
        }
        else if (message->has_directory()) {
            take_directory(message->directory());
        }
        else if (message->has_hello()) {
            take_hello(message->hello());
        }
    });
}

void gateway_process::take_view(const wire::control_view& view)
{
    state_->plan_confirmed_at = runtime_clock::now();
    note_answer(state_->control, state_->plan_confirmed_at);
    if (view.revision() <= state_->revision) {
        return;
    }
    // A replica that has just started or is cut off may hold an old view. An entry without any waits a while
    // for one that a quorum confirmed; later the revision decides.
    const bool patient = runtime_clock::now() - started_at_ < confirmation_patience;
    if (!state_->plan && !view.confirmed() && patient) {
        return;
    }
    const std::uint64_t held = state_->plan ? state_->plan->plan.version.value : 0;
    if (view.version() > held && !view.has_document()) {
        return; // the next subscription asks for the document
    }
    if (view.has_document() && view.version() > held) {
        try {
            state_->plan = std::make_shared<const plan::indexed_plan>(
                plan::index_plan(state_->speaks.decode_plan(decompress(view.document()))));
        }
        catch (const decode_error& fault) {
            log_event(event::configuration_refused, {{"version", view.version()}, {"reason", fault.what()}});
            return;
        }
        callers_->limits = state_->plan->plan.limits;
        state_->counters.plan_version.store(view.version());
    }
    state_->revision = view.revision();
    const std::set<std::string> before = state_->evacuated;
    state_->evacuated = {view.evacuated().begin(), view.evacuated().end()};
    for (const std::string& one : before) {
        if (!state_->evacuated.contains(one)) {
            state_->returned_at[one] = runtime_clock::now();
        }
    }
    log_event(event::configuration_in_force, {{"revision", view.revision()},
                                              {"version", view.version()},
                                              {"before", held},
                                              {"evacuated", std::uint64_t{state_->evacuated.size()}}});
}

void gateway_process::take_directory(const wire::directory_update& update)
{
    const time_point now = runtime_clock::now();
    for (const wire::instance_record& one : update.instances()) {
        const directory::instance_id id{one.id()};
        const auto held = state_->instances.instances.find(id);
        if (one.routine()) {
            if (held != state_->instances.instances.end() && held->second.started_ms == one.started_ms() &&
                held->second.sequence < one.sequence()) {
                held->second.sequence = one.sequence();
                held->second.last_seen_at = now;
            }
            continue;
        }
        const directory::instance_record word = core::from_wire(one, now);
        const bool changed =
            word.state == directory::instance_state::gone
                ? directory::mark_gone(state_->instances, id, word.started_ms, now)
                : directory::merge(state_->instances, word, now) == directory::merge_result::changed;
        if (!changed) {
            continue;
        }
        const directory::instance_record& now_held = state_->instances.instances.at(id);
        state_->connections.drop_instance(one.id());
        log_event(event::instance_changed, {{"instance", one.id()},
                                            {"state", std::uint64_t(now_held.state)},
                                            {"address", now_held.address},
                                            {"started_ms", now_held.started_ms},
                                            {"sequence", now_held.sequence}});
    }
    for (const wire::crash_record& one : update.crashes()) {
        directory::record_crash(state_->crashes, one.request_hash(), one.instance(), now);
    }
    state_->counters.instances.store(state_->instances.instances.size());
}

void gateway_process::take_hello(const wire::control_hello& hello)
{
    note_answer(state_->control, runtime_clock::now());
    if (hello.unchanged()) {
        return;
    }
    hello_digests_[hello.sender()] = hello.digest();
    for (const std::string& one : hello.control()) {
        if (std::find(state_->controls.begin(), state_->controls.end(), one) == state_->controls.end()) {
            state_->controls.push_back(one);
            if (state_->controls.size() > most_controls) {
                hello_digests_.erase(state_->controls.front());
                stores_told_.erase(state_->controls.front());
                state_->controls.erase(state_->controls.begin());
            }
        }
    }
    know_controls();
    if (hello.stores_size() > 0 && hello.ledgers_size() > 0) {
        std::map<std::string, std::string>& told = stores_told_[hello.sender()];
        told.clear();
        for (const wire::peer_address& one : hello.stores()) {
            told[one.endpoint()] = one.name();
        }
        if (state_->ledgers == 0) {
            begin_to_borrow(static_cast<std::size_t>(hello.ledgers_size()));
        }
        know_stores();
    }
    state_->entries = std::max<std::size_t>(hello.entries(), 1);
}

void gateway_process::know_stores()
{
    // A replica that has just started, or is cut off, knows only some of them.
    std::map<std::string, std::string> all;
    for (const auto& [sender, told] : stores_told_) {
        all.insert(told.begin(), told.end());
    }
    std::vector<replica_address> stores;
    stores.reserve(all.size());
    for (const auto& [endpoint, name] : all) {
        stores.push_back({name, endpoint});
    }
    ledger_->set_replicas(std::move(stores));
}

void gateway_process::begin_to_borrow(std::size_t ledgers)
{
    rates_ = std::make_unique<entry::rate_gate>(*ledger_, self_, static_cast<std::uint32_t>(ledgers),
                                                core::first_ledger_group);
    for (std::uint32_t shard = 0; shard < ledgers; ++shard) {
        pool_.spawn(rates_->borrow_loop(shard, [this] { return running_.load(); }));
    }
    state_->rates = rates_.get();
    state_->ledgers = ledgers;
}

void gateway_process::subscribe(directory_wish asks)
{
    wire::envelope message;
    wire::subscribe_request* body = message.mutable_subscribe();
    body->set_endpoint(state_->settings.link);
    body->set_name(state_->settings.node);
    body->set_role("entry");
    body->set_data_centre(state_->settings.data_centre);
    body->set_revision(state_->revision);
    body->set_version(state_->plan ? state_->plan->plan.version.value : 0);
    for (std::size_t i = 0; i < state_->controls.size(); ++i) {
        const std::string& endpoint = state_->controls[i];
        const auto digest = hello_digests_.find(endpoint);
        body->set_hello_digest(digest == hello_digests_.end() ? 0 : digest->second);
        body->set_whole_directory(asks == directory_wish::from_all ||
                                  (asks == directory_wish::from_one && i == next_directory_));
        links_->send(endpoint, message);
    }
    if (asks == directory_wish::from_one) {
        next_directory_ = (next_directory_ + 1) % std::max<std::size_t>(state_->controls.size(), 1);
    }
}

asio::awaitable<void> gateway_process::subscribe_loop()
{
    for (std::uint32_t round = 0; running_.load(); ++round) {
        // On the thread of the pool, like everything that touches the state.
        subscribe(round < first_rounds            ? directory_wish::from_all
                  : round % directory_rounds == 0 ? directory_wish::from_one
                                                  : directory_wish::none);
        const time_point now = runtime_clock::now();
        directory::remove_expired(state_->crashes, now);
        if (now - std::max(state_->control.heard_at, started_at_) > control_silence) {
            note_silence(state_->control, "no control replica answers the subscriptions", now);
        }
        state_->connections.drop_idle(now);
        co_await runtime::wait_for(subscribe_interval);
    }
}

void gateway_process::add_metrics()
{
    const auto add = [this](const char* name, const char* help, bool counter,
                            const std::atomic<std::uint64_t>& from) {
        metrics_.add({name, help, counter, [&from] { return static_cast<double>(from.load()); }, ""});
    };
    const gateway_counters& from = state_->counters;
    add("guavawick_gateway_answered_total", "Calls that got an upstream's answer.", true, from.answered);
    add("guavawick_gateway_refused_total", "Calls that were refused and did not run.", true, from.refused);
    add("guavawick_gateway_failed_total", "Calls that got no whole answer.", true, from.failed);
    add("guavawick_gateway_retried_total", "Further attempts of calls.", true, from.retried);
    add("guavawick_gateway_connects_total", "Connections opened to upstreams.", true, from.connects);
    add("guavawick_gateway_plan_version", "Version of the plan in force.", false, from.plan_version);
    add("guavawick_gateway_instances", "Upstream instances in the directory.", false, from.instances);
}

} // namespace guavawick::gateway
