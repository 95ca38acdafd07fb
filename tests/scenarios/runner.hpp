// Executes a scenario.
#pragma once

#include "http/http_type.hpp"
#include "processes.hpp"
#include "runtime/worker_pool.hpp"
#include "script.hpp"

#include <boost/json/object.hpp>

#include <atomic>
#include <mutex>

namespace guavawick::scenarios {

/// A client's request and its response.
struct client_call {
    http::request request;
    std::string address;
    std::string text;
    std::shared_ptr<http::cancellation> cancellation = std::make_shared<http::cancellation>();
    std::mutex mutex; ///< guards the following members
    bool done = false;
    bool complete = false; ///< the response arrived up to its end
    int status = 0;
    std::string body;
    std::string error_text;
};

/// Executes the statements of one scenario. Thread safety: to be used from one thread.
class runner {
public:
    runner(process_set& processes, runtime::worker_pool& pool, bool verbose);
    /// Executes the script, then checks the invariants.
    /// @throw scenario_failure if an expectation or an invariant does not hold.
    /// @throw script_error if the script is malformed.
    void run(const std::vector<script_statement>& script);

private:
    void execute(const script_statement& statement);
    void prepare_once();
    void define_system(const script_statement& statement);
    void define_upstream(const script_statement& statement);
    void define_object(const script_statement& statement);
    void publish(const script_statement& statement);
    void start(const script_statement& statement);
    void send_signal(const script_statement& statement, int signal_number);
    void stop(const script_statement& statement);
    void start_call(const script_statement& statement);
    void resend(const script_statement& statement);
    void send_in_background(const std::string& name, std::shared_ptr<client_call> call, duration hang_up);
    void expect(const script_statement& statement);
    [[nodiscard]] std::string check_expectation(const script_statement& statement);
    [[nodiscard]] std::string check_call(const script_statement& statement);
    [[nodiscard]] std::string check_count(const script_statement& statement, std::size_t count);
    [[nodiscard]] std::string check_pace(const script_statement& statement);
    [[nodiscard]] std::string check_leader(const script_statement& statement);
    [[nodiscard]] std::string check_members(const script_statement& statement);
    [[nodiscard]] std::string check_revision(const script_statement& statement);
    [[nodiscard]] std::string check_upstream(const script_statement& statement);
    [[nodiscard]] std::string check_exit(const script_statement& statement);
    [[nodiscard]] std::string check_ready(const script_statement& statement);
    [[nodiscard]] std::string resolve_name(const std::string& name, const script_statement& statement);
    [[nodiscard]] std::vector<std::string> resolve_names(const script_statement& statement);
    [[nodiscard]] boost::json::object call_operator_api(const std::string& address, const std::string& method,
                                                        const std::string& target, const std::string& body,
                                                        const std::string& key, int* status);
    [[nodiscard]] boost::json::object fetch_status(const std::string& address);
    [[nodiscard]] std::string find_leader(int group);
    [[nodiscard]] std::size_t count_runs(const std::string& kind, const std::string& text) const;
    void check_invariants();
    void print_status();

    process_set& processes_;
    runtime::worker_pool& pool_;
    bool verbose_;
    system_definition system_;
    std::vector<upstream_definition> upstreams_;
    bool prepared_ = false;
    boost::json::object objects_;   ///< fields by name by kind
    std::vector<std::string> keys_; ///< all keys that clients may present
    std::map<std::string, std::shared_ptr<client_call>> calls_;
    std::map<std::string, boost::json::object> publications_; ///< responses by name
    std::map<std::string, std::string> publication_bodies_;
    std::uint64_t publication_count_ = 0;
};

} // namespace guavawick::scenarios
