// The replica role: consensus groups, their services and the operator API.
#pragma once

#include "base/settings_type.hpp"
#include "http/http_type.hpp"
#include "http/metrics_type.hpp"
#include "replica/control_service.hpp"
#include "replica/ledger_service.hpp"
#include "runtime/worker_pool.hpp"
#include "wire/group_client.hpp"

namespace guavawick::replica {

/// One replica. Thread safety: start(), stop() and close() must be called from one thread.
class replica_process {
public:
    /// Opens the data folder and all groups. @throw storage_error.
    replica_process(const settings& process_settings, runtime::worker_pool& pool);
    ~replica_process();
    /// Starts the groups, the link and the operator API. @throw storage_error, link_error.
    void start();
    /// Finishes the requests of operators, transfers leadership of the groups and stops them.
    void stop();
    /// Closes the link. @pre stop() has returned and the pool's threads have stopped.
    void close();

private:
    void add_metrics();
    void handle_message(const wire::reply_target& sender, const wire::envelope_ptr& message);
    void handle_consensus(const wire::envelope& message);
    void handle_join_request(const wire::envelope& message);
    void dispatch_request(const wire::envelope_ptr& message, const reply_function& send_reply);
    void handle_removal(const wire::envelope& message, const reply_function& send_reply);
    void handle_status(const reply_function& send_reply);

    settings settings_;
    runtime::worker_pool& pool_;
    incarnation_id incarnation_;
    disk_identity disk_;
    std::unique_ptr<wire::link> links_;
    std::unique_ptr<wire::group_client> client_;
    std::vector<std::unique_ptr<group>> groups_; ///< by number; 0 is the control group
    std::unique_ptr<control_service> control_;
    std::vector<std::unique_ptr<ledger_service>> ledgers_;
    http::metric_set metrics_;
    std::unique_ptr<http::server> operator_server_;
};

} // namespace guavawick::replica
