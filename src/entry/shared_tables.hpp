// Tables shared by an entry's threads: configuration, directory, load of upstreams, cached programs.
#pragma once

#include "configuration/configuration_func.hpp"
#include "configuration/directory_type.hpp"
#include "routing/routing_func.hpp"

#include <list>
#include <map>
#include <mutex>
#include <unordered_map>

namespace guavawick::wire {
class poll_reply;
class load_report;
} // namespace guavawick::wire

namespace guavawick::entry {

/// Upstream that last held a program's engine memory, and its size in tokens.
struct program_cache {
    upstream_name upstream;
    std::uint64_t tokens = 0;
};

/// State from the control group's poll replies and from sidecars.
/// Thread safety: all functions may be called by any thread.
/// Lock order: no other mutex is locked and no callback is called while the mutex of this class is held.
class shared_tables {
public:
    shared_tables(data_centre_name own_data_centre, duration configuration_lease, std::uint64_t subset_size,
                  std::uint64_t entry_key);

    /// Applies a poll reply of the control group. Replies with an older revision are ignored.
    /// @param sent_at time at which the poll was sent.
    /// @return whether the configuration revision increased.
    bool apply_poll_reply(const wire::poll_reply& reply, time_point sent_at);
    /// @return the configuration in force.
    [[nodiscard]] configuration::view_ptr view() const;
    /// @return whether the configuration was confirmed within the lease.
    [[nodiscard]] bool is_fresh(time_point now) const;
    /// @return the time since the latest confirmation; duration::max() if there was none.
    [[nodiscard]] duration age(time_point now) const;
    /// @return the configuration revision and the directory version that the next poll starts from.
    [[nodiscard]] std::pair<std::uint64_t, std::uint64_t> poll_position() const;
    /// Fills the reply to a sidecar's poll with the configuration changes after a revision, or with the whole
    /// configuration if the changes are no longer known. API keys are left out.
    void fill_sidecar_reply(std::uint64_t after_revision, time_point now, wire::poll_reply* message) const;

    /// @return the upstreams of this entry that accept calls of a route, with their load and the size of the
    /// program's cached history.
    [[nodiscard]] std::vector<routing::candidate> candidates(configuration::service_kind kind,
                                                             const std::string& serves,
                                                             const std::string& program_key) const;
    /// @return the incarnation of an upstream in the directory; empty if it is gone.
    [[nodiscard]] incarnation_id incarnation_of(const upstream_name& name) const;
    /// @return the endpoint of an upstream's sidecar; empty if the upstream is gone.
    [[nodiscard]] std::string endpoint_of(const upstream_name& name) const;
    /// @return names and sidecar endpoints of the upstreams that this entry sends calls to.
    [[nodiscard]] std::vector<std::pair<upstream_name, std::string>> endpoints() const;
    /// @return the number of upstream losses that a request with this hash is suspected of causing.
    [[nodiscard]] std::uint32_t losses_of(body_hash request_hash) const;

    /// Records the load report of an upstream.
    void record_load(const upstream_name& name, const wire::load_report& report);
    /// Counts a call that was sent to an upstream since its last load report.
    void record_sent(const upstream_name& name);
    /// Records which upstream holds a program's engine memory, and its size.
    void record_cache(const std::string& program_key, const upstream_name& name, std::uint64_t tokens);
    /// @return the last recorded engine memory of a program; default values if there is none.
    [[nodiscard]] program_cache cache_of(const std::string& program_key) const;
    /// Records the root of a program.
    void record_root(const std::string& program_key, const program_name& root);
    /// @return the root of a program, empty if unknown.
    [[nodiscard]] program_name root_of(const std::string& program_key) const;

private:
    struct upstream_state {
        configuration::upstream_record record;
        routing::load_report load;
        std::uint32_t sent_since_report = 0;
    };
    struct program_state {
        program_cache cache;
        program_name root;
        std::list<std::string>::iterator lru_position;
    };

    void rebuild_subsets();
    program_state& touch_program(const std::string& program_key);

    data_centre_name own_data_centre_;
    duration configuration_lease_;
    std::uint64_t subset_size_;
    std::uint64_t entry_key_;

    mutable std::mutex mutex_;                 ///< guards everything below
    configuration::configuration_state state_; ///< only revision, objects and deltas are set
    configuration::view_ptr view_;
    time_point confirmed_at_{};
    std::uint64_t directory_version_ = 0;
    std::map<upstream_name, upstream_state> upstreams_;
    std::map<std::pair<configuration::service_kind, std::string>, std::vector<upstream_name>> subsets_;
    std::unordered_map<body_hash, std::uint32_t> losses_;
    std::unordered_map<std::string, program_state> programs_;
    std::list<std::string> program_lru_; ///< keys of programs_, least recently used first
};

} // namespace guavawick::entry
