// Upstreams whose wall clock was set back between two starts. docs/design/wall-clock.md describes the cases.
#include "directory/directory_func.hpp"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

using namespace directory;
using namespace std::chrono_literals;

namespace {

/// A directory that knows an instance, started at 10,000 by its own clock, which is heard no more.
struct restarted_instance {
    directory::directory known;
    time_point now{1h};

    restarted_instance() { announce("i", 10'000, 1); }

    void announce(const std::string& id, std::uint64_t started_ms, std::uint64_t sequence)
    {
        instance_record record;
        record.id = instance_id{id};
        record.address = "10.0.0.1:80";
        record.started_ms = started_ms;
        record.sequence = sequence;
        merge(known, record, now);
    }

    /// Announces an instance for 10 s, once a second. @return whether it gets calls after that.
    bool serves_after_start_at(const std::string& id, std::uint64_t started_ms)
    {
        for (std::uint64_t sequence = 1; sequence <= 10; ++sequence) {
            now += 1s;
            announce(id, started_ms, sequence);
        }
        const auto found = known.instances.find(instance_id{id});
        return found != known.instances.end() && found->second.started_ms == started_ms &&
               found->second.state == instance_state::serving;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(directory_clock_test)

BOOST_FIXTURE_TEST_CASE(instance_that_restarts_after_its_clock_was_set_back_gets_calls, restarted_instance)
{
    BOOST_TEST(serves_after_start_at("i", 7'000));
}

BOOST_FIXTURE_TEST_CASE(instance_that_takes_an_address_after_the_clock_was_set_back_gets_calls,
                        restarted_instance)
{
    BOOST_TEST(serves_after_start_at("j", 7'000));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
