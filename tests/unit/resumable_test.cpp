// Resumable streams whose upstream breaks off: by a FIN or a reset at every byte, or by silence.
#include "small_fleet.hpp"

#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <future>
#include <thread>

namespace guavawick::tests {

namespace {

using tcp = asio::ip::tcp;

/// How an upstream ends its part of a stream.
enum class stream_end : std::uint8_t { fin, reset, silence };

const std::array<std::string, 3> whole_events{"id: 1\ndata: one\n\n", "id: 2\r\ndata: two\r\n\r\n",
                                              "id: 3\ndata: three\n\n"};
const std::string whole_stream = whole_events[0] + whole_events[1] + whole_events[2];
const std::string stream_head = "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Type: text/event-stream\r\n\r\n";

/// @return whether an event ends at this byte of the whole stream, or none has begun.
bool is_boundary(std::size_t length)
{
    std::size_t end = 0;
    for (const std::string& event : whole_events) {
        if (length == end) {
            return true;
        }
        end += event.size();
    }
    return length == end;
}

/// What upstreams do with the attempts of a call: the first one breaks off, the others are completed.
struct attempt_script {
    std::mutex mutex;                    ///< guards the other members
    std::string beginning;               ///< the bytes of the first attempt's response
    stream_end ending = stream_end::fin; ///< how they end
    int attempts = 0;
    std::vector<std::string> served_by; ///< name of the upstream of each attempt
};

/// An upstream whose responses have neither a length nor chunks.
struct breaking_upstream {
    asio::io_context context{1};
    tcp::acceptor acceptor{context};
    std::string address = find_free_address();
    attempt_script& script;
    std::string name;
    std::thread thread;

    explicit breaking_upstream(attempt_script& shared_script, std::string own_name = "")
        : script(shared_script), name(std::move(own_name))
    {
        const std::size_t colon = address.rfind(':');
        const tcp::endpoint endpoint(asio::ip::make_address(address.substr(0, colon)),
                                     static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1))));
        acceptor.open(endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen();
        asio::co_spawn(context, accept_connections(), asio::detached);
        thread = std::thread([this] { context.run(); });
    }

    ~breaking_upstream()
    {
        context.stop();
        thread.join();
    }

    breaking_upstream(const breaking_upstream&) = delete;
    breaking_upstream& operator=(const breaking_upstream&) = delete;

    asio::awaitable<void> accept_connections()
    {
        boost::system::error_code error;
        while (!error) {
            tcp::socket socket =
                co_await acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
            asio::co_spawn(context, serve(std::move(socket)), asio::detached);
        }
    }

    /// @return the events that the caller of a request lacks.
    static std::string events_after(const std::string& request)
    {
        const std::string name = "Last-Event: ";
        const std::size_t header = request.find(name);
        std::string events;
        for (std::size_t i = header == std::string::npos ? 0
                                                         : std::stoul(request.substr(header + name.size()));
             i < whole_events.size(); ++i) {
            events += whole_events.at(i);
        }
        return events;
    }

    asio::awaitable<void> serve(tcp::socket socket)
    {
        std::string received;
        boost::system::error_code error;
        auto buffer = asio::dynamic_buffer(received);
        co_await asio::async_read_until(socket, buffer, "\r\n\r\n",
                                        asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return; // a probe
        }
        std::string bytes;
        stream_end end = stream_end::fin;
        {
            const std::lock_guard lock(script.mutex);
            script.served_by.push_back(name);
            if (script.attempts++ == 0) {
                bytes = script.beginning;
                end = script.ending;
            }
            else {
                bytes = stream_head + events_after(received);
            }
        }
        co_await asio::async_write(socket, asio::buffer(bytes),
                                   asio::redirect_error(asio::use_awaitable, error));
        if (end == stream_end::reset) {
            socket.set_option(tcp::socket::linger(true, 0), error);
            socket.close(error);
            co_return;
        }
        if (end == stream_end::fin) {
            socket.shutdown(tcp::socket::shutdown_send, error);
        }
        // Closing a socket with unread bytes would reset the connection.
        std::array<char, 256> ignored{};
        while (!error) {
            co_await socket.async_read_some(asio::buffer(ignored),
                                            asio::redirect_error(asio::use_awaitable, error));
        }
    }
};

/// A fleet with two upstreams, of which the one that a call reaches first breaks off.
struct broken_stream : small_fleet {
    attempt_script script;
    breaking_upstream first{script};
    breaking_upstream second{script};

    broken_stream()
    {
        announce(upstream, "u1", 2, directory::instance_state::gone);
        announce_address(first.address, "b1", 1);
        announce_address(second.address, "b2", 1);
        int status = 0; // until the gateway knows both
        while (status != 200) {
            status = call_broken("/resumed/x", whole_events[0] + "id", stream_end::fin).status;
        }
    }

    /// Calls until the call is not refused.
    http::response call_broken(const std::string& target, const std::string& part, stream_end end,
                               const std::map<std::string, std::string>& headers = {},
                               const std::string& head = stream_head)
    {
        http::response response;
        response.status = 503;
        while (response.status == 503) {
            {
                const std::lock_guard lock(script.mutex);
                script.beginning = head + part;
                script.ending = end;
                script.attempts = 0;
                script.served_by.clear();
            }
            response = call("POST", target, headers, "x");
        }
        return response;
    }

    int count_attempts()
    {
        const std::lock_guard lock(script.mutex);
        return script.attempts;
    }
};

/// A fleet with two gateways. A stream began at the first gateway at version v1 and broke off
/// there after its first event; calls reach the second gateway.
struct stream_of_old_version : small_fleet {
    attempt_script script;
    breaking_upstream old_instance{script, "old"};
    breaking_upstream new_instance{script, "new"};
    breaking_upstream other_old_instance{script, "other old"};
    std::unique_ptr<gateway::gateway_process> first_gateway;
    std::string stream; ///< the request that got its first event

    /// @param both_serve instances of both versions serve when the stream begins.
    explicit stream_of_old_version(bool both_serve = false)
    {
        announce(upstream, "u1", 2, directory::instance_state::gone);
        announce_address(old_instance.address, "old", 1, directory::instance_state::serving, "v1");
        if (both_serve) {
            announce_address(new_instance.address, "new", 1, directory::instance_state::serving, "v2");
        }
        script.beginning = stream_head + whole_events[0];
        script.ending = stream_end::reset;
        int status = 503;
        while (status != 0 || script.served_by != std::vector<std::string>{"old"}) {
            script.attempts = 0;
            script.served_by.clear();
            stream = "r" + std::to_string(next_call_number++);
            status = call("POST", "/resumed/x", {{"Call", stream}}, "x").status;
        }
        announce_address(old_instance.address, "old", 2, directory::instance_state::gone, "v1");
        announce_address(new_instance.address, "new", 2, directory::instance_state::serving, "v2");
        first_gateway = std::move(gateway_server);
        start_gateway();
        while (call("GET", "/safe/x").status != 200) {
        }
        script.served_by.clear();
    }

    ~stream_of_old_version()
    {
        first_gateway->stop();
        small_fleet::stop();
        first_gateway->close();
    }

    http::response take_up(const std::string& request)
    {
        return call("POST", "/resumed/x", {{"Resumes", request}, {"Last-Event", "1"}}, "x");
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(resumable_test)

// Guards against streams that lose, repeat or garble an event where one upstream takes over from another.
BOOST_FIXTURE_TEST_CASE(stream_that_ends_with_a_fin_at_any_byte_is_whole_or_resumed, broken_stream)
{
    for (std::size_t length = 0; length <= whole_stream.size(); ++length) {
        const std::string part = whole_stream.substr(0, length);
        const http::response response = call_broken("/resumed/x", part, stream_end::fin);
        BOOST_TEST_CONTEXT("FIN after byte " << length)
        {
            // At the end of an event nothing tells a stream that broke off from one that is complete.
            BOOST_TEST(response.status == 200);
            BOOST_TEST(response.body == (is_boundary(length) ? part : whole_stream));
            BOOST_TEST(count_attempts() == (is_boundary(length) ? 1 : 2));
        }
    }
}

// Guards against a reset at the end of an event that is taken for the end of the stream.
BOOST_FIXTURE_TEST_CASE(stream_that_ends_with_a_reset_at_any_byte_is_resumed, broken_stream)
{
    for (std::size_t length = 0; length <= whole_stream.size(); ++length) {
        const http::response response =
            call_broken("/resumed/x", whole_stream.substr(0, length), stream_end::reset);
        BOOST_TEST_CONTEXT("reset after byte " << length)
        {
            BOOST_TEST(response.status == 200);
            BOOST_TEST(response.body == whole_stream);
            BOOST_TEST(count_attempts() == 2);
        }
    }
}

// Guards against a retained turn that lacks the events of one of the upstreams that ran it.
BOOST_FIXTURE_TEST_CASE(turn_that_was_resumed_is_kept_whole, broken_stream)
{
    const http::response response =
        call_broken("/kept/x", whole_events[0] + "id: 2\ndata: tw", stream_end::fin, {{"Call", "t1"}});
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.body == whole_stream);
    BOOST_TEST(count_attempts() == 2);
    second_upstream.respond = respond_with_events;
    announce_address(first.address, "b1", 2, directory::instance_state::gone);
    announce_address(second.address, "b2", 2, directory::instance_state::gone);
    announce(second_upstream, "u2", 1);
    int status = 0;
    while (second_upstream.calls.load() == 0) { // until the gateway knows it
        status = call("POST", "/kept/x", {{"Previous", "t1"}}, "y").status;
    }
    BOOST_TEST(status == 200);
    BOOST_TEST(second_upstream.last_body == "xone\ntwo\nthree\ny");
}

// Guards against an answer that joins events of two software versions of its upstreams.
BOOST_AUTO_TEST_CASE(stream_that_breaks_off_goes_on_only_at_its_version)
{
    broken_stream fleet;
    const double known = fleet.read_metric("guavawick_gateway_instances");
    fleet.announce_address(fleet.second.address, "b2", 2, directory::instance_state::serving, "v2");
    fleet.announce_address(find_free_address(), "b3", 1, directory::instance_state::draining);
    while (fleet.read_metric("guavawick_gateway_instances") == known) { // announcements arrive in order
    }
    for (int i = 0; i < 8; ++i) {
        const http::response response =
            fleet.call_broken("/resumed/x", whole_events[0] + "id", stream_end::reset);
        BOOST_TEST(response.status == 0); // broken off: no other instance has the version
        BOOST_TEST(fleet.count_attempts() == 1);
    }
}

// Guards against a stream that a caller takes up at another gateway and at another software version.
BOOST_AUTO_TEST_CASE(stream_taken_up_at_another_gateway_goes_on_at_its_version)
{
    for (const bool both_serve : {false, true}) {
        stream_of_old_version fleet(both_serve);
        for (int i = 0; i < 4; ++i) {
            BOOST_TEST(fleet.take_up(fleet.stream).status == 503);
        }
        BOOST_TEST(fleet.script.served_by.empty());
        fleet.announce_address(fleet.other_old_instance.address, "other old", 1,
                               directory::instance_state::serving, "v1");
        http::response response = http::make_response(503, "", "");
        while (response.status == 503) { // until the gateway knows the instance
            response = fleet.take_up(fleet.stream);
        }
        BOOST_TEST(response.body == whole_events[1] + whole_events[2]);
        BOOST_TEST(fleet.script.served_by == std::vector<std::string>{"other old"},
                   boost::test_tools::per_element());
    }
}

// Guards against a stream that is taken up at the version that served when its turn was opened.
BOOST_FIXTURE_TEST_CASE(stream_that_began_at_another_version_than_at_its_opening_is_taken_up_there,
                        small_fleet)
{
    attempt_script script;
    breaking_upstream old_instance{script, "old"};
    breaking_upstream other_old_instance{script, "other old"};
    breaking_upstream new_instance{script, "new"};
    const std::vector<std::string> both{"old", "new"};
    announce(upstream, "u1", 2, directory::instance_state::gone);
    announce_address(old_instance.address, "old", 1, directory::instance_state::serving, "v1");
    script.attempts = 1; // only the first attempt of a stream is silent
    while (call("GET", "/safe/x").status != 200) {
    }
    script.ending = stream_end::silence;
    std::string stream;
    do { // until the new instance is known before the first attempt is given up
        const std::string new_id = "new" + std::to_string(next_call_number);
        stream = "r" + std::to_string(next_call_number++);
        script.attempts = 0;
        script.served_by.clear();
        auto streaming = std::async(std::launch::async, [this, &stream] {
            return call("POST", "/resumed/x", {{"Call", stream}}, "x").status;
        });
        const auto count_attempts = [&script] {
            const std::lock_guard lock(script.mutex);
            return script.attempts;
        };
        while (count_attempts() == 0 && streaming.wait_for(0s) != std::future_status::ready) {
        }
        announce_address(new_instance.address, new_id, 1, directory::instance_state::serving, "v2");
        streaming.wait();
        if (script.served_by != both) {
            announce_address(new_instance.address, new_id, 2, directory::instance_state::gone, "v2");
        }
    } while (script.served_by != both);
    const double known = read_metric("guavawick_gateway_instances");
    announce_address(other_old_instance.address, "other old", 1, directory::instance_state::serving, "v1");
    while (read_metric("guavawick_gateway_instances") == known) {
    }
    for (int i = 0; i < 4; ++i) {
        script.served_by.clear();
        const http::response response =
            call("POST", "/resumed/x", {{"Resumes", stream}, {"Last-Event", "1"}}, "x");
        BOOST_TEST(response.body == whole_events[1] + whole_events[2]);
        BOOST_TEST(script.served_by == std::vector<std::string>{"new"}, boost::test_tools::per_element());
    }
}

// Guards against a stream of unknown origin that goes on at any version.
BOOST_FIXTURE_TEST_CASE(stream_of_unknown_origin_is_refused_and_not_run, stream_of_old_version)
{
    BOOST_TEST(take_up("unknown").status == 503);
    BOOST_TEST(script.served_by.empty());
}

// Guards against a stream that is run again after its deadline, or that is passed on as whole.
BOOST_FIXTURE_TEST_CASE(stream_that_is_silent_until_the_deadline_is_broken_off, broken_stream)
{
    for (const std::string& part : {whole_events[0], whole_events[0] + "id: 2\nda"}) {
        const http::response response =
            call_broken("/resumed/x", part, stream_end::silence, {{"Deadline", "1500"}});
        BOOST_TEST(response.status == 0); // the response was aborted
        BOOST_TEST(count_attempts() == 1);
    }
}

// Guards against a repeatable call that waits for a silent upstream until its deadline.
BOOST_FIXTURE_TEST_CASE(stream_whose_upstream_never_responds_runs_at_another, broken_stream)
{
    const http::response response = call_broken("/resumed/x", "", stream_end::silence, {}, "");
    BOOST_TEST(response.status == 200);
    BOOST_TEST(response.body == whole_stream);
    BOOST_TEST(count_attempts() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
