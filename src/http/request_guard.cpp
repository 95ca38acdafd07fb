// Applies the decisions on bytes and connections.
#include "http/request_guard.hpp"

#include "base/event_type.hpp"

#include <boost/asio/post.hpp>

#include <cstdio>
#include <sys/socket.h>

namespace guavawick::http {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr int receive_buffer_bytes =
    32 << 10; ///< the kernel doubles it; a larger one lets unread bytes of 2,000 connections fill a machine
constexpr std::size_t max_unread_bytes = 64U << 10U; ///< that the kernel holds with that size
constexpr int send_buffer_bytes = 64 << 10;
constexpr std::uint64_t min_retry_ms = 300;
constexpr std::uint64_t retry_spread_ms = 1000;

/// Interrupts a transfer, unless it has ended by the time at which the connection is interrupted.
void interrupt_transfer(const std::shared_ptr<interruptible_stream>& shared, std::uint64_t lease)
{
    asio::post(shared->executor, [shared, lease] {
        if (shared->stream != nullptr && shared->transfer == lease) {
            shared->stream->cancel();
        }
    });
}

} // namespace

memory_budget::memory_budget(const byte_limits& limits) : limit_(limits.total)
{
    budget_.limits = limits;
}

std::uint64_t memory_budget::open(std::string address, std::shared_ptr<interruptible_stream> stream)
{
    const std::lock_guard lock(mutex_);
    const std::uint64_t id = open_lease(budget_, std::move(address), runtime_clock::now());
    streams_[id] = std::move(stream);
    return id;
}

void memory_budget::interrupt(const std::vector<std::uint64_t>& given_up)
{
    for (const std::uint64_t id : given_up) {
        const auto found = streams_.find(id);
        if (found != streams_.end()) {
            interrupt_transfer(found->second, id);
            counters_.given_up.fetch_add(1);
        }
    }
}

byte_answer memory_budget::resize(std::uint64_t id, std::uint64_t bytes)
{
    const std::lock_guard lock(mutex_);
    const byte_decision decision = resize_lease(budget_, id, bytes, runtime_clock::now());
    interrupt(decision.given_up);
    return decision.answer;
}

void memory_budget::force(std::uint64_t id, std::uint64_t bytes)
{
    const std::lock_guard lock(mutex_);
    interrupt(force_lease(budget_, id, bytes, runtime_clock::now()).given_up);
}

void memory_budget::record_transfer(std::uint64_t id, std::uint64_t bytes)
{
    const std::lock_guard lock(mutex_);
    const auto found = budget_.leases.find(id);
    if (found != budget_.leases.end()) {
        record_progress(found->second.progress, bytes, runtime_clock::now());
    }
}

bool memory_budget::end_transfer(std::uint64_t id)
{
    const std::lock_guard lock(mutex_);
    const auto found = budget_.leases.find(id);
    if (found == budget_.leases.end()) {
        return false;
    }
    found->second.in_transfer = false;
    return true;
}

bool memory_budget::holds(std::uint64_t id) const
{
    const std::lock_guard lock(mutex_);
    return budget_.leases.contains(id);
}

void memory_budget::close(std::uint64_t id)
{
    const std::lock_guard lock(mutex_);
    close_lease(budget_, id);
    streams_.erase(id);
}

std::uint64_t memory_budget::used() const
{
    const std::lock_guard lock(mutex_);
    return budget_.used;
}

memory_lease::memory_lease(memory_budget& budget, const std::string& address,
                           std::shared_ptr<interruptible_stream> stream)
    : budget_(budget), address_(address), stream_(std::move(stream))
{
}

memory_lease::~memory_lease()
{
    if (id_ != 0) {
        budget_.close(id_);
    }
}

void memory_lease::open()
{
    if (id_ == 0) {
        id_ = budget_.open(address_, stream_);
    }
}

byte_answer memory_lease::resize(std::uint64_t bytes)
{
    open();
    return budget_.resize(id_, bytes);
}

void memory_lease::force(std::uint64_t bytes)
{
    open();
    budget_.force(id_, bytes);
}

void memory_lease::record_transfer(std::uint64_t bytes)
{
    if (id_ != 0) {
        budget_.record_transfer(id_, bytes);
    }
}

bool memory_lease::end_transfer()
{
    return id_ == 0 || budget_.end_transfer(id_);
}

request_guard::request_guard(std::shared_ptr<memory_budget> budget, const connection_limits& limits)
    : budget_(std::move(budget))
{
    table_.limits = limits;
}

std::uint64_t request_guard::admit(const std::string& address,
                                   const std::shared_ptr<const connection_activity>& activity,
                                   const std::shared_ptr<interruptible_stream>& stream)
{
    connection_decision decision;
    {
        const std::lock_guard lock(mutex_);
        decision = admit_connection(table_, address, activity, runtime_clock::now());
        if (decision.closed != 0) {
            ask_to_give_way(decision.closed, streams_.at(decision.closed));
        }
        if (decision.accepted) {
            streams_[decision.id] = stream;
        }
    }
    if (!decision.accepted) {
        budget_->counters().connections_refused.fetch_add(1);
        log_event(event::connection_refused, {{"address", address}});
    }
    return decision.id;
}

void request_guard::ask_to_give_way(std::uint64_t id, const std::shared_ptr<interruptible_stream>& shared)
{
    asio::post(shared->executor, [this, id, shared] {
        if (shared->stream == nullptr) {
            return; // the connection has ended, and `this` may have
        }
        boost::system::error_code error;
        if (!shared->reading || shared->stream->socket().available(error) > 0) {
            keep_place(id);
            return;
        }
        shared->asked = true;
        shared->stream->cancel();
    });
}

void request_guard::keep_place(std::uint64_t id)
{
    const std::lock_guard lock(mutex_);
    keep_connection(table_, id);
}

void request_guard::remove(std::uint64_t id)
{
    const std::lock_guard lock(mutex_);
    remove_connection(table_, id);
    streams_.erase(id);
}

void request_guard::interrupt_idle()
{
    const std::lock_guard lock(mutex_);
    for (const auto& [id, shared] : streams_) {
        asio::post(shared->executor, [shared] {
            if (shared->stream != nullptr && shared->idle) {
                shared->stream->cancel();
            }
        });
    }
}

std::uint64_t request_guard::connections() const
{
    const std::lock_guard lock(mutex_);
    return table_.open.size() + table_.closing.size();
}

guarded_connection::guarded_connection(std::shared_ptr<request_guard> guard, boost::beast::tcp_stream& stream,
                                       asio::any_io_executor executor)
    : guard_(std::move(guard)), shared_(std::make_shared<interruptible_stream>()),
      activity_(std::make_shared<connection_activity>())
{
    boost::system::error_code ignored;
    const tcp::endpoint peer = stream.socket().remote_endpoint(ignored);
    address_ = peer.address().to_string();
    shared_->stream = &stream;
    shared_->executor = std::move(executor);
    mark_waiting();
    id_ = guard_->admit(address_, activity_, shared_);
}

guarded_connection::~guarded_connection()
{
    shared_->stream = nullptr;
    guard_->remove(id_);
}

void guarded_connection::mark_waiting()
{
    activity_->waiting_since.store(runtime_clock::now().time_since_epoch().count(),
                                   std::memory_order_relaxed);
}

bool guarded_connection::end_read(std::size_t received)
{
    shared_->reading = false;
    if (received > 0) {
        mark_waiting();
    }
    if (!shared_->asked) {
        return false;
    }
    shared_->asked = false;
    boost::system::error_code error;
    const bool arrived = received > 0 || shared_->stream->socket().available(error) > 0;
    if (arrived) {
        guard_->keep_place(id_);
        return received == 0;
    }
    shared_->displaced = true;
    guard_->budget().counters().connections_closed.fetch_add(1);
    log_event(event::connection_closed_for_another, {{"address", address_}});
    return false;
}

void guarded_connection::mark_busy()
{
    activity_->waiting_since.store(0, std::memory_order_relaxed);
    activity_->served.store(true, std::memory_order_relaxed);
}

void limit_socket_buffers(tcp::acceptor& acceptor)
{
    // Accepted sockets inherit both sizes.
    boost::system::error_code ignored;
    acceptor.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes), ignored);
    acceptor.set_option(asio::socket_base::send_buffer_size(send_buffer_bytes), ignored);
}

std::size_t discard_unread_bytes(tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::socket_base::receive_buffer_size(0), ignored);
    std::array<char, 16U << 10U> discarded{};
    std::size_t total = 0;
    ssize_t received = 1;
    while (received > 0 && total < max_unread_bytes) {
        received = ::recv(socket.native_handle(), discarded.data(), discarded.size(), MSG_DONTWAIT);
        total += received > 0 ? static_cast<std::size_t>(received) : 0;
    }
    return total;
}

void refuse_connection(tcp::socket& socket)
{
    const std::string refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: " + make_retry_after() +
                                "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    ::send(socket.native_handle(), refusal.data(), refusal.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
    boost::system::error_code ignored;
    socket.shutdown(tcp::socket::shutdown_send, ignored);
}

std::string make_retry_after()
{
    const auto ticks = static_cast<std::uint64_t>(runtime_clock::now().time_since_epoch().count());
    // The low digits of the clock are as good as random here.
    const std::uint64_t milliseconds = min_retry_ms + ticks / 1000 % retry_spread_ms;
    std::array<char, 16> text{};
    const int length =
        std::snprintf(text.data(), text.size(), "%.2f", static_cast<double>(milliseconds) / 1e3);
    return {text.data(), static_cast<std::size_t>(length)};
}

void log_limits(const request_guard& guard)
{
    log_event(event::request_limits_set, {{"bytes", guard.budget().limit()},
                                          {"connections", guard.limits().total},
                                          {"connections_of_address", guard.limits().per_address}});
}

void add_guard_metrics(metric_set& metrics, const std::shared_ptr<request_guard>& guard)
{
    const auto add = [&](const char* name, const char* help, const std::atomic<std::uint64_t>& value) {
        metrics.add({name, help, true, [&value] { return static_cast<double>(value.load()); }, ""});
    };
    const guard_counters& counters = guard->budget().counters();
    add("guavawick_http_refused_by_budget_total", "Requests refused because the byte budget was used.",
        counters.refused_by_budget);
    add("guavawick_http_refused_by_share_total",
        "Requests refused because the address's share of the byte budget was used.",
        counters.refused_by_share);
    add("guavawick_http_refused_too_large_total", "Requests refused because they exceed a size limit.",
        counters.refused_too_large);
    add("guavawick_http_timed_out_total", "Requests that did not arrive in time.", counters.timed_out);
    add("guavawick_http_given_up_total", "Slow transfers given up because the byte budget was short.",
        counters.given_up);
    add("guavawick_http_connections_closed_total", "Waiting connections closed to accept others.",
        counters.connections_closed);
    add("guavawick_http_connections_refused_total", "Connections refused because the listener was full.",
        counters.connections_refused);
    metrics.add({"guavawick_http_budget_used_bytes", "Bytes of the byte budget in use.", false,
                 [guard] { return static_cast<double>(guard->budget().used()); }, ""});
    metrics.add({"guavawick_http_budget_limit_bytes", "Size of the byte budget.", false,
                 [guard] { return static_cast<double>(guard->budget().limit()); }, ""});
    metrics.add({"guavawick_http_connections", "Open connections of the main listener.", false,
                 [guard] { return static_cast<double>(guard->connections()); }, ""});
}

} // namespace guavawick::http
