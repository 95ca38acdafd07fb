// A TCP relay in front of a process's port.
#include "relay.hpp"

#include "runtime/worker_pool.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <mutex>
#include <vector>

namespace guavawick::scenarios {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds cut_poll_interval{10};
constexpr std::size_t buffer_size = 64U << 10U;

/// One relayed connection.
struct relayed_connection {
    explicit relayed_connection(const asio::any_io_executor& strand)
        : client_socket(strand), owner_socket(strand)
    {
    }

    std::string source;
    std::atomic<bool> muted{false};
    tcp::socket client_socket; ///< connection of the process that connected
    tcp::socket owner_socket;  ///< connection to the owner
};

} // namespace

/// State shared by the acceptor and its connections. `mutex` guards the cuts, the delay and the list.
struct relay_state {
    relay_state(asio::any_io_executor executor_to_use, std::string owner_name, tcp::endpoint target_endpoint,
                owner_finder finder)
        : executor(std::move(executor_to_use)), owner(std::move(owner_name)),
          target(std::move(target_endpoint)), find_owner(std::move(finder)),
          acceptor(asio::make_strand(executor))
    {
    }

    asio::any_io_executor executor;
    std::string owner;
    tcp::endpoint target;
    owner_finder find_owner;
    tcp::acceptor acceptor;
    std::mutex mutex;
    std::set<std::string> cuts;
    bool cut_to_owner = false;   ///< bytes to the owner are held back
    bool cut_from_owner = false; ///< bytes from the owner are held back
    std::chrono::milliseconds delay{};
    std::vector<std::weak_ptr<relayed_connection>> connections;

    bool is_cut(const relayed_connection& connection)
    {
        const std::lock_guard lock(mutex);
        return connection.muted.load() || cuts.count("*") != 0 || cuts.count(connection.source) != 0;
    }

    bool is_held_back(const relayed_connection& connection, bool to_owner)
    {
        const bool cut = is_cut(connection);
        const std::lock_guard lock(mutex);
        return cut || (to_owner ? cut_to_owner : cut_from_owner);
    }

    std::chrono::milliseconds current_delay()
    {
        const std::lock_guard lock(mutex);
        return delay;
    }
};

namespace {

asio::awaitable<void> forward_bytes(std::shared_ptr<relay_state> state,
                                    std::shared_ptr<relayed_connection> connection, tcp::socket& from,
                                    tcp::socket& to)
{
    const bool to_owner = &to == &connection->owner_socket;
    std::vector<char> buffer(buffer_size);
    boost::system::error_code error;
    while (!error) {
        const std::size_t size = co_await from.async_read_some(
            asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
        if (state->current_delay().count() > 0) {
            co_await runtime::wait_for(state->current_delay());
        }
        while (state->is_held_back(*connection, to_owner)) {
            co_await runtime::wait_for(cut_poll_interval); // a muted connection stays here
        }
        if (size != 0) {
            co_await asio::async_write(to, asio::buffer(buffer.data(), size),
                                       asio::redirect_error(asio::use_awaitable, error));
        }
    }
    boost::system::error_code ignored;
    if (error != asio::error::eof) { // the other side must not see an end in order
        connection->client_socket.set_option(tcp::socket::linger(true, 0), ignored);
        connection->owner_socket.set_option(tcp::socket::linger(true, 0), ignored);
    }
    connection->client_socket.close(ignored);
    connection->owner_socket.close(ignored);
}

asio::awaitable<void> serve_connection(std::shared_ptr<relay_state> state,
                                       std::shared_ptr<relayed_connection> connection)
{
    if (state->find_owner) {
        connection->source = state->find_owner(
            {connection->client_socket.remote_endpoint(), connection->client_socket.local_endpoint()});
    }
    while (state->is_cut(*connection)) {
        co_await runtime::wait_for(cut_poll_interval);
    }
    boost::system::error_code error;
    co_await connection->owner_socket.async_connect(state->target,
                                                    asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        boost::system::error_code ignored;
        connection->client_socket.close(ignored);
        co_return;
    }
    connection->client_socket.set_option(tcp::no_delay(true), error);
    connection->owner_socket.set_option(tcp::no_delay(true), error);
    asio::co_spawn(connection->client_socket.get_executor(),
                   forward_bytes(state, connection, connection->client_socket, connection->owner_socket),
                   [](const std::exception_ptr&) {});
    co_await forward_bytes(state, connection, connection->owner_socket, connection->client_socket);
}

asio::awaitable<void> accept_connections(std::shared_ptr<relay_state> state)
{
    while (true) {
        auto connection = std::make_shared<relayed_connection>(asio::make_strand(state->executor));
        boost::system::error_code error;
        co_await state->acceptor.async_accept(connection->client_socket,
                                              asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        {
            const std::lock_guard lock(state->mutex);
            state->connections.push_back(connection);
        }
        asio::co_spawn(connection->client_socket.get_executor(), serve_connection(state, connection),
                       [](const std::exception_ptr&) {});
    }
}

} // namespace

relay::relay(asio::any_io_executor executor, std::string owner, tcp::endpoint listen_endpoint,
             tcp::endpoint target, owner_finder find_owner)
    : state_(std::make_shared<relay_state>(std::move(executor), std::move(owner), std::move(target),
                                           std::move(find_owner)))
{
    state_->acceptor.open(listen_endpoint.protocol());
    state_->acceptor.set_option(asio::socket_base::reuse_address(true));
    state_->acceptor.bind(listen_endpoint);
    state_->acceptor.listen();
    asio::co_spawn(state_->acceptor.get_executor(), accept_connections(state_),
                   [](const std::exception_ptr&) {});
}

relay::~relay()
{
    asio::post(state_->acceptor.get_executor(), [state = state_] {
        boost::system::error_code ignored;
        state->acceptor.close(ignored);
    });
}

void relay::cut(const std::string& source)
{
    const std::lock_guard lock(state_->mutex);
    state_->cuts.insert(source);
}

void relay::heal(const std::string& source)
{
    const std::lock_guard lock(state_->mutex);
    if (source == "*") {
        state_->cuts.clear();
        state_->cut_to_owner = false;
        state_->cut_from_owner = false;
    }
    state_->cuts.erase(source);
}

void relay::mute(const std::string& source)
{
    const std::lock_guard lock(state_->mutex);
    for (const auto& weak_connection : state_->connections) {
        const auto connection = weak_connection.lock();
        if (connection && (source == "*" || connection->source == source)) {
            connection->muted.store(true);
        }
    }
}

void relay::reset_connections()
{
    const std::lock_guard lock(state_->mutex);
    for (const auto& weak_connection : state_->connections) {
        const auto connection = weak_connection.lock();
        if (!connection) {
            continue;
        }
        asio::post(connection->client_socket.get_executor(), [connection] {
            boost::system::error_code ignored;
            for (tcp::socket* side : {&connection->client_socket, &connection->owner_socket}) {
                side->set_option(asio::socket_base::linger(true, 0), ignored);
                side->close(ignored);
            }
        });
    }
    state_->connections.clear();
}

void relay::set_delay(std::chrono::milliseconds delay)
{
    const std::lock_guard lock(state_->mutex);
    state_->delay = delay;
}

void relay::cut_direction(bool to_owner)
{
    const std::lock_guard lock(state_->mutex);
    (to_owner ? state_->cut_to_owner : state_->cut_from_owner) = true;
}

} // namespace guavawick::scenarios
