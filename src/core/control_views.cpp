// The control role of a fleet: the view that gateways subscribe to.
#include "core/control_process.hpp"

#include "base/event_type.hpp"
#include "rollout/rollout_codec.hpp"
#include "wire.pb.h"

namespace guavawick::core {

namespace {

constexpr duration behind_log_delay = 2s;    ///< most of the time in which a plan must take effect
constexpr duration behind_log_interval = 5s; ///< between two lines on one gateway

/// @return the status of each ledger group in a store's report, by group number.
std::map<std::uint32_t, ledger_group_status> decode_groups(const wire::store_report& report)
{
    std::map<std::uint32_t, ledger_group_status> groups;
    for (const wire::ledger_report& group : report.groups()) {
        ledger_group_status& status = groups[group.group()];
        status.blank = group.blank();
        status.leads = group.leads();
        for (const wire::member& member : group.members()) {
            status.members.push_back({consensus::member_id{member.id()}, member.name(), member.endpoint(),
                                      member.voter(), 0, member.data_centre()});
            if (!member.in_touch()) {
                status.unreachable_members.push_back(member.name());
            }
        }
    }
    return groups;
}

} // namespace

void control_process::push_view_to_all(std::uint64_t known_version)
{
    push_pending_ = false;
    const fleet_view view = view_.load();
    std::vector<std::string> endpoints;
    {
        const std::lock_guard lock(mutex_);
        for (const auto& [endpoint, subscriber] : subscribers_) {
            endpoints.push_back(endpoint);
        }
    }
    if (!group_->has_read_lease()) {
        if (group_->leads()) {
            views_not_sent_.fetch_add(endpoints.size());
            log_event(event::view_not_sent, {{"reason", "the leader holds no read lease"},
                                             {"version", view->document_version},
                                             {"revision", view->revision},
                                             {"gateways", std::uint64_t{endpoints.size()}}});
        }
        return;
    }
    for (const std::string& endpoint : endpoints) {
        push_view(endpoint, *view, view->document_version == known_version ? known_version : 0, true);
    }
}

void control_process::publish_view()
{
    const time_point now = runtime_clock::now();
    view_.store(std::make_shared<const fleet_state>(state_));
    view_published_at_.store(now);
    const std::lock_guard lock(mutex_);
    record_publication(publications_, state_.revision, now);
}

void control_process::push_view(const std::string& endpoint, const fleet_state& view,
                                std::uint64_t known_version, bool confirmed)
{
    wire::envelope message;
    wire::control_view* body = message.mutable_view();
    body->set_revision(view.revision);
    body->set_version(view.document_version);
    body->set_confirmed(confirmed);
    body->set_sender(settings_.link);
    body->set_has_document(known_version < view.document_version);
    if (body->has_document()) {
        body->set_document(view.document);
    }
    for (const std::string& data_centre : view.evacuated_data_centres) {
        body->add_evacuated(data_centre);
    }
    for (const auto& [service, rollout] : view.rollouts) {
        rollout::to_wire(rollout, body->add_rollouts());
    }
    body->set_age_ms(static_cast<std::uint32_t>(to_ms(runtime_clock::now() - view_published_at_.load())));
    views_sent_.fetch_add(1);
    links_->send(endpoint, std::move(message));
}

void control_process::report_gateway_behind(const wire::subscribe_request& request, const fleet_state& view,
                                            time_point now)
{
    duration behind{};
    {
        const std::lock_guard lock(mutex_);
        behind = time_behind(publications_, request.revision(), now);
        time_point& logged_at = subscribers_[request.endpoint()].behind_logged_at;
        if (behind < behind_log_delay || now - logged_at < behind_log_interval) {
            return;
        }
        logged_at = now;
    }
    gateways_behind_.fetch_add(1);
    log_event(event::gateway_behind, {{"gateway", request.name()},
                                      {"endpoint", request.endpoint()},
                                      {"has_version", request.version()},
                                      {"has_revision", request.revision()},
                                      {"version", view.document_version},
                                      {"revision", view.revision},
                                      {"ms", std::uint64_t(to_ms(behind))},
                                      {"leads", group_->counters().leads.load() ? "yes" : "no"},
                                      {"hosted", settings_.hosts_replica ? "yes" : "no"}});
}

void control_process::add_view_metrics()
{
    const auto add = [this](const char* name, const char* help, const std::atomic<std::uint64_t>& value) {
        metrics_.add({name, help, true, [&value] { return static_cast<double>(value.load()); }, ""});
    };
    add("guavawick_control_views_sent_total", "Views sent to gateways.", views_sent_);
    add("guavawick_control_views_not_sent_total",
        "Views that the leader did not push, because it held no read lease.", views_not_sent_);
    add("guavawick_control_gateways_behind_total",
        "Reports of gateways that lacked a revision for longer than usual.", gateways_behind_);
}

void control_process::handle_subscription(const wire::subscribe_request& request)
{
    const time_point now = runtime_clock::now();
    const bool is_store = request.role() == "store";
    wire::envelope directory_message;
    {
        const std::lock_guard lock(mutex_);
        if (is_store) {
            store_status& status = stores_[request.endpoint()];
            status = {request.name(),
                      request.endpoint(),
                      request.data_centre(),
                      consensus::member_id{request.store().disk()},
                      decode_groups(request.store()),
                      now};
        }
        else {
            subscribers_[request.endpoint()].last_subscription = now;
        }
        if (request.whole_directory()) {
            for (const auto& [id, record] : instances_.instances) {
                to_wire(record, now, directory_message.mutable_directory()->add_instances());
            }
            for (const auto& [id, started_ms] : leaving_) {
                wire::leaving_record* leaving = directory_message.mutable_directory()->add_leaving();
                leaving->set_id(id.value);
                leaving->set_started_ms(started_ms);
            }
            for (const auto& [hash, suspect] : crashes_.suspects) {
                for (const auto& [incarnation, report] : suspect) {
                    to_wire(report, now, directory_message.mutable_directory()->add_crashes());
                }
            }
        }
    }
    if (directory_message.has_directory()) {
        links_->send(request.endpoint(), std::move(directory_message));
    }
    if (const std::shared_ptr<const prepared_hello> hello = hello_.load()) {
        const bool known = hello->full.hello().digest() == request.hello_digest();
        links_->send(request.endpoint(), known ? hello->unchanged : hello->full);
    }
    const fleet_view view = view_.load();
    if (!is_store && request.version() > 0 && request.revision() < view->revision) {
        report_gateway_behind(request, *view, now);
    }
    // A gateway asks one replica at a time: a document from every replica would saturate its link.
    const bool wants_view = !request.has_wants_view() || request.wants_view();
    if (!is_store && request.revision() < view->revision && wants_view) {
        schedule_push(request.endpoint(), request.version());
    }
}

void control_process::schedule_push(const std::string& endpoint, std::uint64_t known_version)
{
    {
        const std::lock_guard lock(mutex_);
        const bool is_task_queued = !scheduled_pushes_.empty();
        scheduled_pushes_[endpoint] = known_version;
        if (is_task_queued) {
            return;
        }
    }
    // The lease is checked on the group's thread when the view is sent. Another thread can't know whether the
    // leadership was handed over since the last tick.
    group_->post([this] { send_scheduled_pushes(); });
}

void control_process::send_scheduled_pushes()
{
    std::map<std::string, std::uint64_t> pushes;
    {
        const std::lock_guard lock(mutex_);
        pushes.swap(scheduled_pushes_);
    }
    const fleet_view view = view_.load();
    const bool is_confirmed = group_->has_read_lease();
    for (const auto& [endpoint, known_version] : pushes) {
        const bool has_plan = known_version > 0;
        if (has_plan || is_confirmed) { // a gateway without a plan accepts no other view
            push_view(endpoint, *view, known_version, is_confirmed);
        }
    }
}

} // namespace guavawick::core
