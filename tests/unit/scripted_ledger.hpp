// A store that executes turns without consensus and confirms only what the test lets it confirm.
#pragma once

#include "base/failure_type.hpp"
#include "core/fleet_settings.hpp"
#include "free_address.hpp"
#include "turns/turn_func.hpp"
#include "wire.pb.h"
#include "wire/link_type.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

namespace guavawick::tests {

/// A store with the only ledger group. Thread safety: its public functions may be called from any thread.
struct scripted_ledger {
    std::string endpoint = "tcp://" + find_free_address();
    std::atomic<bool> withholds_openings{false}; ///< executes them and keeps their replies
    std::atomic<bool> refuses_openings{false};   ///< as an overloaded leader does
    std::atomic<bool> loses_history{false};      ///< replies name contents that can't be queried
    std::atomic<bool> records_streams{true};     ///< false: does not answer requests to record a stream
    std::atomic<int> record_requests{0};         ///< requests to record a stream, also repeated ones
    std::mutex mutex;                            ///< guards the members below
    turns::turn_state state;
    std::set<std::string> closed; ///< requests whose turns were closed
    std::vector<std::pair<wire::reply_target, wire::envelope>> withheld;
    wire::link links;

    explicit scripted_ledger(boost::asio::any_io_executor executor)
        : links(std::move(executor), core::make_link_settings(), incarnation_id{77})
    {
        links.listen(endpoint, [this](const wire::reply_target& from, const wire::envelope_ptr& message) {
            receive(from, *message);
        });
    }

    ~scripted_ledger() { links.close(); }
    scripted_ledger(const scripted_ledger&) = delete;
    scripted_ledger& operator=(const scripted_ledger&) = delete;

    /// Reports to control as a blank store does.
    void report_to(const std::string& control)
    {
        wire::envelope message;
        wire::subscribe_request* body = message.mutable_subscribe();
        body->set_endpoint(endpoint);
        body->set_name("store");
        body->set_role("store");
        body->set_data_centre("a");
        body->mutable_store()->set_disk(500);
        links.send(control, message);
    }

    std::size_t count_withheld()
    {
        const std::lock_guard lock(mutex);
        return withheld.size();
    }

    void release()
    {
        const std::lock_guard lock(mutex);
        withholds_openings = false;
        for (auto& [target, reply] : withheld) {
            links.reply(target, std::move(reply));
        }
        withheld.clear();
    }

private:
    void receive(const wire::reply_target& from, const wire::envelope& message)
    {
        const std::lock_guard lock(mutex);
        wire::envelope reply;
        if (message.has_open_turn()) {
            open(message.open_turn(), reply);
            if (withholds_openings) {
                withheld.emplace_back(from, std::move(reply));
                return;
            }
        }
        else if (message.has_close_turn()) {
            closed.insert(message.close_turn().request());
            turns::close_turn(state, turns::from_wire(message.close_turn()), {});
            reply.mutable_done();
        }
        else if (message.has_history_query()) {
            reply.mutable_history_part();
        }
        else if (message.has_record_stream()) {
            record_requests.fetch_add(1);
            if (!records_streams) {
                return;
            }
            reply.mutable_done();
        }
        else {
            return;
        }
        links.reply(from, std::move(reply));
    }

    void open(const wire::open_turn& request, wire::envelope& reply)
    {
        if (refuses_openings) {
            reply.mutable_refused()->set_failure(static_cast<std::uint32_t>(failure::overloaded));
            return;
        }
        const turns::open_result result = turns::open_turn(state, turns::from_wire(request));
        wire::open_turn_reply* opened = reply.mutable_turn_opened();
        opened->set_outcome(static_cast<std::uint32_t>(result.outcome));
        opened->set_spent(result.spent);
        opened->set_reserved(result.reserved);
        opened->set_history_contents(loses_history ? 1 : 0);
    }
};

} // namespace guavawick::tests
