// Carries out a scenario.
#pragma once

#include "http/http_type.hpp"
#include "processes.hpp"
#include "runtime/worker_pool.hpp"
#include "script.hpp"

#include <boost/json/object.hpp>

#include <atomic>
#include <mutex>

namespace guavawick::scenarios {

/// A caller's request and its answer.
struct running_call {
    http::request request;
    std::string address;
    std::string text;
    std::shared_ptr<http::cancellation> stop = std::make_shared<http::cancellation>();
    std::mutex mutex; ///< guards the rest
    bool done = false;
    bool whole = false; ///< the answer ended as it should
    int status = 0;
    std::string body;
    std::string fault;
};

/// Runs the statements of one scenario. Thread safety: one thread.
class runner {
public:
    runner(process_set& processes, runtime::worker_pool& pool, bool verbose);
    /// Runs the script, then checks the invariants. @throw scenario_failure, script_error.
    void run(const std::vector<statement>& script);

private:
    void carry_out(const statement& one);
    void lay_out_once();
    void define_system(const statement& one);
    void define_upstream(const statement& one);
    void define_object(const statement& one);
    void publish(const statement& one);
    void start(const statement& one);
    void send_signal(const statement& one, int number);
    void stop(const statement& one);
    void call(const statement& one);
    void resend(const statement& one);
    void launch(const std::string& name, std::shared_ptr<running_call> made, duration hang_up);
    void expect(const statement& one);
    [[nodiscard]] std::string check(const statement& one);
    [[nodiscard]] std::string check_call(const statement& one);
    [[nodiscard]] std::string check_count(const statement& one, std::size_t found);
    [[nodiscard]] std::string check_pace(const statement& one);
    [[nodiscard]] std::string check_leader(const statement& one);
    [[nodiscard]] std::string check_members(const statement& one);
    [[nodiscard]] std::string check_revision(const statement& one);
    [[nodiscard]] std::string check_upstream(const statement& one);
    [[nodiscard]] std::string check_exit(const statement& one);
    [[nodiscard]] std::string check_ready(const statement& one);
    [[nodiscard]] std::string resolve(const std::string& name, const statement& one);
    [[nodiscard]] std::vector<std::string> resolve_all(const statement& one);
    [[nodiscard]] boost::json::object ask_operator(const std::string& address, const std::string& method,
                                                   const std::string& target, const std::string& body,
                                                   const std::string& key, int* status);
    [[nodiscard]] boost::json::object status_of(const std::string& address);
    [[nodiscard]] std::string leader_of(int group);
    [[nodiscard]] std::size_t count_runs(const std::string& what, const std::string& text) const;
    void check_invariants();
    void show_status();

    process_set& processes_;
    runtime::worker_pool& pool_;
    bool verbose_;
    system_plan plan_;
    std::vector<upstream_plan> upstreams_;
    bool laid_out_ = false;
    boost::json::object objects_;   ///< kind to name to fields
    std::vector<std::string> keys_; ///< every key that a caller may present
    std::map<std::string, std::shared_ptr<running_call>> calls_;
    std::map<std::string, boost::json::object> publications_; ///< answers by name
    std::map<std::string, std::string> publication_bodies_;
    std::uint64_t publication_count_ = 0;
};

} // namespace guavawick::scenarios
