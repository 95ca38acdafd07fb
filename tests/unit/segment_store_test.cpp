// Segment files: places of bytes, restarts, removal and damage.
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "replica/segment_store.hpp"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>

namespace guavawick::tests {

namespace fs = std::filesystem;
using namespace replica;

namespace {

constexpr segment_limits small_segments{100, 32};

struct segment_folder {
    fs::path path = fs::temp_directory_path() / ("guavawick-test-" + to_hex(random_id()));

    segment_folder() { fs::create_directories(path); }
    ~segment_folder() { fs::remove_all(path); }
    [[nodiscard]] std::string folder() const { return (path / "contents").string(); }
    [[nodiscard]] std::size_t file_count() const
    {
        return static_cast<std::size_t>(
            std::distance(fs::directory_iterator(folder()), fs::directory_iterator()));
    }
};

std::string read(const segment_store& store, const content_range& range)
{
    std::string bytes;
    store.read(range, bytes);
    return bytes;
}

} // namespace

BOOST_AUTO_TEST_SUITE(segment_store_test)

BOOST_FIXTURE_TEST_CASE(bytes_are_read_from_the_buffer_the_open_and_a_closed_segment, segment_folder)
{
    segment_store store(folder(), small_segments);
    std::vector<content_range> ranges;
    for (int i = 0; i < 30; ++i) {
        ranges.push_back(store.append("content " + std::to_string(i)));
    }
    for (int i = 0; i < 30; ++i) {
        BOOST_TEST(read(store, ranges[static_cast<std::size_t>(i)]) == "content " + std::to_string(i));
    }
    BOOST_TEST(ranges.back().segment > 1U);
    BOOST_TEST(read(store, store.append("")).empty());
}

BOOST_FIXTURE_TEST_CASE(content_larger_than_a_segment_gets_one_of_its_own, segment_folder)
{
    segment_store store(folder(), small_segments);
    const content_range large = store.append(std::string(1000, 'x'));
    const content_range next = store.append("y");
    BOOST_TEST(read(store, large) == std::string(1000, 'x'));
    BOOST_TEST(next.segment != large.segment);
}

BOOST_FIXTURE_TEST_CASE(synced_bytes_are_read_after_a_restart_which_appends_to_a_new_segment, segment_folder)
{
    content_range before;
    {
        segment_store store(folder());
        before = store.append("before");
        store.sync();
    }
    segment_store store(folder());
    const content_range after = store.append("after");
    BOOST_TEST(read(store, before) == "before");
    BOOST_TEST(after.segment > before.segment);
}

// A power loss may cut the last segment at any byte: what a durable snapshot refers to was synced before, and
// the rest is written again from the log.
BOOST_FIXTURE_TEST_CASE(every_cut_of_the_last_segment_leaves_the_synced_bytes_and_reports_the_others,
                        segment_folder)
{
    content_range synced;
    content_range unsynced;
    {
        segment_store store(folder());
        synced = store.append("synced bytes");
        store.sync();
        unsynced = store.append("unsynced bytes");
        store.sync();
    }
    const std::string file = folder() + "/" + std::to_string(unsynced.segment);
    for (std::uintmax_t size = fs::file_size(file) - 1; size >= synced.size; --size) {
        fs::resize_file(file, size);
        const segment_store store(folder());
        BOOST_TEST(read(store, synced) == "synced bytes");
        BOOST_CHECK_THROW(read(store, unsynced), storage_error);
    }
}

BOOST_FIXTURE_TEST_CASE(damaged_bytes_are_reported_and_not_returned, segment_folder)
{
    segment_store store(folder());
    const content_range range = store.append("bytes");
    store.sync();
    std::fstream file(folder() + "/" + std::to_string(range.segment), std::ios::in | std::ios::out);
    file.put('B');
    file.close();
    BOOST_CHECK_THROW(read(store, range), storage_error);
}

BOOST_FIXTURE_TEST_CASE(place_that_does_not_exist_is_reported, segment_folder)
{
    segment_store store(folder());
    content_range range = store.append("bytes");
    range.size = 100;
    BOOST_CHECK_THROW(read(store, range), storage_error);
    range.segment = 7;
    BOOST_CHECK_THROW(read(store, range), storage_error);
}

BOOST_FIXTURE_TEST_CASE(removal_of_unused_segments_gives_the_disk_back_and_keeps_the_used_ones,
                        segment_folder)
{
    segment_store store(folder(), small_segments);
    std::vector<content_range> ranges;
    for (int i = 0; i < 100; ++i) {
        ranges.push_back(store.append("content " + std::to_string(i)));
    }
    const std::uint64_t before = store.size();
    store.remove_unused({ranges[50].segment});
    BOOST_TEST(file_count() == 2U); // that one and the open one
    BOOST_TEST(store.size() <= 2 * small_segments.segment_bytes);
    BOOST_TEST(store.size() < before);
    BOOST_TEST(read(store, ranges[50]) == "content 50");
    BOOST_CHECK_THROW(read(store, ranges[0]), storage_error);
    BOOST_TEST(read(store, store.append("next")) == "next");
}

BOOST_FIXTURE_TEST_CASE(number_of_a_removed_segment_is_not_used_again_while_the_store_is_open, segment_folder)
{
    segment_store store(folder(), small_segments);
    const content_range first = store.append(std::string(90, 'a'));
    store.append(std::string(90, 'b'));
    store.remove_unused({});
    const content_range next = store.append(std::string(90, 'c'));
    BOOST_TEST(next.segment > first.segment + 1);
}

BOOST_FIXTURE_TEST_CASE(folder_that_is_a_file_is_a_storage_error, segment_folder)
{
    std::ofstream(folder()) << "x";
    BOOST_CHECK_THROW(segment_store{folder()}, storage_error);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
