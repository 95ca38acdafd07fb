// The splitter of event streams, with a stream that arrives in two pieces cut at any byte.
#include "gateway/event_stream.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace guavawick::tests {

using namespace gateway;

namespace {

/// @return a stream of events, comments and empty lines with line ends of both kinds; it may end in a part.
std::string make_stream()
{
    std::string stream;
    const std::vector<std::string> line_ends{"\n", "\r\n"};
    const auto lines = *rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
        "id: 1", "id:2", "id: x", "data: a", "data:", "data: b b", "event: e", ": ping", ":", "", ""));
    for (const std::string& line : lines) {
        stream += line + *rc::gen::elementOf(line_ends);
    }
    return stream + *rc::gen::element<std::string>("", "", "id: 3", "data: half", ": half", "\r");
}

/// What a gateway does with a stream: the events and the state in which the stream ends.
struct split_stream {
    std::vector<stream_event> events;
    event_splitter splitter;

    void receive(const std::string& part)
    {
        for (stream_event& next : split_events(splitter, part)) {
            events.push_back(std::move(next));
        }
    }
};

void check_equal(const split_stream& left, const split_stream& right)
{
    RC_ASSERT(left.events.size() == right.events.size());
    for (std::size_t i = 0; i < left.events.size(); ++i) {
        RC_ASSERT(left.events[i].bytes == right.events[i].bytes);
        RC_ASSERT(left.events[i].id == right.events[i].id);
        RC_ASSERT(left.events[i].data == right.events[i].data);
    }
    RC_ASSERT(left.splitter.pending == right.splitter.pending);
    RC_ASSERT(is_inside_event(left.splitter) == is_inside_event(right.splitter));
}

} // namespace

BOOST_AUTO_TEST_SUITE(event_stream_test)

BOOST_AUTO_TEST_CASE(stream_cut_at_any_byte_gives_the_same_complete_events)
{
    const std::string stream = "id: 1\ndata: a\n\nversion: 2\nid: 2\ndata: b\ndata: c\n\nid: 3\ndata: half";
    for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
        event_splitter splitter;
        std::vector<stream_event> events = split_events(splitter, stream.substr(0, cut));
        for (stream_event& next : split_events(splitter, stream.substr(cut))) {
            events.push_back(std::move(next));
        }
        BOOST_REQUIRE(events.size() == 2U);
        BOOST_TEST(events[0].bytes + events[1].bytes + splitter.pending == stream);
        BOOST_TEST(events[0].id.value() == 1U);
        BOOST_TEST(events[1].data == "b\nc");
    }
}

// Guards against events that depend on where the network divides the stream.
RC_BOOST_PROP(any_stream_cut_at_every_byte_gives_the_same_events_and_end, ())
{
    const std::string stream = make_stream();
    split_stream whole;
    whole.receive(stream);
    std::string bytes;
    for (const stream_event& event : whole.events) {
        bytes += event.bytes;
    }
    RC_ASSERT(bytes + whole.splitter.pending == stream); // no byte is lost or added
    split_stream byte_by_byte;
    for (std::size_t cut = 0; cut < stream.size(); ++cut) {
        split_stream pieces;
        pieces.receive(stream.substr(0, cut));
        pieces.receive(stream.substr(cut));
        check_equal(pieces, whole);
        byte_by_byte.receive(stream.substr(cut, 1));
    }
    check_equal(byte_by_byte, whole);
}

// Guards against streams that were broken off and passed on as whole.
BOOST_AUTO_TEST_CASE(stream_that_ends_at_any_byte_of_an_event_ends_inside_it)
{
    for (const std::string line_end : {"\n", "\r\n"}) {
        const std::string event = "id: 1" + line_end + "data: a" + line_end + line_end;
        for (std::size_t length = 0; length <= 2 * event.size(); ++length) {
            event_splitter splitter;
            split_events(splitter, (event + event).substr(0, length));
            const bool at_boundary = length % event.size() == 0;
            BOOST_TEST(is_inside_event(splitter) == !at_boundary, "at byte " << length);
        }
    }
}

BOOST_AUTO_TEST_CASE(line_ends_of_both_kinds_may_be_mixed)
{
    event_splitter splitter;
    BOOST_TEST(split_events(splitter, "data: a\n\r\ndata: b\r\n\ndata: c\r\n\r\ndata: d\n\n").size() == 4U);
    BOOST_TEST(splitter.pending.empty());
}

BOOST_AUTO_TEST_CASE(stream_that_ends_after_a_comment_or_an_empty_line_ends_outside_of_events)
{
    for (const char* end : {"\n", "\r\n", "\r", ": ping\n", ": ping\r\n\n", ":"}) {
        event_splitter splitter;
        split_events(splitter, std::string("data: a\n\n") + end);
        BOOST_TEST(!is_inside_event(splitter), end);
    }
    event_splitter splitter;
    split_events(splitter, ": ping\ndata: a\n");
    BOOST_TEST(is_inside_event(splitter));
}

BOOST_AUTO_TEST_CASE(event_whose_id_is_not_a_number_has_no_id)
{
    event_splitter splitter;
    BOOST_TEST(!split_events(splitter, "id: x1\ndata: a\n\n").front().id.has_value());
}

BOOST_AUTO_TEST_CASE(event_that_never_ends_is_dropped_at_the_limit)
{
    event_splitter splitter;
    BOOST_TEST(split_events(splitter, "data: a\n\n").size() == 1U);
    const std::string part(64U << 10U, 'x');
    for (std::size_t received = 0; received < 4 * max_event_bytes; received += part.size()) {
        BOOST_TEST(split_events(splitter, part).empty());
        BOOST_TEST_REQUIRE(splitter.pending.size() <= max_event_bytes);
    }
    BOOST_TEST(splitter.overflowed);
}

BOOST_AUTO_TEST_CASE(large_event_in_many_parts_is_complete)
{
    event_splitter splitter;
    const std::string part(1000, 'x');
    split_events(splitter, "data: ");
    for (int i = 0; i < 500; ++i) {
        split_events(splitter, part);
    }
    split_events(splitter, "\n");
    BOOST_TEST(split_events(splitter, "\n").front().data.size() == 500U * 1000U);
    BOOST_TEST(!splitter.overflowed);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
