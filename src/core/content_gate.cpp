// The content budget of a store process.
#include "core/content_gate.hpp"

#include "base/event_type.hpp"

namespace guavawick::core {

content_gate::content_gate(std::uint64_t memory_limit)
{
    budget_.max_transfer = max_transfer_bytes(memory_limit);
}

wire::envelope make_offer_reply(offer_outcome outcome)
{
    wire::envelope reply;
    reply.mutable_content_offered()->set_outcome(static_cast<std::uint32_t>(outcome));
    return reply;
}

bool content_gate::reserve(const content_key& key, std::uint64_t bytes, duration time_left)
{
    const std::lock_guard lock(mutex_);
    if (reserve_content(budget_, key, bytes, time_left, runtime_clock::now())) {
        return true;
    }
    log_event(event::content_refused, {{"request", key.turn.request.value},
                                       {"group", std::uint64_t{key.group}},
                                       {"bytes", bytes},
                                       {"running", std::uint64_t{budget_.reservations.size()}},
                                       {"bytes_per_second", std::uint64_t(budget_.bytes_per_second)},
                                       {"disk_room", budget_.disk_room},
                                       {"time_left_ms", std::uint64_t(to_ms(time_left))}});
    return false;
}

void content_gate::release(const content_key& key)
{
    const std::lock_guard lock(mutex_);
    release_reservation(budget_, key);
}

void content_gate::offer(const content_offer& offer, reply_function send_reply)
{
    std::vector<pending_reply> replies;
    {
        const std::lock_guard lock(mutex_);
        add_offer(budget_, offer);
        waiting_[offer.key] = std::move(send_reply);
        grant(replies);
    }
    send(replies);
}

bool content_gate::begin(const content_key& key, std::uint64_t bytes)
{
    const std::lock_guard lock(mutex_);
    return begin_transfer(budget_, key, bytes, runtime_clock::now());
}

bool content_gate::begin_timed(const content_key& key, std::uint64_t bytes)
{
    const std::lock_guard lock(mutex_);
    return begin_timed_transfer(budget_, key, bytes, runtime_clock::now());
}

void content_gate::end(const content_key& key, bool committed)
{
    std::vector<pending_reply> replies;
    {
        const std::lock_guard lock(mutex_);
        end_transfer(budget_, key, committed, runtime_clock::now());
        grant(replies);
    }
    send(replies);
}

void content_gate::set_disk_room(std::uint64_t bytes)
{
    const std::lock_guard lock(mutex_);
    budget_.disk_room = bytes;
}

void content_gate::check()
{
    std::vector<pending_reply> replies;
    {
        const std::lock_guard lock(mutex_);
        const std::vector<content_offer> late = remove_expired(budget_, runtime_clock::now());
        collect_replies(late, make_offer_reply(offer_outcome::refused), replies);
        grant(replies);
    }
    send(replies);
}

void content_gate::drop_group(std::uint32_t group)
{
    std::vector<pending_reply> replies;
    {
        const std::lock_guard lock(mutex_);
        wire::envelope redirect;
        redirect.mutable_redirect();
        collect_replies(remove_group(budget_, group), redirect, replies);
        grant(replies);
    }
    send(replies);
}

void content_gate::grant(std::vector<pending_reply>& replies)
{
    collect_replies(grant_offers(budget_, runtime_clock::now()), make_offer_reply(offer_outcome::granted),
                    replies);
}

void content_gate::collect_replies(const std::vector<content_offer>& offers, const wire::envelope& reply,
                                   std::vector<pending_reply>& replies)
{
    for (const content_offer& offer : offers) {
        const auto found = waiting_.find(offer.key);
        if (found != waiting_.end()) {
            replies.emplace_back(std::move(found->second), reply);
            waiting_.erase(found);
        }
    }
}

void content_gate::send(const std::vector<pending_reply>& replies)
{
    for (const auto& [send_reply, reply] : replies) {
        send_reply(reply);
    }
}

} // namespace guavawick::core
