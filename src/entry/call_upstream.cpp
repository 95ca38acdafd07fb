// Choice of an upstream for a call.
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "entry/call_state.hpp"
#include "wire.pb.h"

namespace guavawick::entry {

namespace asio = boost::asio;

namespace {

constexpr duration no_upstream_pause = 100ms;
constexpr double first_choice_seconds =
    0.02; ///< preference for the entry's own choice where nothing else decides
constexpr std::uint64_t default_reserved_tokens = 4096;

std::uint64_t new_message_tokens(const call_flow& flow)
{
    std::uint64_t bytes = flow.plan.service_body.size();
    for (const std::string& one : flow.plan.chat.messages) {
        bytes += one.size();
    }
    return caller::estimate_tokens(bytes);
}
void check_still_allowed(const call_flow& flow)
{
    const time_point now = runtime_clock::now();
    if (!flow.context.tables.is_fresh(now)) {
        throw refusal_error(failure::configuration_stale, "the configuration could not be confirmed in time",
                            1000U);
    }
    if (flow.context.tables.losses_of(flow.plan.body) >= configuration::quarantine_threshold) {
        throw refusal_error(failure::request_quarantined, "upstreams were lost while they ran this request");
    }
    if (now >= flow.deadline) {
        throw refusal_error(failure::overloaded, "the call could not start in time", 1000U);
    }
}

} // namespace

std::uint64_t reserved_tokens(const call_flow& flow)
{
    if (flow.is_service()) {
        return 0;
    }
    const std::uint64_t by_route =
        flow.plan.route.max_tokens != 0 ? flow.plan.route.max_tokens : default_reserved_tokens;
    return flow.plan.chat.max_tokens != 0 ? flow.plan.chat.max_tokens : by_route;
}
/// Lists the upstreams that may take the call, waiting while none will do. @throw refusal_error at the
/// deadline.
asio::awaitable<upstream_offer> find_upstreams(call_flow& flow)
{
    routing::routing_request wish;
    wish.affinity_hash = flow.plan.ephemeral ? 0 : hash_bytes(flow.program_key());
    wish.prompt_tokens =
        new_message_tokens(flow); // the ledger adds the prefill of the history, whose size it knows
    wish.expected_tokens = flow.plan.chat.max_tokens != 0
                               ? std::min<std::uint64_t>(flow.plan.chat.max_tokens, default_answer_tokens)
                               : default_answer_tokens;
    const std::string& policy = flow.context.settings.routing;
    wish.policy = policy == "round_robin"   ? routing::routing_policy::round_robin
                  : policy == "no_affinity" ? routing::routing_policy::no_affinity
                                            : routing::routing_policy::expected_time;
    while (true) {
        check_still_allowed(flow);
        wish.suspect = flow.suspect || flow.context.tables.losses_of(flow.plan.body) != 0;
        wish.call_number = flow.context.turns.fetch_add(1);
        std::vector<routing::candidate> found =
            flow.context.tables.candidates(flow.plan.route.kind, flow.plan.route.serves, flow.program_key());
        std::erase_if(found, [&](const routing::candidate& one) {
            const bool refused =
                std::find(flow.tried.begin(), flow.tried.end(), one.name.value) != flow.tried.end();
            return refused || (wish.suspect && one.load.suspects != 0);
        });
        const auto place = routing::choose_upstream(found, wish);
        if (place) {
            flow.suspect = wish.suspect;
            upstream_offer offer;
            offer.candidates = std::move(found);
            offer.first_choice = *place;
            offer.wish = wish;
            co_return offer;
        }
        flow.tried.clear();
        if (runtime_clock::now() + no_upstream_pause >= flow.deadline) {
            throw refusal_error(failure::no_upstream, "no upstream serves " + flow.plan.route.serves + " now",
                                1000U);
        }
        co_await runtime::wait_for(no_upstream_pause);
    }
}

/// Adds what the ledger needs to weigh the upstreams against where the history is cached.
void add_choices(const upstream_offer& offer, wire::open_call_request* into)
{
    if (offer.wish.policy != routing::routing_policy::expected_time) {
        return;
    }
    for (std::size_t place = 0; place < offer.candidates.size(); ++place) {
        const routing::candidate& there = offer.candidates[place];
        wire::upstream_choice* made = into->add_choices();
        made->set_upstream(there.name.value);
        made->set_incarnation(there.incarnation.value);
        made->set_endpoint(there.endpoint);
        const double preference = place == offer.first_choice ? first_choice_seconds : 0.0;
        made->set_seconds(routing::expected_completion_seconds(there, offer.wish) - preference);
        made->set_prefill_tokens_per_second(there.load.prefill_tokens_per_second);
    }
}

} // namespace guavawick::entry
