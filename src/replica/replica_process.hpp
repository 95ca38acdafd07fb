// The replica role: consensus groups, their services and the operators' API.
#pragma once

#include "base/settings_type.hpp"
#include "http/http_type.hpp"
#include "http/metrics_type.hpp"
#include "replica/control_service.hpp"
#include "replica/ledger_service.hpp"
#include "runtime/worker_pool.hpp"
#include "wire/group_client.hpp"

namespace guavawick::replica {

/// One replica. Thread safety: start() and stop() by one thread, the rest is internal.
class replica_process {
public:
    replica_process(const settings& given, runtime::worker_pool& pool);
    ~replica_process();
    /// Starts to serve. @throw storage_error, link_error.
    void start();
    /// Hands leadership over, finishes what operators asked, then stops.
    void stop();
    /// Closes the links. @pre stop() returned and the pool's threads have stopped.
    void close();

private:
    void add_metrics();
    void receive(const wire::peer_route& from, const wire::envelope_ptr& message);
    void receive_consensus(const wire::envelope& message);
    void receive_join(const wire::envelope& message);
    void dispatch(const wire::envelope_ptr& message, const reply_function& answer);
    void remove_replica(const wire::envelope& message, const reply_function& answer);
    void answer_status(const reply_function& answer);

    settings settings_;
    runtime::worker_pool& pool_;
    incarnation_id self_;
    disk_identity disk_;
    std::unique_ptr<wire::link> links_;
    std::unique_ptr<wire::group_client> client_;
    std::vector<std::unique_ptr<group>> groups_; ///< by number; 0 is control
    std::unique_ptr<control_service> control_;
    std::vector<std::unique_ptr<ledger_service>> ledgers_;
    http::metric_set metrics_;
    std::unique_ptr<http::server> operators_;
};

} // namespace guavawick::replica
