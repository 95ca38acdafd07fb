// Selection of the upstreams that are offered to the ledger for a call.
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "entry/call_state.hpp"
#include "wire.pb.h"

namespace guavawick::entry {

namespace asio = boost::asio;

namespace {

constexpr duration no_upstream_retry_interval = 100ms;
constexpr double preferred_upstream_bonus_seconds =
    0.02; ///< lead of the entry's own choice, so that it wins among equal upstreams
constexpr std::uint64_t default_reserved_tokens = 4096;

std::uint64_t new_message_tokens(const active_call& call)
{
    std::uint64_t bytes = call.request.service_body.size();
    for (const std::string& message : call.request.chat.messages) {
        bytes += message.size();
    }
    return caller::estimate_tokens(bytes);
}
void check_startable(const active_call& call)
{
    const time_point now = runtime_clock::now();
    if (!call.context.tables.is_fresh(now)) {
        throw refusal_error(failure::configuration_stale, "the configuration could not be confirmed in time",
                            1000U);
    }
    if (call.context.tables.losses_of(call.request.request_hash) >= configuration::quarantine_threshold) {
        throw refusal_error(failure::request_quarantined, "upstreams were lost while they ran this request");
    }
    if (now >= call.deadline) {
        throw refusal_error(failure::overloaded, "the call could not start in time", 1000U);
    }
}

} // namespace

std::uint64_t reserved_tokens(const active_call& call)
{
    if (call.is_service()) {
        return 0;
    }
    const std::uint64_t route_tokens =
        call.request.route.max_tokens != 0 ? call.request.route.max_tokens : default_reserved_tokens;
    return call.request.chat.max_tokens != 0 ? call.request.chat.max_tokens : route_tokens;
}
asio::awaitable<upstream_selection> find_upstreams(active_call& call)
{
    routing::routing_request routing_request;
    routing_request.affinity_hash = call.request.ephemeral ? 0 : hash_bytes(call.program_key());
    routing_request.prompt_tokens =
        new_message_tokens(call); // the ledger adds the prefill of the history, as only it knows its size
    routing_request.expected_tokens =
        call.request.chat.max_tokens != 0
            ? std::min<std::uint64_t>(call.request.chat.max_tokens, default_expected_tokens)
            : default_expected_tokens;
    const std::string& policy = call.context.settings.routing;
    routing_request.policy = policy == "round_robin"   ? routing::routing_policy::round_robin
                             : policy == "no_affinity" ? routing::routing_policy::no_affinity
                                                       : routing::routing_policy::expected_time;
    while (true) {
        check_startable(call);
        routing_request.suspect =
            call.suspect || call.context.tables.losses_of(call.request.request_hash) != 0;
        routing_request.call_number = call.context.next_call_number.fetch_add(1);
        std::vector<routing::candidate> candidates = call.context.tables.candidates(
            call.request.route.kind, call.request.route.serves, call.program_key());
        std::erase_if(candidates, [&](const routing::candidate& candidate) {
            const bool refused = std::find(call.refused_upstreams.begin(), call.refused_upstreams.end(),
                                           candidate.name.value) != call.refused_upstreams.end();
            return refused || (routing_request.suspect && candidate.load.suspects != 0);
        });
        const auto preferred = routing::choose_upstream(candidates, routing_request);
        if (preferred) {
            call.suspect = routing_request.suspect;
            upstream_selection selection;
            selection.candidates = std::move(candidates);
            selection.preferred = *preferred;
            selection.routing_request = routing_request;
            co_return selection;
        }
        call.refused_upstreams.clear();
        if (runtime_clock::now() + no_upstream_retry_interval >= call.deadline) {
            throw refusal_error(failure::no_upstream,
                                "no upstream serves " + call.request.route.serves + " now", 1000U);
        }
        co_await runtime::wait_for(no_upstream_retry_interval);
    }
}

void add_choices(const upstream_selection& selection, wire::open_call_request* request)
{
    if (selection.routing_request.policy != routing::routing_policy::expected_time) {
        return;
    }
    for (std::size_t index = 0; index < selection.candidates.size(); ++index) {
        const routing::candidate& candidate = selection.candidates[index];
        wire::upstream_choice* choice = request->add_choices();
        choice->set_upstream(candidate.name.value);
        choice->set_incarnation(candidate.incarnation.value);
        choice->set_endpoint(candidate.endpoint);
        const double preference = index == selection.preferred ? preferred_upstream_bonus_seconds : 0.0;
        choice->set_seconds(routing::expected_completion_seconds(candidate, selection.routing_request) -
                            preference);
        choice->set_prefill_tokens_per_second(candidate.load.prefill_tokens_per_second);
    }
}

} // namespace guavawick::entry
