// Failure of an HTTP request to another process.
#pragma once

#include "base/failure_type.hpp"
#include "http/http_type.hpp"

namespace guavawick::http {

/// A request failed; `sent` tells whether the other side may have seen it.
struct client_error : error {
    sent_state sent;        ///< not_sent: no byte of the request left
    bool timed_out = false; ///< the limit passed

    client_error(const std::string& what, sent_state how_far, bool late)
        : error(what), sent(how_far), timed_out(late)
    {
    }
};

} // namespace guavawick::http
