// Requests that were running at instances whose connections broke off, until it is known whether the instance
// crashed.
#pragma once

#include "directory/directory_type.hpp"

#include <boost/asio/any_io_executor.hpp>

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace guavawick::gateway {

struct call_context;

/// Checks in progress, by instance and start of its incarnation, with the requests that were running there.
using crash_probes =
    std::map<std::pair<directory::instance_id, std::uint64_t>, std::vector<directory::crash_report>>;

/// Checks whether an instance crashed, by whether it still accepts connections. If it crashed, the requests
/// that it ran are suspected of being the cause; this is recorded and reported to control. Requests that
/// broke off together share one check. Thread safety: the gateway's thread.
/// @param address of the instance.
void start_crash_probe(const call_context& context, const boost::asio::any_io_executor& executor,
                       const directory::crash_report& report, const std::string& address);
/// Records that an upstream ran a request to its end, and reports it to control if the request was suspected.
/// Thread safety: the gateway's thread.
void report_completion(const call_context& context, std::uint64_t request_hash);

} // namespace guavawick::gateway
