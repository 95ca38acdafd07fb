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
    relay_core(asio::any_io_executor executor, std::string name, tcp::endpoint to, owner_finder find)
        : pool(std::move(executor)), owner(std::move(name)), target(std::move(to)),
          find_owner(std::move(find)), acceptor(asio::make_strand(pool))
    {
    }

    asio::any_io_executor pool;
    std::string owner;
    tcp::endpoint target;
    owner_finder find_owner;
    tcp::acceptor acceptor;
    std::mutex mutex;
    std::set<std::string> cuts;
    bool cut_towards = false; ///< bytes towards the owner are held back
    bool cut_back = false;    ///< bytes from the owner are held back
    std::chrono::milliseconds delay{};
    std::vector<std::weak_ptr<connection>> connections;

    bool is_cut(const connection& one)
    {
        const std::lock_guard lock(mutex);
        return one.muted.load() || cuts.count("*") != 0 || cuts.count(one.source) != 0;
    }

    bool is_held(const connection& one, bool towards_owner)
    {
        const bool cut = is_cut(one);
        const std::lock_guard lock(mutex);
        return cut || (towards_owner ? cut_towards : cut_back);
    }

    std::chrono::milliseconds present_delay()
    {
        const std::lock_guard lock(mutex);
        return delay;
    }
};

namespace {

asio::awaitable<void> pump(std::shared_ptr<relay_core> core, std::shared_ptr<connection> one,
                           tcp::socket& from, tcp::socket& to)
{
    const bool towards_owner = &to == &one->far_side;
    std::vector<char> buffer(buffer_size);
    boost::system::error_code failed;
    while (!failed) {
        const std::size_t got = co_await from.async_read_some(
            asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, failed));
        if (core->present_delay().count() > 0) {
            co_await runtime::wait_for(core->present_delay());
        }
        while (core->is_held(*one, towards_owner)) {
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
    if (core->find_owner) {
        const tcp::endpoint peer = one->near_side.remote_endpoint();
        one->source = core->find_owner(peer.port(), one->near_side.local_endpoint().port());
    }
    while (core->is_cut(*one)) {
        co_await runtime::wait_for(cut_poll);
    }
    boost::system::error_code failed;
    co_await one->far_side.async_connect(core->target, asio::redirect_error(asio::use_awaitable, failed));
    if (failed) {
        boost::system::error_code ignored;
        one->near_side.close(ignored);
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

relay::relay(asio::any_io_executor pool, std::string owner, tcp::endpoint from, tcp::endpoint to,
             owner_finder find_owner)
    : core_(std::make_shared<relay_core>(std::move(pool), std::move(owner), std::move(to),
                                         std::move(find_owner)))
{
    core_->acceptor.open(from.protocol());
    core_->acceptor.set_option(asio::socket_base::reuse_address(true));
    core_->acceptor.bind(from);
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
        core_->cut_towards = false;
        core_->cut_back = false;
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

void relay::reset()
{
    const std::lock_guard lock(core_->mutex);
    for (const auto& weak : core_->connections) {
        const auto one = weak.lock();
        if (!one) {
            continue;
        }
        asio::post(one->near_side.get_executor(), [one] {
            boost::system::error_code ignored;
            for (tcp::socket* side : {&one->near_side, &one->far_side}) {
                side->set_option(asio::socket_base::linger(true, 0), ignored);
                side->close(ignored);
            }
        });
    }
    core_->connections.clear();
}

void relay::delay(std::chrono::milliseconds time)
{
    const std::lock_guard lock(core_->mutex);
    core_->delay = time;
}

void relay::cut_way(bool towards_owner)
{
    const std::lock_guard lock(core_->mutex);
    (towards_owner ? core_->cut_towards : core_->cut_back) = true;
}

} // namespace guavawick::scenarios
