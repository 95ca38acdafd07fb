// The error that the HTTP client throws.
#pragma once

#include "base/failure_type.hpp"
#include "http/http_type.hpp"

namespace guavawick::http {

/// A request to another process failed.
struct client_error : error {
    sent_state sent;        ///< not_sent: no byte of the request was sent
    bool timed_out = false; ///< the request's timeout passed

    client_error(const std::string& what, sent_state sent_before_failure, bool is_timeout)
        : error(what), sent(sent_before_failure), timed_out(is_timeout)
    {
    }
};

} // namespace guavawick::http
