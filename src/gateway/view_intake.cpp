// Pace at which a gateway takes over the plans that control pushes.
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

} // namespace guavawick::gateway
