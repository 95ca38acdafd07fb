// Check of the statuses that the servers send.
#include "http/response_status.hpp"

#include "base/event_type.hpp"

namespace guavawick::http {

int check_sent_status(int status)
{
    if (classify_status(status) == response_kind::final_response) {
        return status;
    }
    constexpr int bad_gateway = 502;
    log_event(event::internal_fault,
              {{"reason", "a response has the invalid status " + std::to_string(status)}});
    return bad_gateway;
}

} // namespace guavawick::http
