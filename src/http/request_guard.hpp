// Protects a process from clients that ignore the limits: holds its byte budget and its listeners'
// connections, and interrupts the connections that give way.
#pragma once

#include "http/byte_budget.hpp"
#include "http/connection_table.hpp"
#include "http/metrics_type.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace guavawick::http {

/// Counters of a process. Thread safety: atomic.
struct guard_counters {
    std::atomic<std::uint64_t> refused_by_budget{0};   ///< requests, with status 503
    std::atomic<std::uint64_t> refused_by_share{0};    ///< requests, with status 429
    std::atomic<std::uint64_t> refused_too_large{0};   ///< requests, with status 413 or 431
    std::atomic<std::uint64_t> timed_out{0};           ///< requests that did not arrive in time, status 408
    std::atomic<std::uint64_t> given_up{0};            ///< slow transfers that gave way
    std::atomic<std::uint64_t> connections_closed{0};  ///< waiting connections that gave way
    std::atomic<std::uint64_t> connections_refused{0}; ///< connections that were not accepted
};

/// The stream of a connection, as far as other coroutines may interrupt it.
struct interruptible_stream {
    boost::beast::tcp_stream* stream =
        nullptr; ///< used on `executor` only; nullptr once the connection ended
    boost::asio::any_io_executor executor;
    bool idle = false;      ///< waits for the first byte of a request; used on `executor` only
    bool reading = false;   ///< a read of a client's bytes is pending; used on `executor` only
    bool asked = false;     ///< the read was cancelled for the connection's place; used on `executor` only
    bool displaced = false; ///< gave its place: the descriptor must close at once; used on `executor` only
    std::uint64_t transfer =
        0; ///< lease whose bytes a pending read or write moves, 0 for none; used on `executor` only
};

/// The byte budget of a process. Thread safety: every function from any thread.
class memory_budget {
public:
    explicit memory_budget(const byte_limits& limits);
    std::uint64_t open(std::string address, std::shared_ptr<interruptible_stream> stream);
    /// As resize_lease(); interrupts the connections that were given up.
    byte_answer resize(std::uint64_t id, std::uint64_t bytes);
    /// As force_lease(); interrupts the connections that were given up.
    void force(std::uint64_t id, std::uint64_t bytes);
    void record_transfer(std::uint64_t id, std::uint64_t bytes);
    /// Marks the request as arrived, after which its bytes are not given up.
    /// @return false if they were given up before.
    bool end_transfer(std::uint64_t id);
    /// @return false if the lease was given up or closed.
    [[nodiscard]] bool holds(std::uint64_t id) const;
    void close(std::uint64_t id);
    [[nodiscard]] std::uint64_t used() const;
    [[nodiscard]] std::uint64_t limit() const { return limit_; }
    /// @return counters of the process.
    [[nodiscard]] guard_counters& counters() { return counters_; }

private:
    void interrupt(const std::vector<std::uint64_t>& given_up);

    mutable std::mutex mutex_; ///< guards `budget_` and `streams_`; no other lock is taken while it is held
    byte_budget budget_;
    std::map<std::uint64_t, std::shared_ptr<interruptible_stream>> streams_;
    std::uint64_t limit_;
    guard_counters counters_;
};

/// Bytes of one request or response; releases them when it is destroyed. Registers with the budget when it
/// first holds any. Thread safety: the connection's coroutine.
class memory_lease {
public:
    memory_lease(memory_budget& budget, const std::string& address,
                 std::shared_ptr<interruptible_stream> stream);
    ~memory_lease();
    memory_lease(const memory_lease&) = delete;
    memory_lease& operator=(const memory_lease&) = delete;
    /// @return whether the lease may hold that many bytes; if not, it keeps what it has.
    byte_answer resize(std::uint64_t bytes);
    /// Holds that many bytes in any case.
    void force(std::uint64_t bytes);
    void record_transfer(std::uint64_t bytes);
    /// Marks the request as arrived, after which its bytes are not given up.
    /// @return false if they were given up before; then the request must be refused.
    [[nodiscard]] bool end_transfer();
    /// @return whether the bytes were needed elsewhere. The lease holds none any more.
    [[nodiscard]] bool given_up() const { return id_ != 0 && !budget_.holds(id_); }

private:
    friend class transfer_scope;
    void open();

    memory_budget& budget_;
    const std::string& address_;
    std::shared_ptr<interruptible_stream> stream_;
    std::uint64_t id_ = 0;
};

/// While it exists, reads and writes of the stream are interrupted if the lease is given up. Thread safety:
/// the connection's coroutine.
class transfer_scope {
public:
    explicit transfer_scope(const memory_lease& lease) : stream_(lease.stream_)
    {
        stream_->transfer = lease.id_;
    }
    ~transfer_scope() { stream_->transfer = 0; }
    transfer_scope(const transfer_scope&) = delete;
    transfer_scope& operator=(const transfer_scope&) = delete;

private:
    std::shared_ptr<interruptible_stream> stream_;
};

/// The connections of one listener. Thread safety: every function from any thread.
class request_guard {
public:
    /// @param budget of the process, shared by its listeners.
    request_guard(std::shared_ptr<memory_budget> budget, const connection_limits& limits);
    /// Admits a connection; asks another one to give way, if there is no room. That one keeps its place if
    /// bytes arrive before it is interrupted. @return its id, 0 if it is refused.
    std::uint64_t admit(const std::string& address,
                        const std::shared_ptr<const connection_activity>& activity,
                        const std::shared_ptr<interruptible_stream>& stream);
    void remove(std::uint64_t id);
    /// Keeps the place of a connection that was asked to give way.
    void keep_place(std::uint64_t id);
    /// Interrupts the connections that wait for the first byte of a request. A request that has arrived at
    /// the same moment is not interrupted, so that it can be answered.
    void interrupt_idle();
    [[nodiscard]] memory_budget& budget() const { return *budget_; }
    [[nodiscard]] std::uint64_t connections() const;
    [[nodiscard]] const connection_limits& limits() const { return table_.limits; }

private:
    void ask_to_give_way(std::uint64_t id, const std::shared_ptr<interruptible_stream>& shared);

    std::shared_ptr<memory_budget> budget_;
    mutable std::mutex mutex_; ///< guards `table_` and `streams_`; no other lock is taken while it is held
    connection_table table_;
    std::map<std::uint64_t, std::shared_ptr<interruptible_stream>> streams_;
};

/// An accepted connection: its registration with the guard and what it is doing.
class guarded_connection {
public:
    /// Registers the connection. @pre called on the connection's executor.
    guarded_connection(std::shared_ptr<request_guard> guard, boost::beast::tcp_stream& stream,
                       boost::asio::any_io_executor executor);
    ~guarded_connection();
    guarded_connection(const guarded_connection&) = delete;
    guarded_connection& operator=(const guarded_connection&) = delete;

    /// @return false if the listener is full; then the connection must be closed.
    [[nodiscard]] bool accepted() const { return id_ != 0; }
    /// The connection waits for bytes of its client. Called after each read.
    void mark_waiting();
    /// A request has been read and is handled.
    void mark_busy();
    /// Records whether the connection waits for the first byte of a request.
    void set_idle(bool idle) { shared_->idle = idle; }
    /// Records that a read of the client's bytes is pending, so that the connection can give way.
    void begin_read() { shared_->reading = true; }
    /// Records that the read has ended. A connection that was asked to give way meanwhile keeps its place if
    /// bytes have arrived, and gives it otherwise.
    /// @param received bytes. @return whether the read must be repeated, since it was cancelled in vain.
    bool end_read(std::size_t received);
    /// @return whether the connection gave its place to another one.
    [[nodiscard]] bool displaced() const { return shared_->displaced; }
    [[nodiscard]] const std::string& address() const { return address_; }
    [[nodiscard]] const std::shared_ptr<interruptible_stream>& shared() const { return shared_; }
    [[nodiscard]] request_guard& guard() { return *guard_; }
    [[nodiscard]] boost::beast::tcp_stream& stream() { return *shared_->stream; }

private:
    std::shared_ptr<request_guard> guard_;
    std::shared_ptr<interruptible_stream> shared_;
    std::shared_ptr<connection_activity> activity_;
    std::string address_;
    std::uint64_t id_ = 0;
};

/// Bounds what the kernel buffers for each connection that the listener accepts. @pre the acceptor is open.
void limit_socket_buffers(boost::asio::ip::tcp::acceptor& acceptor);
/// Discards the bytes that wait in a socket, and has the kernel hold as few as possible from now on.
/// @return how many were discarded.
std::size_t discard_unread_bytes(boost::asio::ip::tcp::socket& socket);
/// Sends a short refusal without waiting, for a connection that isn't accepted.
void refuse_connection(boost::asio::ip::tcp::socket& socket);
/// @return seconds for Retry-After, spread over a second so that refused clients don't return at once.
std::string make_retry_after();
/// Logs the limits of a process when it starts.
void log_limits(const request_guard& guard);
/// Adds the counters and the gauges of a process. @pre `guard` outlives the metrics.
void add_guard_metrics(metric_set& metrics, const std::shared_ptr<request_guard>& guard);

} // namespace guavawick::http
