// Operators' requests while a control replica stops.
#include "small_fleet.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <thread>

namespace guavawick::tests {

BOOST_AUTO_TEST_SUITE(control_stop_test)

// Guards against a request that has been read and ends without an answer, since the replica stops.
BOOST_FIXTURE_TEST_CASE(operators_request_that_runs_when_control_stops_is_answered, small_fleet)
{
    end_control();
    core::fleet_settings settings = common_settings;
    settings.node = "control";
    settings.link = common_settings.seeds.front();
    settings.data_folder = (data_root / "control").string();
    settings.operator_listen = find_free_address();
    settings.metrics_listen.clear();
    control = std::make_unique<core::control_process>(settings, *control_pool);
    std::atomic<bool> running{false};
    std::atomic<bool> stopping{false};
    control->start([&](http::request&, http::responder& responder) -> asio::awaitable<void> {
        running = true;
        while (!stopping) {
            co_await runtime::wait_for(1ms);
        }
        constexpr int steps_after_the_stop = 200;
        for (int i = 0; i < steps_after_the_stop; ++i) {
            co_await runtime::wait_for(1ms);
        }
        co_await respond_ok(responder);
    });
    asio::io_context context;
    asio::ip::tcp::socket caller(context);
    const std::size_t colon = settings.operator_listen.rfind(':');
    caller.connect({asio::ip::make_address(settings.operator_listen.substr(0, colon)),
                    static_cast<std::uint16_t>(std::stoul(settings.operator_listen.substr(colon + 1)))});
    const std::string request = "GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
    asio::write(caller, asio::buffer(request));
    while (!running) {
        std::this_thread::yield();
    }
    std::thread stopper([this, &stopping] {
        stopping = true;
        end_control();
    });
    std::string response;
    boost::system::error_code error;
    asio::read(caller, asio::dynamic_buffer(response), error);
    caller.close();
    stopper.join();
    BOOST_TEST(response.starts_with("HTTP/1.1 200"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
