// The control role of a fleet: a replica of the control group and a place where upstream instances announce
// themselves.
#pragma once

#include "core/fleet_settings.hpp"
#include "core/fleet_state.hpp"
#include "core/group_dispatch.hpp"
#include "directory/directory_func.hpp"
#include "http/http_type.hpp"
#include "http/metrics_type.hpp"
#include "replica/log_store.hpp"
#include "runtime/worker_pool.hpp"
#include "wire/group_client.hpp"
#include "wire/link_type.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>

namespace guavawick::core {

/// The newest document and its version.
struct published_document {
    std::uint64_t version = 0; ///< 0 for none
    std::string bytes;
};

/// One control replica. Orders may be given to any replica; they are passed on to the leader.
/// Thread safety: orders and announcements from any thread; start(), stop() and set_seeds() by one.
/// Lock order: `mutex_` is a leaf. The state machine is used on the group's thread only.
class control_process {
public:
    control_process(const fleet_settings& given, runtime::worker_pool& pool);
    ~control_process();
    /// Starts to serve. @throw storage_error, link_error.
    void start(http::handler operators);
    /// Replaces the replicas that are asked first.
    void set_seeds(const std::vector<std::string>& seeds);
    /// Hands leadership over, then stops.
    void stop();
    /// Closes the links. @pre stop() returned and the pool's threads have stopped.
    void close();

    /// Takes an instance's announcement in and spreads it. A planned stop is acknowledged only once another
    /// replica has it too, or none answers.
    boost::asio::awaitable<void> announce(directory::instance_record word);
    /// Takes an instance's last word in and spreads it like announce().
    boost::asio::awaitable<void> leave(directory::instance_id id, std::uint64_t started_ms);
    /// Publishes a document. @return once it is committed. @throw link_error if that is not known in time.
    boost::asio::awaitable<void> publish(published_document document);
    /// Takes a data centre out or back in. @throw link_error as publish().
    boost::asio::awaitable<void> set_evacuation(std::string data_centre, bool out);
    /// @return the newest document, confirmed by a quorum. @throw link_error if none confirms it in time.
    boost::asio::awaitable<published_document> read_document();
    /// Begins to empty a store. @return its phase after the order. @throw link_error as publish().
    boost::asio::awaitable<retirement_phase> retire(std::string store);
    /// @return the phase of a store that is emptied. @throw link_error.
    boost::asio::awaitable<retirement_phase> query_retirement(std::string store);

private:
    using fleet_view = std::shared_ptr<const fleet_state>;

    void receive(const wire::peer_route& from, const wire::envelope_ptr& message);
    void serve(const wire::envelope_ptr& request, const reply_function& answer);
    void take_subscription(const wire::subscribe_request& wish);
    void handle_directory_update(const wire::directory_update& update);
    wire::envelope apply(const std::string& command);
    void publish_view();
    void push_view(const std::string& endpoint, const fleet_state& view, std::uint64_t held_version,
                   bool confirmed);
    void push_to_all(std::uint64_t held_version);
    void tick(time_point now);
    void found_ledger(time_point now);
    wire::envelope judge(const std::string& store, time_point now);
    wire::envelope make_hello(time_point now, std::uint64_t held_digest);
    wire::envelope make_whole_hello(time_point now);
    boost::asio::awaitable<void> spread(wire::envelope update, bool wait_for_peer);
    boost::asio::awaitable<wire::envelope> order(wire::envelope command);
    boost::asio::awaitable<void> batch_loop();
    void flush_batch();
    [[nodiscard]] std::vector<std::string> peers() const;

    fleet_settings settings_;
    runtime::worker_pool& pool_;
    replica::disk_identity disk_;
    std::unique_ptr<wire::link> links_;
    std::unique_ptr<replica::group> group_;
    std::unique_ptr<wire::group_client> client_;
    fleet_state state_;
    bool push_posted_ = false; ///< the view will be pushed after this batch
    std::atomic<bool> confirmed_{
        false};                    ///< this replica leads and a quorum confirmed it, as of the last tick
    time_point stores_seen_at_{};  ///< when the first store reported; for the founding of the ledger
    std::atomic<fleet_view> view_; ///< what was last applied
    std::atomic<time_point> view_at_{time_point{}}; ///< when that was
    std::atomic<bool> running_{true};

    mutable std::mutex mutex_; ///< guards everything below
    directory::directory instances_;
    directory::crash_table crashes_;
    std::map<std::string, time_point> subscribers_; ///< entries by endpoint, last heard
    std::map<std::string, store_status> stores_;    ///< by endpoint
    std::vector<std::string> seeds_;
    std::vector<std::string> members_; ///< links of the group's members
    wire::directory_update batch_;     ///< announcements for the entries
    std::set<std::uint64_t> confirms_; ///< planned stops that wait until another replica has them
    std::uint64_t next_confirm_ = 1;

    http::metric_set metrics_;
    std::unique_ptr<http::server> operators_;
    std::unique_ptr<http::server> metrics_server_;
};

/// Writes an instance's record into a message.
void to_wire(const directory::instance_record& record, time_point now, wire::instance_record* into);
/// @return the record in a message.
directory::instance_record from_wire(const wire::instance_record& message, time_point now);

} // namespace guavawick::core
