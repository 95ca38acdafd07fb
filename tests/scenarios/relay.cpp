// A TCP relay before a process's link.
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

constexpr std::chrono::milliseconds cut_poll{10};
constexpr std::size_t buffer_size = 64U << 10U;

/// One relayed connection.
struct connection {
    explicit connection(const asio::any_io_executor& strand) : near_side(strand), far_side(strand) {}

    std::string source;
    std::atomic<bool> muted{false};
    tcp::socket near_side; ///< towards the process that connected
    tcp::socket far_side;  ///< towards the owner
};

} // namespace

/// Shared by the acceptor and its connections. `mutex` guards the cuts and the list.
struct relay_core {
    relay_core(asio::any_io_executor executor, std::string name, unsigned short to, owner_finder find)
        : pool(std::move(executor)), owner(std::move(name)), target(to), find_owner(std::move(find)),
          acceptor(asio::make_strand(pool))
    {
    }

    asio::any_io_executor pool;
    std::string owner;
    unsigned short target;
    owner_finder find_owner;
    tcp::acceptor acceptor;
    std::mutex mutex;
    std::set<std::string> cuts;
    std::vector<std::weak_ptr<connection>> connections;

    bool is_cut(const connection& one)
    {
        const std::lock_guard lock(mutex);
        return one.muted.load() || cuts.count("*") != 0 || cuts.count(one.source) != 0;
    }
};

namespace {

asio::awaitable<void> pump(std::shared_ptr<relay_core> core, std::shared_ptr<connection> one,
                           tcp::socket& from, tcp::socket& to)
{
    std::vector<char> buffer(buffer_size);
    boost::system::error_code failed;
    while (!failed) {
        const std::size_t got = co_await from.async_read_some(
            asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, failed));
        while (core->is_cut(*one)) {
            co_await runtime::wait_for(cut_poll); // held back; a muted connection stays here
        }
        if (got != 0) {
            co_await asio::async_write(to, asio::buffer(buffer.data(), got),
                                       asio::redirect_error(asio::use_awaitable, failed));
        }
    }
    boost::system::error_code ignored;
    one->near_side.close(ignored);
    one->far_side.close(ignored);
}

asio::awaitable<void> serve(std::shared_ptr<relay_core> core, std::shared_ptr<connection> one)
{
    const tcp::endpoint peer = one->near_side.remote_endpoint();
    one->source = core->find_owner(peer.port(), one->near_side.local_endpoint().port());
    while (core->is_cut(*one)) {
        co_await runtime::wait_for(cut_poll);
    }
    boost::system::error_code failed;
    const tcp::endpoint there(asio::ip::address_v4::loopback(), core->target);
    co_await one->far_side.async_connect(there, asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
        co_return;
    }
    one->near_side.set_option(tcp::no_delay(true), failed);
    one->far_side.set_option(tcp::no_delay(true), failed);
    asio::co_spawn(one->near_side.get_executor(), pump(core, one, one->near_side, one->far_side),
                   [](const std::exception_ptr&) {});
    co_await pump(core, one, one->far_side, one->near_side);
}

asio::awaitable<void> accept_all(std::shared_ptr<relay_core> core)
{
    while (true) {
        auto one = std::make_shared<connection>(asio::make_strand(core->pool));
        boost::system::error_code failed;
        co_await core->acceptor.async_accept(one->near_side,
                                             asio::redirect_error(asio::use_awaitable, failed));
        if (failed) {
            co_return;
        }
        {
            const std::lock_guard lock(core->mutex);
            core->connections.push_back(one);
        }
        asio::co_spawn(one->near_side.get_executor(), serve(core, one), [](const std::exception_ptr&) {});
    }
}

} // namespace

relay::relay(asio::any_io_executor pool, std::string owner, unsigned short from, unsigned short to,
             owner_finder find_owner)
    : core_(std::make_shared<relay_core>(std::move(pool), std::move(owner), to, std::move(find_owner)))
{
    const tcp::endpoint here(asio::ip::address_v4::loopback(), from);
    core_->acceptor.open(here.protocol());
    core_->acceptor.set_option(asio::socket_base::reuse_address(true));
    core_->acceptor.bind(here);
    core_->acceptor.listen();
    asio::co_spawn(core_->acceptor.get_executor(), accept_all(core_), [](const std::exception_ptr&) {});
}

relay::~relay()
{
    asio::post(core_->acceptor.get_executor(), [core = core_] {
        boost::system::error_code ignored;
        core->acceptor.close(ignored);
    });
}

void relay::cut(const std::string& source)
{
    const std::lock_guard lock(core_->mutex);
    core_->cuts.insert(source);
}

void relay::heal(const std::string& source)
{
    const std::lock_guard lock(core_->mutex);
    if (source == "*") {
        core_->cuts.clear();
    }
    core_->cuts.erase(source);
}

void relay::mute(const std::string& source)
{
    const std::lock_guard lock(core_->mutex);
    for (const auto& weak : core_->connections) {
        const auto one = weak.lock();
        if (one && (source == "*" || one->source == source)) {
            one->muted.store(true);
        }
    }
}

} // namespace guavawick::scenarios
