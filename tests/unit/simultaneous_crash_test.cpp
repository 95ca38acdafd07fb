// Crashes of several instances at the same moment, while calls with the same body ran at each.
#include "directory/directory_func.hpp"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(simultaneous_crash_test)

// Guards against a request that is refused everywhere because several instances crashed at once while it ran.
BOOST_AUTO_TEST_CASE(instances_that_crash_at_once_shortly_after_the_calls_began_count_once)
{
    constexpr std::uint64_t request_hash = 7;
    const time_point crashed_at{1h};
    directory::crash_table table;
    for (int i = 0; i < 4; ++i) {
        const duration running = 5ms * (i + 1);
        const directory::instance_id instance{"i" + std::to_string(i)};
        directory::record_crash(table,
                                {request_hash, instance, 1, crashed_at - running, crashed_at + 1ms * i});
    }
    BOOST_TEST(directory::count_crashes(table, request_hash) == 1U);
    BOOST_TEST(!directory::is_quarantined(table, request_hash, crashed_at + 1s));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
