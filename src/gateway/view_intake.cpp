// How a gateway takes over the views of control: the pace of the plans that are pushed, and requests for
// views that no push has brought.
#include "gateway/gateway_process.hpp"

#include "wire.pb.h"

#include <algorithm>

namespace guavawick::gateway {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

/// Decoding a plan of 1,400 routes takes 5 ms of processor time, half of what 0.09 of a processor provides in
/// this interval, so a gateway keeps up with any number of versions. Longer intervals add to the time for
/// which gateways have different versions.
constexpr duration min_plan_interval = 100ms;
constexpr duration push_allowance = 200ms;        ///< for the leader's push of a view that a replica reports
constexpr duration view_request_interval = 400ms; ///< until another replica is asked
constexpr duration report_validity = 1500ms;      ///< three subscriptions

} // namespace

void gateway_process::receive_view(const wire::control_view& view)
{
    const bool is_newer = !pending_view_ || view.revision() > pending_view_->revision();
    const bool lacks_pending_document =
        pending_view_ && !view.has_document() && view.version() == pending_view_->version();
    if (lacks_pending_document && is_newer) {
        std::string document = std::move(*pending_view_->mutable_document());
        *pending_view_ = view;
        pending_view_->set_has_document(true);
        pending_view_->set_document(std::move(document));
        return;
    }
    const std::uint64_t current_version = state_->plan ? state_->plan->plan.version.value : 0;
    const bool has_new_plan = view.has_document() && view.version() > current_version;
    if (!has_new_plan || runtime_clock::now() >= next_plan_at_) {
        apply_view(view);
        return;
    }
    const bool is_scheduled = pending_view_ != nullptr;
    if (is_newer) {
        pending_view_ = std::make_unique<wire::control_view>(view);
        pending_since_ = runtime_clock::now();
    }
    if (!is_scheduled) {
        pool_.spawn(apply_pending_view());
    }
}

void gateway_process::apply_view(const wire::control_view& view)
{
    const std::shared_ptr<const plan::indexed_plan> previous = state_->plan;
    handle_view(view);
    if (state_->plan != previous) {
        next_plan_at_ = runtime_clock::now() + min_plan_interval;
    }
}

asio::awaitable<void> gateway_process::apply_pending_view()
{
    co_await runtime::wait_for(next_plan_at_ - runtime_clock::now());
    const std::unique_ptr<wire::control_view> view = std::move(pending_view_);
    view->set_age_ms(view->age_ms() +
                     static_cast<std::uint32_t>(to_ms(runtime_clock::now() - pending_since_)));
    apply_view(*view);
}

void gateway_process::record_plan_delay(const wire::control_view& view)
{
    const std::chrono::milliseconds delay(view.age_ms());
    const auto bound = std::lower_bound(plan_delay_bounds.begin(), plan_delay_bounds.end(), delay);
    state_->counters.plan_delays.at(static_cast<std::size_t>(bound - plan_delay_bounds.begin())).fetch_add(1);
    state_->counters.plan_delay_ms.store(view.age_ms());
}

wire::envelope gateway_process::make_subscription(bool wants_view) const
{
    wire::envelope envelope;
    wire::subscribe_request* message = envelope.mutable_subscribe();
    message->set_endpoint(state_->settings.link);
    message->set_name(state_->settings.node);
    message->set_role("entry");
    message->set_data_centre(state_->settings.data_centre);
    message->set_revision(state_->revision);
    message->set_version(state_->plan ? state_->plan->plan.version.value : 0);
    message->set_wants_view(wants_view);
    return envelope;
}

void gateway_process::record_reported_revision(const wire::control_hello& hello, time_point now)
{
    reported_revisions_[hello.sender()] = {hello.revision(), now};
    if (state_->plan && !fetches_view_ && !choose_view_source(now).empty()) {
        fetches_view_ = true;
        pool_.spawn(fetch_missing_view());
    }
}

std::string gateway_process::choose_view_source(time_point now) const
{
    const std::uint64_t own = std::max(state_->revision, pending_view_ ? pending_view_->revision() : 0);
    std::string first;
    for (const auto& [endpoint, reported] : reported_revisions_) {
        if (reported.revision <= own || now - reported.reported_at > report_validity) {
            continue;
        }
        if (endpoint > asked_for_view_) {
            return endpoint;
        }
        first = first.empty() ? endpoint : first;
    }
    return first;
}

asio::awaitable<void> gateway_process::fetch_missing_view()
{
    co_await runtime::wait_for(push_allowance);
    std::string source = choose_view_source(runtime_clock::now());
    while (!source.empty() && running_.load()) {
        asked_for_view_ = source;
        state_->counters.view_requests.fetch_add(1);
        wire::envelope request = make_subscription(true);
        request.mutable_subscribe()->set_hello_digest(hello_digests_[source]);
        link_->send(source, std::move(request));
        co_await runtime::wait_for(view_request_interval);
        source = choose_view_source(runtime_clock::now());
    }
    fetches_view_ = false;
}

} // namespace guavawick::gateway
