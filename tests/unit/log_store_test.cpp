// Files of a consensus group: restarts, incomplete and damaged records, identities of data folders.
#include "base/failure_type.hpp"
#include "consensus/consensus_func.hpp"
#include "replica/log_store.hpp"
#include "store_folder.hpp"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>
#include <mutex>
#include <set>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

std::mutex synced_mutex;
std::set<std::string> synced_paths; ///< what this process has synced; guarded by synced_mutex

} // namespace

/// Replaces the C library's function in this program, to record what was synced.
extern "C" int fsync(int fd)
{
    std::error_code error;
    const auto path = std::filesystem::read_symlink("/proc/self/fd/" + std::to_string(fd), error);
    {
        const std::lock_guard lock(synced_mutex);
        synced_paths.insert(path.string());
    }
    return static_cast<int>(::syscall(SYS_fsync, fd));
}

namespace guavawick::tests {

namespace fs = std::filesystem;
using namespace replica;

BOOST_AUTO_TEST_SUITE(log_store_test)

BOOST_FIXTURE_TEST_CASE(entries_and_hard_state_are_read_back_after_a_restart, temporary_folder)
{
    {
        log_store store(group());
        store.persist(make_group(), make_entries(1, 3));
    }
    const log_store reopened(group());
    BOOST_TEST(reopened.loaded().entries.size() == 3U);
    BOOST_TEST(reopened.loaded().entries.back().payload.str() == "payload 3");
    BOOST_TEST(reopened.loaded().term == 1U);
    BOOST_TEST(reopened.loaded().voted_for.value == 9U);
}

// Guards against a voter that comes back from a power loss empty under its old identity, which is kept in the
// same data folder: it could vote twice in a term and would count for entries that it no longer has.
BOOST_FIXTURE_TEST_CASE(name_of_a_new_group_is_synced_before_the_group_is_used, temporary_folder)
{
    open_identity(path.string());
    {
        const std::lock_guard lock(synced_mutex);
        synced_paths.clear();
    }
    const log_store store(group());
    const std::lock_guard lock(synced_mutex);
    BOOST_TEST(synced_paths.contains(fs::canonical(path).string()));
    BOOST_TEST(synced_paths.contains(fs::canonical(group()).string()));
}

// Guards against a disk that comes back from a power loss without its data folder: all that was synced into
// the folder is gone with its name.
BOOST_FIXTURE_TEST_CASE(names_of_a_new_data_folder_and_its_new_parents_are_synced, temporary_folder)
{
    {
        const std::lock_guard lock(synced_mutex);
        synced_paths.clear();
    }
    open_identity((path / "parent" / "data").string());
    const std::lock_guard lock(synced_mutex);
    BOOST_TEST(synced_paths.contains(fs::canonical(path.parent_path()).string()));
    BOOST_TEST(synced_paths.contains(fs::canonical(path).string()));
    BOOST_TEST(synced_paths.contains(fs::canonical(path / "parent").string()));
    BOOST_TEST(synced_paths.contains(fs::canonical(path / "parent" / "data").string()));
}

BOOST_FIXTURE_TEST_CASE(truncated_entries_are_still_absent_after_a_restart, temporary_folder)
{
    {
        log_store store(group());
        store.persist(make_group(), make_entries(1, 5));
        consensus::effects truncation = make_entries(3, 1);
        truncation.truncate_after = 2;
        store.persist(make_group(), truncation);
    }
    BOOST_TEST(log_store(group()).loaded().entries.size() == 3U);
}

BOOST_FIXTURE_TEST_CASE(truncation_within_the_last_record_keeps_all_earlier_records, temporary_folder)
{
    std::uintmax_t full_size = 0;
    std::uintmax_t size_before_last = 0;
    {
        log_store store(group());
        consensus::effects first = make_entries(1, 2);
        first.hard_state_changed = false;
        store.persist(make_group(), first);
        size_before_last = fs::file_size(log());
        consensus::effects last = make_entries(3, 1);
        last.hard_state_changed = false;
        store.persist(make_group(), last);
        full_size = fs::file_size(log());
    }
    std::ifstream file(log(), std::ios::binary);
    const std::string bytes((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
    for (std::uintmax_t size = size_before_last; size <= full_size; ++size) {
        std::ofstream(log(), std::ios::binary | std::ios::trunc) << bytes.substr(0, size);
        const log_store reopened(group());
        BOOST_TEST(reopened.loaded().entries.size() == (size == full_size ? 3U : 2U));
        BOOST_TEST(reopened.tail_truncated() == (size != size_before_last && size != full_size));
    }
}

BOOST_FIXTURE_TEST_CASE(damage_before_intact_records_is_an_error_and_not_truncated, temporary_folder)
{
    {
        log_store store(group());
        store.persist(make_group(), make_entries(1, 4));
    }
    std::fstream file(log(), std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(12);
    file.put('\x55');
    file.close();
    BOOST_CHECK_THROW(log_store{group()}, storage_error);
}

BOOST_FIXTURE_TEST_CASE(snapshot_replaces_the_entries_that_it_covers, temporary_folder)
{
    {
        log_store store(group());
        store.persist(make_group(), make_entries(1, 4));
        consensus::group_state state = make_group();
        auto snapshot = std::make_shared<consensus::snapshot>();
        snapshot->index = 4;
        snapshot->term = 1;
        snapshot->state = "state";
        state.newest_snapshot = snapshot;
        store.write_snapshot(state);
        store.persist(state, make_entries(5, 1));
    }
    const log_store reopened(group());
    BOOST_REQUIRE(reopened.loaded().newest_snapshot);
    BOOST_TEST(reopened.loaded().newest_snapshot->state == "state");
    BOOST_TEST(reopened.loaded().entries.size() == 1U);
}

// Guards against entries that are lost, or shifted, if the power fails between the two files of a snapshot.
BOOST_FIXTURE_TEST_CASE(snapshot_beside_the_log_that_it_was_to_shorten_keeps_the_later_entries,
                        temporary_folder)
{
    {
        log_store store(group());
        store.persist(make_group(), make_entries(1, 8));
        fs::copy_file(log(), path / "log-before");
        consensus::group_state state = make_group();
        auto snapshot = std::make_shared<consensus::snapshot>();
        snapshot->index = 4;
        snapshot->term = 1;
        state.newest_snapshot = snapshot;
        store.write_snapshot(state);
    }
    fs::rename(path / "log-before", log());
    log_store reopened(group());
    const consensus::group_state restored = consensus::restore_state(
        consensus::member_id{9}, {}, reopened.take_loaded(), {}, runtime_clock::now(), 1);
    BOOST_TEST(restored.base_index == 4U);
    BOOST_TEST(consensus::last_index(restored) == 8U);
    BOOST_TEST(restored.entries.front().payload.str() == "payload 5");
    BOOST_TEST(restored.term == 1U);
    BOOST_TEST(restored.voted_for.value == 9U);
}

BOOST_FIXTURE_TEST_CASE(emptied_folder_gets_a_new_identity_and_a_retained_folder_keeps_its_identity,
                        temporary_folder)
{
    const std::string folder = path.string();
    const disk_identity first = open_identity(folder);
    BOOST_TEST(first.blank);
    BOOST_TEST((open_identity(folder).id == first.id));
    BOOST_TEST(!open_identity(folder).blank);
    fs::remove_all(path);
    BOOST_TEST((open_identity(folder).id != first.id));
}

BOOST_FIXTURE_TEST_CASE(groups_without_an_identity_are_an_error, temporary_folder)
{
    fs::create_directories(group());
    BOOST_CHECK_THROW(open_identity(path.string()), storage_error);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
