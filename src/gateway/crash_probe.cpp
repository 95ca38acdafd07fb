// Detection of instances that crash while they run a request.
#include "gateway/crash_probe.hpp"

#include "base/event_type.hpp"
#include "core/control_process.hpp"
#include "gateway/call_flow.hpp"
#include "wire.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace guavawick::gateway {

namespace asio = boost::asio;

namespace {

using namespace std::chrono_literals;

constexpr duration crash_probe_delay = 30ms;    ///< a crashed process refuses connections after this time
constexpr duration crash_probe_timeout = 400ms; ///< far above a handshake

void record_crashes(const call_context& context, const std::vector<directory::crash_report>& reports)
{
    gateway_state& state = *context.state;
    const time_point now = runtime_clock::now();
    wire::envelope message;
    for (const directory::crash_report& report : reports) {
        if (!directory::record_crash(state.crashes, report)) {
            continue;
        }
        state.counters.crashes.fetch_add(1);
        core::to_wire(report, now, message.mutable_directory()->add_crashes());
        log_event(
            event::request_quarantined,
            {{"body_hash", report.request_hash},
             {"instance", report.instance.value},
             {"started_ms", report.started_ms},
             {"crashes", std::uint64_t{directory::count_crashes(state.crashes, report.request_hash)}},
             {"refused", directory::is_quarantined(state.crashes, report.request_hash, now) ? "yes" : "no"}});
    }
    if (message.has_directory()) {
        send_to_control(context, message);
    }
}

asio::awaitable<void> probe_for_crash(call_context context, crash_probes::key_type incarnation,
                                      std::string address)
{
    co_await runtime::wait_for(crash_probe_delay);
    const connection_ptr connection =
        co_await connect_upstream(incarnation.first.value, address, crash_probe_timeout);
    const auto reports = context.state->probes.extract(incarnation);
    if (!connection) {
        record_crashes(context, reports.mapped());
    }
}

} // namespace

void start_crash_probe(const call_context& context, const asio::any_io_executor& executor,
                       const directory::crash_report& report, const std::string& address)
{
    const crash_probes::key_type incarnation{report.instance, report.started_ms};
    std::vector<directory::crash_report>& reports = context.state->probes[incarnation];
    reports.push_back(report);
    if (reports.size() == 1) {
        asio::co_spawn(executor, probe_for_crash(context, incarnation, address), asio::detached);
    }
}

void report_completion(const call_context& context, std::uint64_t request_hash)
{
    if (!directory::clear_suspect(context.state->crashes, request_hash)) {
        return;
    }
    log_event(event::suspect_cleared, {{"body_hash", request_hash}});
    wire::envelope message;
    message.mutable_directory()->add_completed_requests(request_hash);
    send_to_control(context, message);
}

} // namespace guavawick::gateway
