// Upstreams whose answers to a gateway have an invalid status, or one that is not the final one.
#include "base/event_type.hpp"
#include "raw_upstream.hpp"
#include "small_fleet.hpp"

#include <boost/asio/read.hpp>

#include <fstream>
#include <sstream>

namespace guavawick::tests {

namespace {

/// What an upstream does after the bytes of its answer.
enum class ending : std::uint8_t { closes, waits };

const std::string two_events = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";
const std::string plain_fields = "Signature: s\r\nContent-Length: 2\r\n\r\nno";
const std::string stream_fields = "Signature: s\r\nContent-Type: text/event-stream\r\nContent-Length: " +
                                  std::to_string(two_events.size()) + "\r\n\r\n" + two_events;

/// The connection stays open behind answers with these, so that only the status tells that they are none.
const std::vector<std::string> invalid_statuses{"000", "099", "101", "600", "999", "20", "2000"};
const std::vector<std::string> interim_statuses{"100", "102", "103"};

/// A fleet with a sound upstream and, for each call that a test makes, one that gives the test's answer.
struct status_fleet : small_fleet {
    std::vector<std::unique_ptr<raw_upstream>> raws;
    std::string last_call; ///< id of the last call

    /// Sends a request on a connection of its own. @return the bytes of the response.
    std::string call_bytes(const std::string& target, const std::string& headers)
    {
        last_call = "s" + std::to_string(next_call_number++);
        const std::string& address = common_settings.caller_listen;
        const std::size_t colon = address.rfind(':');
        asio::io_context context;
        tcp::socket caller(context);
        caller.connect(tcp::endpoint(asio::ip::make_address(address.substr(0, colon)),
                                     static_cast<std::uint16_t>(std::stoul(address.substr(colon + 1)))));
        // The body is the call's own, so that no request is held responsible for another's failures.
        write(caller, "POST " + target + " HTTP/1.1\r\nKey: key\r\nCall: " + last_call + "\r\n" + headers +
                          "Connection: close\r\nContent-Length: " + std::to_string(last_call.size()) +
                          "\r\n\r\n" + last_call);
        std::string response;
        boost::system::error_code ended;
        asio::read(caller, asio::dynamic_buffer(response), ended);
        return response;
    }

    /// Calls until a call has reached an upstream that gives this answer. @return the response to that call.
    std::string call_raw(const std::string& target, const std::string& answer, ending end = ending::closes,
                         const std::string& headers = "")
    {
        raws.push_back(std::make_unique<raw_upstream>());
        raw_upstream& raw = *raws.back();
        raw.serve = [answer, end](tcp::socket& socket) {
            read_request(socket);
            write(socket, answer);
            boost::system::error_code closed;
            std::string rest;
            if (end == ending::waits) {
                asio::read(socket, asio::dynamic_buffer(rest), closed);
            }
            socket.close(closed);
        };
        const std::string id = "raw" + std::to_string(raws.size());
        announce_address(raw.address, id, 1);
        raw.start();
        std::string response;
        while (!raw.accepted.load()) {
            response = call_bytes(target, headers);
        }
        raw.thread.join();
        announce_address(raw.address, id, 2, directory::instance_state::gone);
        return response;
    }

    /// @return the status of a turn that names an earlier one.
    int call_next_turn(const std::string& previous)
    {
        return call("POST", "/turn/x", {{"Previous", previous}}, "y").status;
    }
};

/// A fleet whose log goes to a file.
struct logged_fleet : status_fleet {
    std::string path = (fs::temp_directory_path() / ("guavawick-log-" + to_hex(random_id()))).string();

    logged_fleet() { configure_logging(path, severity::info); }
    ~logged_fleet()
    {
        configure_logging("", severity::info);
        fs::remove(path);
    }
    logged_fleet(const logged_fleet&) = delete;
    logged_fleet& operator=(const logged_fleet&) = delete;

    bool has_logged(const std::string& name, const std::string& field) const
    {
        std::ifstream file(path);
        for (std::string line; std::getline(file, line);) {
            if (line.find(" " + name + " ") != std::string::npos && line.find(field) != std::string::npos) {
                return true;
            }
        }
        return false;
    }
};

std::string status_line(const std::string& status)
{
    return "HTTP/1.1 " + status + " Reason\r\n";
}

bool has_status(const std::string& response, int status)
{
    return response.starts_with("HTTP/1.1 " + std::to_string(status) + " ");
}

} // namespace

BOOST_AUTO_TEST_SUITE(status_test)

// Guards against answers with status 000 that reach the caller.
BOOST_FIXTURE_TEST_CASE(invalid_status_on_a_route_without_retries_is_a_failure, status_fleet)
{
    for (const std::string& status : invalid_statuses) {
        for (const std::string not_run : {"", "Not-Run: 1\r\n"}) {
            BOOST_TEST_CONTEXT(status << " " << not_run)
            {
                const std::string answer = status_line(status) + not_run + plain_fields;
                BOOST_TEST(has_status(call_raw("/once/x", answer, ending::waits), 502));
            }
        }
    }
}

BOOST_FIXTURE_TEST_CASE(invalid_status_on_a_repeatable_route_is_retried, status_fleet)
{
    for (const std::string& status : invalid_statuses) {
        BOOST_TEST_CONTEXT(status)
        {
            const std::string response =
                call_raw("/safe/x", status_line(status) + plain_fields, ending::waits);
            BOOST_TEST(has_status(response, 200));
            BOOST_TEST(response.ends_with("done"));
        }
    }
}

BOOST_FIXTURE_TEST_CASE(invalid_status_of_a_stream_is_a_failure_and_no_turn_is_kept, status_fleet)
{
    for (const std::string& status : invalid_statuses) {
        BOOST_TEST_CONTEXT(status)
        {
            const std::string response =
                call_raw("/turn/x", status_line(status) + stream_fields, ending::waits);
            BOOST_TEST(has_status(response, 502));
            BOOST_TEST(response.find("data:") == std::string::npos);
            BOOST_TEST(call_next_turn(last_call) == 404);
        }
    }
}

BOOST_FIXTURE_TEST_CASE(invalid_status_of_a_resumable_stream_is_retried, status_fleet)
{
    upstream.respond = respond_with_events;
    for (const std::string& status : invalid_statuses) {
        for (const std::string target : {"/resumed/x", "/kept/x"}) {
            BOOST_TEST_CONTEXT(status << " " << target)
            {
                const std::string response =
                    call_raw(target, status_line(status) + stream_fields, ending::waits);
                BOOST_TEST(has_status(response, 200));
                BOOST_TEST(response.find("data: two") != std::string::npos);
            }
        }
    }
}

BOOST_FIXTURE_TEST_CASE(interim_answer_as_the_last_word_is_a_failure, status_fleet)
{
    for (const std::string& status : interim_statuses) {
        const std::string answer = status_line(status) + "Not-Run: 1\r\nSignature: s\r\n\r\n";
        BOOST_TEST_CONTEXT(status)
        {
            BOOST_TEST(has_status(call_raw("/once/x", answer), 502));
            BOOST_TEST(has_status(call_raw("/safe/x", answer), 200));
            BOOST_TEST(has_status(call_raw("/turn/x", answer), 502));
            BOOST_TEST(call_next_turn(last_call) == 404);
            BOOST_TEST(has_status(call_raw("/resumed/x", answer), 200));
        }
    }
}

BOOST_FIXTURE_TEST_CASE(interim_answer_before_the_final_one_is_skipped_with_its_headers, status_fleet)
{
    for (const std::string& status : interim_statuses) {
        const std::string interim =
            status_line(status) + "Not-Run: 1\r\nLeaving: 1\r\nLink: </style>\r\n\r\n";
        for (const std::string target : {"/once/x", "/safe/x"}) {
            BOOST_TEST_CONTEXT(status << " " << target)
            {
                const std::string response =
                    call_raw(target, interim + interim + status_line("404") + plain_fields);
                BOOST_TEST(has_status(response, 404));
                BOOST_TEST(response.ends_with("\r\n\r\nno"));
                BOOST_TEST(response.find("Link") == std::string::npos);
            }
        }
    }
}

BOOST_FIXTURE_TEST_CASE(interim_answer_before_a_stream_is_skipped_and_the_turn_is_kept, status_fleet)
{
    upstream.respond = respond_with_events;
    for (const std::string& status : interim_statuses) {
        const std::string answer =
            status_line(status) + "Link: </style>\r\n\r\n" + status_line("200") + stream_fields;
        BOOST_TEST_CONTEXT(status)
        {
            for (const std::string target : {"/turn/x", "/resumed/x", "/kept/x"}) {
                const std::string response = call_raw(target, answer);
                BOOST_TEST(has_status(response, 200));
                BOOST_TEST(response.find("data: two") != std::string::npos);
                BOOST_TEST(response.find("Link") == std::string::npos);
            }
            call_raw("/turn/x", answer);
            const std::string turn = last_call;
            BOOST_TEST(call_next_turn(turn) == 200);
            BOOST_TEST(upstream.last_body == turn + "one\ntwo\ny");
        }
    }
}

BOOST_FIXTURE_TEST_CASE(invalid_answer_after_an_interim_one_is_a_failure, status_fleet)
{
    BOOST_TEST(has_status(
        call_raw("/once/x", status_line("100") + "\r\n" + status_line("600") + plain_fields, ending::waits),
        502));
}

BOOST_FIXTURE_TEST_CASE(interim_answer_does_not_stop_the_wait_for_the_final_one, status_fleet)
{
    const std::string answer = status_line("100") + "\r\n";
    BOOST_TEST(has_status(call_raw("/safe/x", answer, ending::waits), 200));
    BOOST_TEST(has_status(call_raw("/once/x", answer, ending::waits, "Deadline: 1500\r\n"), 504));
}

BOOST_FIXTURE_TEST_CASE(interim_answers_without_end_are_given_up, status_fleet)
{
    std::string many;
    for (int i = 0; i < 1000; ++i) {
        many += status_line("102") + "\r\n";
    }
    BOOST_TEST(has_status(call_raw("/once/x", many, ending::waits), 502));
    BOOST_TEST(has_status(call_raw("/safe/x", many, ending::waits), 200));
}

BOOST_FIXTURE_TEST_CASE(connection_with_an_invalid_status_is_not_used_again, status_fleet)
{
    std::atomic<int> requests{0};
    raw_upstream only;
    only.serve = [&only, &requests](tcp::socket& socket) {
        boost::system::error_code ignored;
        only.acceptor.close(ignored);
        while (!read_request(socket).empty()) {
            requests.fetch_add(1);
            write(socket, status_line("600") + plain_fields);
        }
    };
    announce(upstream, "u1", 2, directory::instance_state::gone);
    announce_address(only.address, "only", 1);
    only.start();
    while (!only.accepted.load()) {
        call_bytes("/once/x", "");
    }
    for (int i = 0; i < 3; ++i) {
        call_bytes("/once/x", "");
    }
    only.thread.join();
    BOOST_TEST(requests.load() == 1);
}

BOOST_FIXTURE_TEST_CASE(invalid_status_is_logged_and_the_upstream_is_suspected, logged_fleet)
{
    call_raw("/once/x", status_line("000") + plain_fields, ending::waits);
    BOOST_TEST(has_logged("attempt_failed", "reason=\"invalid status 000\""));
    BOOST_TEST(has_logged("instance_suspected", "instance=raw1"));
    call_raw("/once/x", status_line("999") + plain_fields, ending::waits);
    BOOST_TEST(has_logged("attempt_failed", "status=999"));
    BOOST_TEST(has_logged("instance_suspected", "instance=raw2"));
    call_raw("/once/x", status_line("103") + "\r\n");
    BOOST_TEST(has_logged("attempt_failed", "reason=\"no final answer after status 103\""));
    BOOST_TEST(has_logged("instance_suspected", "instance=raw3"));
}

// Guards against callers that are offered an upgrade of a connection which is not theirs.
BOOST_FIXTURE_TEST_CASE(upgrade_that_an_upstream_offers_is_not_passed_on, status_fleet)
{
    const std::string response =
        call_raw("/once/x", status_line("426") + "Connection: Upgrade\r\nUpgrade: h2c\r\n" + plain_fields);
    BOOST_TEST(has_status(response, 426));
    BOOST_TEST(response.find("Upgrade") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
