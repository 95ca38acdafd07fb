// The content budget of a store process, shared by the ledger groups that it leads.
#pragma once

#include "core/content_budget.hpp"
#include "core/group_serving.hpp"

#include <map>
#include <mutex>

namespace guavawick::core {

/// Admits turns with large contents and lets gateways send these one after the other.
/// Thread safety: every function may be called from any thread. Replies are sent without the lock held.
class content_gate {
public:
    /// @param memory_limit of the store in bytes; 0 if unknown.
    explicit content_gate(std::uint64_t memory_limit);
    /// Reserves room for a turn's content. @return as reserve_content(); a refusal is logged.
    bool reserve(const content_key& key, std::uint64_t bytes, duration time_left);
    /// Removes the reservation of a turn that has ended.
    void release(const content_key& key);
    /// Replies once the content may be sent, or when the offer's deadline has passed.
    void offer(const content_offer& offer, reply_function send_reply);
    /// Records that a content arrived. @return false if it must be dropped, as there is no room for it.
    bool begin(const content_key& key, std::uint64_t bytes);
    /// As begin_timed_transfer().
    bool begin_timed(const content_key& key, std::uint64_t bytes);
    /// Records that a content is committed or given up.
    void end(const content_key& key, bool committed);
    /// Sets how many bytes may still be stored; 0 if unknown.
    void set_disk_room(std::uint64_t bytes);
    /// Removes what has expired and grants the offers for which there is room. @pre called several times a
    /// second.
    void check();
    /// Redirects the offers of a group that this store no longer leads.
    void drop_group(std::uint32_t group);

private:
    using pending_reply = std::pair<reply_function, wire::envelope>;
    void collect_replies(const std::vector<content_offer>& offers, const wire::envelope& reply,
                         std::vector<pending_reply>& replies);
    void grant(std::vector<pending_reply>& replies);
    static void send(const std::vector<pending_reply>& replies);

    std::mutex mutex_; ///< guards everything below; no other lock is taken while it is held
    content_budget budget_;
    std::map<content_key, reply_function> waiting_; ///< replies to the offers in the budget
};

/// Decision on an offer. Values are part of the protocol.
enum class offer_outcome : std::uint32_t {
    granted = 0, ///< send the content now
    stored = 1,  ///< the turn is stored already
    refused = 2, ///< there was no room for the content in time
};

/// @return the reply to an offer.
wire::envelope make_offer_reply(offer_outcome outcome);

} // namespace guavawick::core
