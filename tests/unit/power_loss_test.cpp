// What a power loss leaves of a group's files: everything that was synced, and any part of the last write.
#include "base/failure_type.hpp"
#include "replica/log_store.hpp"
#include "store_folder.hpp"
#include "wire.pb.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace guavawick::tests {

using namespace replica;

namespace {

constexpr std::size_t page_bytes = 4096;
constexpr std::size_t synced_entries = 2;
constexpr std::size_t unsynced_entries = 12;

/// Parameters of a log whose last write was not synced.
struct log_shape {
    std::size_t synced_payload_bytes = 300;
    std::size_t last_payload_bytes = 9000; ///< some records span whole pages
};

/// The bytes of a log before and after a write that a power loss may keep in part.
struct interrupted_log : temporary_folder {
    std::string synced;  ///< when the write began
    std::string written; ///< when it ended, before its sync

    void write_log(const log_shape& shape)
    {
        log_store store(group());
        store.persist(make_group(), make_entries(1, 1, std::string(shape.synced_payload_bytes, 'a')));
        store.persist(make_group(), make_entries(2, 1, std::string(shape.synced_payload_bytes, 'b')));
        synced = read_bytes(log());
        consensus::group_state later = make_group();
        later.term = 2;
        store.persist(later, make_entries(synced_entries + 1, unsynced_entries,
                                          std::string(shape.last_payload_bytes, 'c')));
        written = read_bytes(log());
    }

    /// @return whether a replica starts with such a log, holds all synced entries and the hard state, and of
    /// the last write nothing but its beginning.
    bool starts_with_synced_entries(const std::string& bytes)
    {
        write_bytes(log(), bytes);
        std::size_t held = 0;
        {
            log_store store(group());
            const consensus::persisted_state& loaded = store.loaded();
            held = loaded.entries.size();
            const bool in_order = std::all_of(
                loaded.entries.begin(), loaded.entries.end(),
                [index = std::uint64_t{0}](const auto& entry) mutable { return entry.index == ++index; });
            const bool whole = in_order && held >= synced_entries &&
                               held <= synced_entries + unsynced_entries && loaded.term >= 1 &&
                               loaded.voted_for.value == 9;
            if (!whole) {
                return false;
            }
            store.persist(make_group(), make_entries(held + 1, 1));
        }
        return log_store(group()).loaded().entries.size() == held + 1;
    }

    bool is_refused(const std::string& bytes)
    {
        write_bytes(log(), bytes);
        try {
            const log_store store(group());
        }
        catch (const storage_error&) {
            return read_bytes(log()) == bytes;
        }
        return false;
    }

    /// @return the log with zeros for a range of the last write.
    [[nodiscard]] std::string without(std::size_t begin, std::size_t end) const
    {
        std::string bytes = written;
        begin = std::max(begin, synced.size());
        end = std::min(end, bytes.size());
        std::fill(bytes.begin() + static_cast<std::ptrdiff_t>(begin),
                  bytes.begin() + static_cast<std::ptrdiff_t>(std::max(begin, end)), '\0');
        return bytes;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(power_loss_test)

// Guards against a replica that never starts again because one page of its last, unsynced write is missing
// while later ones are whole.
BOOST_FIXTURE_TEST_CASE(log_without_one_page_of_its_last_write_starts_with_what_was_synced, interrupted_log)
{
    write_log({});
    for (std::size_t page = synced.size() / page_bytes; page * page_bytes < written.size(); ++page) {
        BOOST_TEST_CONTEXT("page " << page)
        {
            BOOST_TEST(starts_with_synced_entries(without(page * page_bytes, (page + 1) * page_bytes)));
        }
    }
}

BOOST_FIXTURE_TEST_CASE(log_cut_at_any_byte_of_its_last_write_starts_with_what_was_synced, interrupted_log)
{
    write_log({30, 10});
    for (std::size_t size = synced.size(); size <= written.size(); ++size) {
        BOOST_TEST_CONTEXT("size " << size)
        {
            BOOST_TEST(starts_with_synced_entries(written.substr(0, size)));
        }
    }
}

RC_BOOST_FIXTURE_PROP(log_with_any_holes_in_its_last_write_starts_with_what_was_synced, interrupted_log,
                      (const std::vector<std::pair<std::uint16_t, std::uint16_t>>& holes, bool is_cut,
                       std::uint16_t cut))
{
    write_log({50, 200});
    std::string bytes = written;
    const std::size_t tail = written.size() - synced.size();
    for (const auto& [begin, size] : holes) {
        for (std::size_t i = begin % tail; i < std::min(begin % tail + size % tail, tail); ++i) {
            bytes[synced.size() + i] = '\0';
        }
    }
    if (is_cut) {
        bytes.resize(synced.size() + cut % tail);
    }
    RC_ASSERT(starts_with_synced_entries(bytes));
}

// Guards against synced records that are dropped as if a power loss had torn them: a damaged length hides the
// records after it.
BOOST_FIXTURE_TEST_CASE(log_with_any_synced_byte_damaged_is_refused_and_left_as_it_was, interrupted_log)
{
    write_log({30, 50});
    for (std::size_t i = 0; i < synced.size(); ++i) {
        std::string bytes = written;
        bytes[i] = static_cast<char>(bytes[i] ^ 0x55);
        BOOST_TEST_CONTEXT("byte " << i)
        {
            BOOST_TEST(is_refused(bytes));
        }
    }
}

// Guards against callers who keep a replica from starting after a power loss by payloads that look like
// records.
BOOST_FIXTURE_TEST_CASE(log_with_forged_records_in_a_torn_payload_starts_with_what_was_synced,
                        interrupted_log)
{
    write_log({30, 50});
    wire::log_file_record forged;
    forged.mutable_hard_state()->set_term(7);
    std::string payload = frame_record(forged.SerializeAsString());
    for (std::uint64_t synced_bytes = 1; synced_bytes < 4 * written.size(); ++synced_bytes) {
        forged.set_synced_bytes(synced_bytes);
        forged.set_log_id(1);
        payload += frame_record(forged.SerializeAsString());
    }
    write_bytes(log(), synced);
    log_store(group()).persist(make_group(), make_entries(synced_entries + 1, 1, payload));
    std::string bytes = read_bytes(log());
    bytes[synced.size() + 4] = static_cast<char>(bytes[synced.size() + 4] ^ 0x55);
    BOOST_TEST(starts_with_synced_entries(bytes.substr(0, synced.size() + payload.size())));
}

BOOST_FIXTURE_TEST_CASE(log_with_a_synced_range_zeroed_is_refused, interrupted_log)
{
    write_log({});
    std::string bytes = written;
    std::fill_n(bytes.begin(), synced.size(), '\0');
    BOOST_TEST(is_refused(bytes));
}

BOOST_FIXTURE_TEST_CASE(log_rewritten_beside_a_snapshot_and_damaged_at_any_byte_is_refused, interrupted_log)
{
    write_log({30, 50});
    {
        log_store store(group());
        consensus::group_state state = make_group();
        auto snapshot = std::make_shared<consensus::snapshot>();
        snapshot->index = 2;
        snapshot->term = 1;
        state.newest_snapshot = snapshot;
        const consensus::effects retained = make_entries(3, 4);
        state.entries.assign(retained.appended.begin(), retained.appended.end());
        store.write_snapshot(state);
        synced = read_bytes(log());
        store.persist(state, make_entries(7, 1));
        written = read_bytes(log());
    }
    for (std::size_t i = 0; i < synced.size(); ++i) {
        std::string bytes = written;
        bytes[i] = static_cast<char>(bytes[i] ^ 0x55);
        BOOST_TEST_CONTEXT("byte " << i)
        {
            BOOST_TEST(is_refused(bytes));
        }
    }
}

/// The bytes of a log as older versions wrote it: records don't state how much was synced.
struct log_of_an_older_version : interrupted_log {
    log_of_an_older_version()
    {
        std::filesystem::create_directories(group());
        for (std::uint64_t index = 1; index <= synced_entries; ++index) {
            wire::log_file_record record;
            record.mutable_entry()->set_term(1);
            record.mutable_entry()->set_index(index);
            record.mutable_entry()->set_payload("payload");
            synced += frame_record(record.SerializeAsString());
        }
        wire::log_file_record last;
        last.mutable_hard_state()->set_term(1);
        last.mutable_hard_state()->set_voted_for(9);
        synced += frame_record(last.SerializeAsString());
        written = synced;
    }
};

BOOST_FIXTURE_TEST_CASE(log_of_an_older_version_is_read_and_continued, log_of_an_older_version)
{
    BOOST_TEST(starts_with_synced_entries(written));
}

BOOST_FIXTURE_TEST_CASE(log_of_an_older_version_with_an_incomplete_end_is_read, log_of_an_older_version)
{
    const std::string next = frame_record("a record of a later write");
    for (std::size_t size = 0; size < next.size(); ++size) {
        BOOST_TEST(starts_with_synced_entries(written + next.substr(0, size)));
    }
}

// Guards against records of older versions that are dropped though they may have been acknowledged.
BOOST_FIXTURE_TEST_CASE(log_of_an_older_version_damaged_before_an_intact_record_is_refused,
                        log_of_an_older_version)
{
    wire::log_file_record last;
    last.mutable_hard_state()->set_term(2);
    const std::string later = written + frame_record(last.SerializeAsString());
    for (std::size_t i = 0; i < written.size(); ++i) {
        std::string bytes = later;
        bytes[i] = static_cast<char>(bytes[i] ^ 0x55);
        BOOST_TEST_CONTEXT("byte " << i)
        {
            BOOST_TEST(is_refused(bytes));
        }
    }
}

// Guards against damage of an older version's records that the writes of this version no longer show.
BOOST_FIXTURE_TEST_CASE(log_of_an_older_version_damaged_after_it_was_continued_is_refused,
                        log_of_an_older_version)
{
    write_bytes(log(), written);
    log_store(group()).persist(make_group(), make_entries(synced_entries + 1, 1));
    const std::string later = read_bytes(log());
    for (std::size_t i = 0; i < written.size(); ++i) {
        std::string bytes = later;
        bytes[i] = static_cast<char>(bytes[i] ^ 0x55);
        BOOST_TEST_CONTEXT("byte " << i)
        {
            BOOST_TEST(is_refused(bytes));
        }
    }
}

// Guards against a vote that is lost: the replica could vote for another candidate in the same term.
BOOST_FIXTURE_TEST_CASE(synced_vote_survives_the_loss_of_any_end_of_a_later_hard_state, interrupted_log)
{
    {
        log_store store(group());
        store.persist(make_group(), make_entries(1, 1));
        synced = read_bytes(log());
        consensus::effects vote;
        vote.hard_state_changed = true;
        consensus::group_state later = make_group();
        later.term = 2;
        later.voted_for = consensus::member_id{4};
        store.persist(later, vote);
        written = read_bytes(log());
    }
    for (std::size_t size = synced.size(); size <= written.size(); ++size) {
        write_bytes(log(), written.substr(0, size));
        const log_store reopened(group());
        const bool is_later = size == written.size();
        BOOST_TEST(reopened.loaded().term == (is_later ? 2U : 1U));
        BOOST_TEST(reopened.loaded().voted_for.value == (is_later ? 4U : 9U));
    }
}

/// A group that writes a second snapshot: its files before and after.
struct interrupted_snapshot : temporary_folder {
    static constexpr consensus::log_index last_index = 8;
    std::string old_snapshot;
    std::string old_log;
    std::string new_snapshot;
    std::string new_log;

    [[nodiscard]] std::string snapshot() const { return group() + "/snapshot"; }

    interrupted_snapshot()
    {
        log_store store(group());
        store.persist(make_group(), make_entries(1, last_index));
        write_snapshot(store, 2);
        old_snapshot = read_bytes(snapshot());
        old_log = read_bytes(log());
        write_snapshot(store, 4);
        new_snapshot = read_bytes(snapshot());
        new_log = read_bytes(log());
    }

    static void write_snapshot(log_store& store, consensus::log_index index)
    {
        consensus::group_state state = make_group();
        auto snapshot = std::make_shared<consensus::snapshot>();
        snapshot->index = index;
        snapshot->term = 1;
        snapshot->state = "state " + std::to_string(index);
        state.newest_snapshot = snapshot;
        const consensus::effects retained = make_entries(index + 1, last_index - index);
        state.entries.assign(retained.appended.begin(), retained.appended.end());
        store.write_snapshot(state);
    }

    /// @return whether a replica starts with such files and holds the hard state and all entries up to the
    /// last one, and whether it can then replace its files.
    bool starts_whole(consensus::log_index base_index)
    {
        {
            log_store store(group());
            const consensus::group_state restored = consensus::restore_state(
                consensus::member_id{9}, {}, store.take_loaded(), {}, runtime_clock::now(), 1);
            if (restored.base_index != base_index || consensus::last_index(restored) != last_index ||
                restored.term != 1 || restored.voted_for.value != 9) {
                return false;
            }
            write_snapshot(store, 6);
        }
        return log_store(group()).loaded().newest_snapshot->index == 6;
    }
};

BOOST_FIXTURE_TEST_CASE(power_loss_before_a_snapshot_has_its_name_leaves_the_earlier_one,
                        interrupted_snapshot)
{
    for (std::size_t size = 0; size <= new_snapshot.size(); ++size) {
        write_bytes(snapshot(), old_snapshot);
        write_bytes(log(), old_log);
        write_bytes(snapshot() + ".new", new_snapshot.substr(0, size));
        BOOST_TEST(starts_whole(2));
    }
}

BOOST_FIXTURE_TEST_CASE(power_loss_before_the_rewritten_log_has_its_name_leaves_the_earlier_one,
                        interrupted_snapshot)
{
    for (std::size_t size = 0; size <= new_log.size(); ++size) {
        write_bytes(snapshot(), new_snapshot);
        write_bytes(log(), old_log);
        write_bytes(log() + ".new", new_log.substr(0, size));
        BOOST_TEST(starts_whole(4));
    }
}

BOOST_FIXTURE_TEST_CASE(snapshot_damaged_or_cut_at_any_byte_is_refused, interrupted_snapshot)
{
    for (std::size_t i = 0; i < new_snapshot.size(); ++i) {
        std::string bytes = new_snapshot;
        bytes[i] = static_cast<char>(bytes[i] ^ 0x55);
        write_bytes(snapshot(), bytes);
        BOOST_CHECK_THROW(log_store{group()}, storage_error);
        write_bytes(snapshot(), new_snapshot.substr(0, i));
        BOOST_TEST_CONTEXT("size " << i)
        {
            BOOST_CHECK_THROW(log_store{group()}, storage_error);
        }
    }
}

// Guards against a replica that starts empty under its old identity because its snapshot is gone.
BOOST_FIXTURE_TEST_CASE(log_whose_snapshot_is_missing_or_too_old_is_refused, interrupted_snapshot)
{
    std::filesystem::remove(snapshot());
    BOOST_CHECK_THROW(log_store{group()}, storage_error);
    write_bytes(snapshot(), old_snapshot);
    BOOST_CHECK_THROW(log_store{group()}, storage_error);
}

BOOST_FIXTURE_TEST_CASE(identity_is_retained_or_new_whatever_a_power_loss_left_of_its_replacement,
                        temporary_folder)
{
    const std::string folder = path.string();
    const disk_identity first = open_identity(folder);
    const std::string bytes = read_bytes(folder + "/identity");
    for (std::size_t size = 0; size <= bytes.size(); ++size) {
        write_bytes(folder + "/identity.new", bytes.substr(0, size));
        BOOST_TEST((open_identity(folder).id == first.id));
        std::filesystem::remove(folder + "/identity");
        BOOST_TEST(open_identity(folder).blank); // nothing was acknowledged before the identity had its name
        write_bytes(folder + "/identity", bytes);
    }
}

BOOST_FIXTURE_TEST_CASE(identity_damaged_or_cut_at_any_byte_is_refused, temporary_folder)
{
    const std::string folder = path.string();
    open_identity(folder);
    log_store(group()).persist(make_group(), make_entries(1, 1));
    const std::string bytes = read_bytes(folder + "/identity");
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        std::string damaged = bytes;
        damaged[i] = static_cast<char>(damaged[i] ^ 0x55);
        write_bytes(folder + "/identity", damaged);
        BOOST_CHECK_THROW(open_identity(folder), storage_error);
        write_bytes(folder + "/identity", bytes.substr(0, i));
        BOOST_CHECK_THROW(open_identity(folder), storage_error);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
