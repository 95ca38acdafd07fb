// Import of a ledger group's state: only contents that this member lacks are copied, in bounded batches.
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "core/turn_import.hpp"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

using namespace core;
using namespace std::chrono_literals;

namespace {

/// Contents of one member, at the places that its state names.
struct member_contents {
    std::string bytes;

    content_range write(std::string_view content)
    {
        const content_range range{1, static_cast<std::uint32_t>(bytes.size()),
                                  static_cast<std::uint32_t>(content.size()), crc32c(content)};
        bytes += content;
        return range;
    }

    [[nodiscard]] std::string read(const content_range& range) const
    {
        return bytes.substr(range.offset, range.size);
    }
};

struct two_members_fixture {
    member_contents leader_contents;
    member_contents own_contents;
    turns::turn_state leader;
    turns::turn_state own;
    turn_import import;
    std::size_t largest_batch = 0;

    static turns::turn_key key_of(int number)
    {
        return {organisation_name{"o"}, request_name{std::to_string(number)}};
    }

    void store(turns::turn_state& state, member_contents& contents, int number, const std::string& content)
    {
        state.turns[key_of(number)].content = contents.write(content);
    }

    void add_batch(const std::vector<content_range>& ranges)
    {
        std::string part;
        for (const content_range& range : ranges) {
            part += leader_contents.read(range);
        }
        largest_batch = std::max(largest_batch, part.size());
        add_contents(import, part, [this](std::string_view bytes) { return own_contents.write(bytes); });
    }

    /// @return the number of bytes copied.
    std::size_t copy_all()
    {
        const std::size_t before = own_contents.bytes.size();
        for (auto ranges = next_missing(import); !ranges.empty(); ranges = next_missing(import)) {
            add_batch(ranges);
        }
        return own_contents.bytes.size() - before;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(turn_import_test)

BOOST_FIXTURE_TEST_CASE(empty_member_copies_everything_in_batches_of_bounded_size, two_members_fixture)
{
    constexpr std::size_t content_bytes = 6000;
    constexpr int turn_count = 1000;
    for (int i = 0; i < turn_count; ++i) {
        store(leader, leader_contents, i, std::string(content_bytes, static_cast<char>('a' + i % 26)));
    }
    begin_import(import, turns::encode_state(leader), own);
    BOOST_TEST(copy_all() == content_bytes * turn_count);
    BOOST_TEST(largest_batch <= import_batch_bytes);
    const turns::turn_state state = take_state(import);
    for (int i = 0; i < turn_count; ++i) {
        BOOST_TEST_REQUIRE(own_contents.read(state.turns.at(key_of(i)).content) ==
                           leader_contents.read(leader.turns.at(key_of(i)).content));
    }
}

BOOST_FIXTURE_TEST_CASE(lagging_member_copies_only_turns_that_it_lacks, two_members_fixture)
{
    for (int i = 0; i < 10; ++i) {
        store(leader, leader_contents, i, "content " + std::to_string(i));
        if (i < 8) {
            own_contents.write("padding"); // the same contents are at other places here
            store(own, own_contents, i, "content " + std::to_string(i));
        }
    }
    begin_import(import, turns::encode_state(leader), own);
    BOOST_TEST(copy_all() == std::string("content 8content 9").size());
    const turns::turn_state state = take_state(import);
    BOOST_TEST(own_contents.read(state.turns.at(key_of(3)).content) == "content 3");
    BOOST_TEST(own_contents.read(state.turns.at(key_of(9)).content) == "content 9");
}

BOOST_FIXTURE_TEST_CASE(turn_with_other_content_under_the_same_name_is_copied, two_members_fixture)
{
    store(leader, leader_contents, 1, "right");
    store(own, own_contents, 1, "wrong");
    begin_import(import, turns::encode_state(leader), own);
    copy_all();
    BOOST_TEST(own_contents.read(take_state(import).turns.at(key_of(1)).content) == "right");
}

BOOST_FIXTURE_TEST_CASE(import_that_was_given_up_is_not_copied_again, two_members_fixture)
{
    for (int i = 0; i < 100; ++i) {
        store(leader, leader_contents, i, std::string(10000, 'x'));
    }
    begin_import(import, turns::encode_state(leader), own);
    add_batch(next_missing(import));
    next_missing(import); // its answer never comes
    const std::size_t copied = own_contents.bytes.size();
    store(leader, leader_contents, 100, "newer");
    begin_import(import, turns::encode_state(leader), own);
    BOOST_TEST(copy_all() == 100U * 10000U + 5U - copied);
    BOOST_TEST(import.reused_bytes == copied);
}

BOOST_FIXTURE_TEST_CASE(contents_that_do_not_match_are_refused, two_members_fixture)
{
    store(leader, leader_contents, 1, "right");
    const auto write = [this](std::string_view bytes) { return own_contents.write(bytes); };
    for (const char* wrong : {"wrong", "righ", "", "right and more"}) {
        begin_import(import, turns::encode_state(leader), own);
        next_missing(import);
        BOOST_CHECK_THROW(add_contents(import, wrong, write), decode_error);
    }
    BOOST_CHECK_THROW(begin_import(import, "\xff\xff", own), decode_error);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
