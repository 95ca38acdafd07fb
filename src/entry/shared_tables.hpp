// Tables that an entry's workers share: configuration, directory, loads, caches.
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

/// Where a program's engine memory was last seen.
struct program_cache {
    upstream_name upstream;
    std::uint64_t tokens = 0;
};

/// What the poller holds. Thread safety: every function from any thread.
/// Lock order: this table's mutex is a leaf; no function calls out while it is held.
class shared_tables {
public:
    shared_tables(data_centre_name own_centre, duration lease, std::uint64_t subset, std::uint64_t entry_key);

    /// Takes in an answer of the control group. @param sent_at when the poll was sent. @return whether the
    /// revision rose.
    bool apply_poll_reply(const wire::poll_reply& reply, time_point sent_at);
    /// @return the configuration in force.
    [[nodiscard]] configuration::view_ptr view() const;
    /// @return whether the configuration was confirmed within the lease.
    [[nodiscard]] bool is_fresh(time_point now) const;
    /// @return the age of the newest confirmation.
    [[nodiscard]] duration age(time_point now) const;
    /// @return revision and directory version to poll after.
    [[nodiscard]] std::pair<std::uint64_t, std::uint64_t> position() const;
    /// Fills what a sidecar lacks after a revision; keys are left out.
    void fill_for_sidecar(std::uint64_t after_revision, time_point now, wire::poll_reply* into) const;

    /// @return the upstreams that may serve a route now, with what is known of them.
    [[nodiscard]] std::vector<routing::candidate> candidates(configuration::service_kind kind,
                                                             const std::string& serves,
                                                             const std::string& program_key) const;
    /// @return the incarnation that an upstream has in the directory; none if it is gone.
    [[nodiscard]] incarnation_id incarnation_of(const upstream_name& name) const;
    /// @return the sidecar endpoint of an upstream; empty if it is gone.
    [[nodiscard]] std::string endpoint_of(const upstream_name& name) const;
    /// @return endpoints of the upstreams that this entry talks to.
    [[nodiscard]] std::vector<std::pair<upstream_name, std::string>> endpoints() const;
    /// @return how many losses a body is suspected of.
    [[nodiscard]] std::uint32_t losses_of(body_hash body) const;

    /// Notes what an upstream says of itself.
    void note_load(const upstream_name& name, const wire::load_report& report);
    /// Counts a call sent there until the next report.
    void note_sent(const upstream_name& name);
    /// Remembers where a program's memory is.
    void note_cache(const std::string& program_key, const upstream_name& name, std::uint64_t tokens);
    /// @return what is known of a program's memory.
    [[nodiscard]] program_cache cache_of(const std::string& program_key) const;
    /// Remembers the root that a program lives with.
    void note_root(const std::string& program_key, const program_name& root);
    /// @return the root that a program lives with, empty if unknown.
    [[nodiscard]] program_name root_of(const std::string& program_key) const;

private:
    struct upstream_entry {
        configuration::upstream_record record;
        routing::load_report load;
        std::uint32_t sent_since = 0;
    };
    struct remembered {
        program_cache cache;
        program_name root;
        std::list<std::string>::iterator age;
    };

    void rebuild_subsets();
    remembered& remember(const std::string& program_key);

    data_centre_name own_centre_;
    duration lease_;
    std::uint64_t subset_;
    std::uint64_t entry_key_;

    mutable std::mutex mutex_;                 ///< guards everything below
    configuration::configuration_state state_; ///< revision, objects and deltas only
    configuration::view_ptr view_;
    time_point confirmed_at_{};
    std::uint64_t version_ = 0;
    std::map<upstream_name, upstream_entry> upstreams_;
    std::map<std::pair<configuration::service_kind, std::string>, std::vector<upstream_name>> subsets_;
    std::unordered_map<body_hash, std::uint32_t> losses_;
    std::unordered_map<std::string, remembered> programs_;
    std::list<std::string> program_ages_; ///< oldest first
};

} // namespace guavawick::entry
