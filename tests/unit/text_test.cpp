// Validation and repair of text, and the limits of what an instance may announce.
#include "base/text_func.hpp"
#include "directory/directory_func.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

namespace guavawick::tests {

using namespace std::chrono_literals;

namespace {

/// A directory that knows one instance, announced an hour after the clock's origin.
struct directory_with_one {
    directory::directory known;
    time_point now{1h};

    directory_with_one() { directory::merge(known, make_record("i"), now); }

    static directory::instance_record make_record(const std::string& id)
    {
        directory::instance_record record;
        record.id = directory::instance_id{id};
        record.service = "s";
        record.address = "10.0.0.1:80";
        record.data_centre = data_centre_name{"a"};
        record.started_ms = 1;
        record.sequence = 1;
        return record;
    }

    bool takes(const directory::instance_record& record)
    {
        return directory::merge(known, record, now) != directory::merge_result::invalid;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(text_test)

BOOST_AUTO_TEST_CASE(utf8_is_recognised)
{
    BOOST_TEST(is_utf8(""));
    BOOST_TEST(is_utf8("caf\xc3\xa9 \xe2\x82\xac \xf0\x9f\x98\x80"));
    BOOST_TEST(!is_utf8("caf\xe9"));
    BOOST_TEST(!is_utf8("\xc3"));             // ends in the middle
    BOOST_TEST(!is_utf8("\xc0\xaf"));         // overlong
    BOOST_TEST(!is_utf8("\xed\xa0\x80"));     // a surrogate
    BOOST_TEST(!is_utf8("\xf4\x90\x80\x80")); // above the last code point
}

BOOST_AUTO_TEST_CASE(only_invalid_bytes_are_escaped)
{
    BOOST_TEST(escape_invalid_utf8("caf\xc3\xa9") == "caf\xc3\xa9");
    BOOST_TEST(escape_invalid_utf8("\xe9t\xc3\xa9\xc3") == "\\xe9t\xc3\xa9\\xc3");
}

RC_BOOST_PROP(escaped_bytes_are_utf8, (const std::string& bytes))
{
    RC_ASSERT(is_utf8(escape_invalid_utf8(bytes)));
}

RC_BOOST_PROP(truncated_text_is_utf8_and_short, (const std::string& bytes, std::uint8_t max_bytes))
{
    const std::string text = escape_invalid_utf8(bytes) + "\xe2\x82\xac\xf0\x9f\x98\x80";
    const std::string_view prefix = truncate_utf8(text, max_bytes);
    RC_ASSERT(is_utf8(prefix));
    RC_ASSERT(prefix.size() <= max_bytes);
    RC_ASSERT(prefix.size() + 4 > std::min<std::size_t>(max_bytes, text.size()));
}

BOOST_FIXTURE_TEST_CASE(announcement_that_names_no_instance_changes_nothing, directory_with_one)
{
    const std::string too_long(directory::max_field_bytes + 1, 'x');
    const std::uint64_t version = known.version;
    for (const std::string& id : {std::string(), std::string("caf\xe9"), std::string("a\r\nb"), too_long}) {
        BOOST_TEST(!takes(make_record(id)));
        BOOST_TEST(!directory::mark_gone(known, directory::instance_id{id}, 1, now));
    }
    for (const std::string& text : {std::string("caf\xe9"), too_long}) {
        directory::instance_record record = make_record("j");
        record.service = text;
        BOOST_TEST(!takes(record));
        record = make_record("j");
        record.version = text;
        BOOST_TEST(!takes(record));
        record = make_record("j");
        record.address = text;
        BOOST_TEST(!takes(record));
        record = make_record("j");
        record.data_centre = data_centre_name{text};
        BOOST_TEST(!takes(record));
    }
    BOOST_TEST(known.version == version);
    BOOST_TEST(known.instances.size() == 1U);
    BOOST_TEST(takes(make_record("caf\xc3\xa9")));
}

// Guards against a sender with new ids all the time that takes a process's memory.
BOOST_FIXTURE_TEST_CASE(instances_heard_longest_ago_are_evicted_from_a_full_directory, directory_with_one)
{
    directory::instance_record renewed = make_record("i");
    for (std::size_t i = 0; i < 2 * directory::max_instances; ++i) {
        now += 1ms;
        directory::instance_record stranger = make_record("stranger-" + std::to_string(i));
        stranger.address = "10.0.0.2:" + std::to_string(i);
        BOOST_TEST_REQUIRE(takes(stranger));
        if (i % (directory::max_instances / 2) == 0) {
            ++renewed.sequence;
            BOOST_TEST_REQUIRE(takes(renewed));
        }
    }
    BOOST_TEST(known.instances.size() == directory::max_instances);
    BOOST_TEST(known.instances.contains(directory::instance_id{"i"}));
    BOOST_TEST(directory::mark_gone(known, directory::instance_id{"another"}, 1, now));
    BOOST_TEST(known.instances.size() == directory::max_instances);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
