// Upstreams that say in their answers that they leave: which answers count, and how long the mark lasts.
#include "directory/directory_func.hpp"
#include "directory/leaving_marks.hpp"
#include "raw_upstream.hpp"
#include "small_fleet.hpp"

namespace guavawick::tests {

namespace {

using namespace directory;

/// A directory with instance "i", started at 100, which has been marked.
struct marked_instance {
    directory::directory known;
    leaving_marks marks;
    time_point now{1h};

    marked_instance()
    {
        announce(100, 5, instance_state::serving);
        mark_leaving(marks, instance_id{"i"}, 100);
    }

    void announce(std::uint64_t started_ms, std::uint64_t sequence, instance_state state)
    {
        instance_record record;
        record.id = instance_id{"i"};
        record.address = "10.0.0.1:80";
        record.started_ms = started_ms;
        record.sequence = sequence;
        record.state = state;
        merge(known, record, now);
        remove_obsolete(marks, known);
    }

    bool leaves() const { return is_leaving(marks, known.instances.at(instance_id{"i"})); }
};

/// A fleet whose only upstream answers one call with given headers.
struct leaving_upstream : small_fleet {
    raw_upstream leaving;

    /// Calls until the call reaches the upstream, which then answers it.
    /// @param make_headers gets the id of the call.
    int call_leaving(const std::function<std::string(const std::string&)>& make_headers)
    {
        leaving.serve = [make_headers](tcp::socket& socket) {
            const std::string id = read_request(socket);
            write(socket,
                  "HTTP/1.1 200 OK\r\nSignature: s\r\nContent-Length: 2\r\n" + make_headers(id) + "\r\nok");
            boost::system::error_code ignored;
            socket.shutdown(tcp::socket::shutdown_send, ignored);
        };
        announce(upstream, "u1", 2, instance_state::gone);
        announce_address(leaving.address, "u2", 1);
        leaving.start();
        int status = 0;
        while (!leaving.accepted.load()) {
            status = call("GET", "/once/x").status;
        }
        leaving.thread.join();
        return status;
    }

    /// @return whether a call still reaches the upstream that has answered. Announces another one, so that
    /// calls are answered again once the gateway knows it.
    bool is_still_called()
    {
        raw_upstream& again = leaving;
        again.accepted.store(false);
        boost::system::error_code ignored;
        again.connection.close(ignored);
        again.serve = [](tcp::socket& socket) {
            read_request(socket);
            boost::system::error_code not_open;
            socket.close(not_open);
        };
        again.start();
        announce(second_upstream, "u3", 1);
        while (second_upstream.calls.load() < 20 && !again.accepted.load()) {
            call("GET", "/once/x");
        }
        return again.accepted.load();
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(leaving_test)

BOOST_FIXTURE_TEST_CASE(mark_outlives_later_announcements_of_the_incarnation, marked_instance)
{
    announce(100, 6, instance_state::serving);
    BOOST_TEST(leaves());
    announce(100, 4, instance_state::serving);
    BOOST_TEST(leaves());
    announce(100, 7, instance_state::draining);
    announce(100, 8, instance_state::serving);
    BOOST_TEST(leaves());
}

BOOST_FIXTURE_TEST_CASE(mark_ends_with_the_incarnation, marked_instance)
{
    announce(200, 1, instance_state::serving);
    BOOST_TEST(!leaves());
    BOOST_TEST(marks.empty());
    BOOST_TEST(mark_leaving(marks, instance_id{"i"}, 200));
    BOOST_TEST(!mark_leaving(marks, instance_id{"i"}, 100)); // a late answer of the earlier one
    BOOST_TEST(leaves());
}

BOOST_FIXTURE_TEST_CASE(marks_of_instances_that_the_directory_has_forgotten_are_removed, marked_instance)
{
    remove_expired(known, now + gone_retention + 1s);
    remove_obsolete(marks, known);
    BOOST_TEST(marks.empty());
}

// Guards against requests that reach an upstream although its answer said that it leaves.
BOOST_FIXTURE_TEST_CASE(upstream_whose_answer_says_that_it_leaves_gets_no_new_calls, leaving_upstream)
{
    BOOST_TEST(call_leaving([](const std::string& id) { return "Leaving: 1\r\nCall: " + id + "\r\n"; }) ==
               200);
    BOOST_TEST(!is_still_called());
}

// Guards against a fleet that is emptied by bytes that belong to no request.
BOOST_FIXTURE_TEST_CASE(answer_without_the_id_of_a_call_marks_nothing, leaving_upstream)
{
    call_leaving([](const std::string&) { return std::string("Leaving: 1\r\n"); });
    BOOST_TEST(is_still_called());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
