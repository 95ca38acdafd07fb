// Addresses that are held: by a process that still listens, or by the connections of one that has ended.
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "core/control_process.hpp"
#include "free_address.hpp"
#include "gateway/gateway_process.hpp"
#include "http/http_type.hpp"
#include "runtime/worker_pool.hpp"
#include "store_folder.hpp"
#include "wire.pb.h"
#include "wire/link_type.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;

namespace {

/// A web server and a link, each with a thread of its own, so that they can end while others run.
struct listening_process {
    runtime::worker_pool pool{1};
    std::unique_ptr<http::server> server;
    wire::link links{pool.executor(), {}, incarnation_id{random_id()}};

    ~listening_process()
    {
        if (server) {
            server->drain_within(1s);
        }
        pool.stop();
        links.close();
    }

    void serve(const std::string& address)
    {
        server =
            std::make_unique<http::server>(pool.executor(), address, http::server_limits{},
                                           [](http::request&, http::responder& out) -> asio::awaitable<void> {
                                               http::response response =
                                                   http::make_response(200, "text/plain", "");
                                               co_await out.send(std::move(response));
                                           });
    }

    void listen(const std::string& endpoint)
    {
        links.listen(endpoint, [this](const wire::reply_target& from, const wire::envelope_ptr&) {
            wire::envelope reply;
            reply.mutable_done();
            links.reply(from, std::move(reply));
        });
    }
};

tcp::endpoint to_endpoint(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    return {asio::ip::make_address(address.substr(0, colon)),
            static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))};
}

/// Connects and exchanges a request and its response, so that the server has the connection open.
void exchange(tcp::socket& socket, const std::string& address)
{
    socket.connect(to_endpoint(address));
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: h\r\n\r\n")));
    std::string response;
    asio::read_until(socket, asio::dynamic_buffer(response), "\r\n\r\n");
}

} // namespace

BOOST_AUTO_TEST_SUITE(listen_test)

// Guards against a process that can't start because connections of its predecessor are still being closed.
BOOST_AUTO_TEST_CASE(web_server_listens_where_its_predecessor_closed_open_connections)
{
    const std::string address = find_free_address();
    asio::io_context io;
    tcp::socket first(io);
    {
        listening_process predecessor;
        predecessor.serve(address);
        exchange(first, address);
        listening_process other;
        BOOST_CHECK_THROW(other.serve(address), link_error);
    }
    listening_process successor;
    BOOST_CHECK_NO_THROW(successor.serve(address));
    tcp::socket second(io);
    exchange(second, address);
}

BOOST_AUTO_TEST_CASE(link_listens_where_its_predecessor_closed_open_connections)
{
    const std::string endpoint = "tcp://" + find_free_address();
    listening_process caller;
    const auto call = [&] {
        wire::envelope request;
        request.mutable_status();
        return asio::co_spawn(caller.pool.executor(), caller.links.call(endpoint, std::move(request), 5s),
                              asio::use_future)
            .get();
    };
    {
        listening_process predecessor;
        predecessor.listen(endpoint);
        BOOST_TEST(call()->has_done());
        listening_process other;
        BOOST_CHECK_THROW(other.listen(endpoint), link_error);
    }
    listening_process successor;
    BOOST_CHECK_NO_THROW(successor.listen(endpoint));
    BOOST_TEST(call()->has_done());
}

// Guards against a process that aborts while it ends because a port is held: the
// thread of its group ran on while the process was destroyed.
BOOST_FIXTURE_TEST_CASE(control_process_that_could_not_start_can_be_destroyed, temporary_folder)
{
    constexpr int repetitions = 30;
    asio::io_context io;
    core::fleet_settings settings;
    settings.node = "node";
    settings.data_centre = "a";
    settings.bootstrap = true;
    settings.operator_listen = find_free_address();
    const tcp::acceptor holder(io, to_endpoint(settings.operator_listen));
    for (int i = 0; i < repetitions; ++i) {
        settings.link = "tcp://" + find_free_address();
        settings.seeds = {settings.link};
        settings.data_folder = (path / std::to_string(i)).string();
        runtime::worker_pool pool(1);
        auto process = std::make_unique<core::control_process>(settings, pool);
        BOOST_CHECK_THROW(process->start({}), link_error);
        pool.stop();
        process.reset();
    }
}

// Guards against a crash that hides why a gateway could not start.
BOOST_FIXTURE_TEST_CASE(gateway_that_could_not_start_can_be_stopped, temporary_folder)
{
    asio::io_context io;
    core::fleet_settings settings;
    settings.node = "node";
    settings.data_centre = "a";
    settings.stop_grace = 1s;
    settings.link = "tcp://" + find_free_address();
    settings.seeds = {"tcp://" + find_free_address()};
    settings.caller_listen = find_free_address();
    settings.readiness_listen = find_free_address();
    settings.data_folder = path.string();
    const tcp::acceptor holder(io, to_endpoint(settings.readiness_listen));
    runtime::worker_pool pool(1);
    auto process = std::make_unique<gateway::gateway_process>(settings, gateway::platform_adapter{}, pool);
    BOOST_CHECK_THROW(process->start(), link_error);
    process->stop();
    pool.stop();
    process->close();
    process.reset();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
