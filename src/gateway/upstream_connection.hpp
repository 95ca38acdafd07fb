// Connections from an entry to upstream instances, and the exchange of one call on one of them.
#pragma once

#include "gateway/platform_adapter.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace guavawick::gateway {

/// One open connection. Thread safety: the entry's thread.
struct upstream_connection {
    explicit upstream_connection(const boost::asio::any_io_executor& executor) : socket(executor) {}

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer;
    std::string instance;
    bool fresh = true; ///< carried no call yet
    time_point idle_since{};
    duration idle_limit{}; ///< how long it may be idle and still be used
};

using connection_ptr = std::shared_ptr<upstream_connection>;

/// Idle connections by instance. Thread safety: the entry's thread.
class connection_pool {
public:
    /// @return an idle connection that looks sound, or nullptr.
    connection_ptr take(const std::string& instance, time_point now);
    /// Keeps a connection for later calls. @pre the last answer was read whole and nothing follows it.
    void give_back(connection_ptr held, duration idle_limit, time_point now);
    /// Closes connections that were idle for too long, and those to an instance that left.
    void drop_idle(time_point now);
    void drop_instance(const std::string& instance);

private:
    std::map<std::string, std::vector<connection_ptr>> idle_;
};

/// Opens a connection. @return nullptr if that fails or takes longer than the limit.
boost::asio::awaitable<connection_ptr> connect_upstream(std::string instance, std::string address,
                                                        duration limit);

/// The head of an upstream's answer.
struct answer_head {
    int status = 0;
    std::string reason;
    header_list headers;
    response_metadata facts;
    bool ends_with_connection = false; ///< neither a length nor chunks tell where the body ends
    bool is_event_stream = false;
};

/// How an exchange ended.
enum class exchange_end : std::uint8_t {
    whole,       ///< the answer was read to its end
    broken_head, ///< no answer, or bytes that are none
    broken_body, ///< the answer ended early
    stopped,     ///< cancelled by the caller's leaving or a deadline
};

/// Takes the parts of an answer in. @return false to stop.
struct answer_sink {
    std::function<boost::asio::awaitable<bool>(const answer_head&)> head;
    std::function<boost::asio::awaitable<bool>(std::string part)> body;
};

/// Sends a request and reads its answer. Answers to other requests are read and dropped.
/// @param request whole request, head and body. @param id the answer must name this request or none.
/// @param reusable receives whether the connection may carry another call.
boost::asio::awaitable<exchange_end> exchange(connection_ptr with, std::shared_ptr<const std::string> request,
                                              std::string id, bool head_only, const platform_adapter& speaks,
                                              answer_sink& sink, bool& reusable);

/// Closes a connection's socket, which ends what waits for it.
void close_connection(upstream_connection& one);

} // namespace guavawick::gateway
