// Tests of the rate limit of log lines, of blocked output, and of the events about lost dependencies.
#include "base/line_budget.hpp"
#include "gateway/dependency.hpp"

#include <boost/test/unit_test.hpp>

#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <unistd.h>

namespace guavawick::tests {

using namespace std::chrono_literals;

namespace {

/// Redirects standard output to a pipe that nobody reads.
struct unread_output {
    int saved_stdout = -1;
    int pipe_descriptors[2] = {-1, -1};

    unread_output()
    {
        std::fflush(stdout);
        saved_stdout = ::dup(STDOUT_FILENO);
        BOOST_REQUIRE(::pipe(pipe_descriptors) == 0);
        ::dup2(pipe_descriptors[1], STDOUT_FILENO);
    }
    ~unread_output()
    {
        ::dup2(saved_stdout, STDOUT_FILENO);
        for (const int descriptor : {saved_stdout, pipe_descriptors[0], pipe_descriptors[1]}) {
            ::close(descriptor);
        }
    }
    unread_output(const unread_output&) = delete;
    unread_output& operator=(const unread_output&) = delete;
};

} // namespace

BOOST_AUTO_TEST_SUITE(logging_test)

BOOST_AUTO_TEST_CASE(routine_lines_over_the_limit_are_dropped_and_reported_in_the_next_second)
{
    log_rate_limiter limiter;
    const time_point now{1h};
    std::uint32_t written = 0;
    for (int i = 0; i < 1000; ++i) {
        written += allow_line(limiter, event::call_answered, true, now) ? 1U : 0U;
    }
    BOOST_TEST(written == max_routine_lines_per_second);
    BOOST_TEST(take_dropped_lines(limiter, now).empty());
    const auto dropped = take_dropped_lines(limiter, now + 1s);
    BOOST_TEST(dropped.at(event::call_answered) == 1000U - max_routine_lines_per_second);
    BOOST_TEST(take_dropped_lines(limiter, now + 2s).empty());
    BOOST_TEST(allow_line(limiter, event::call_answered, true, now + 1s));
}

BOOST_AUTO_TEST_CASE(failures_are_still_written_while_routine_lines_are_dropped)
{
    log_rate_limiter limiter;
    const time_point now{1h};
    for (std::uint32_t i = 0; i < max_routine_lines_per_second; ++i) {
        allow_line(limiter, event::call_answered, true, now);
        allow_line(limiter, event::call_refused, false, now);
    }
    BOOST_TEST(!allow_line(limiter, event::call_answered, true, now));
    BOOST_TEST(allow_line(limiter, event::call_refused, false, now));
}

BOOST_AUTO_TEST_CASE(unread_output_drops_lines_and_does_not_block)
{
    const std::uint64_t before = count_dropped_lines();
    {
        const unread_output pipe;
        configure_logging("", severity::info);
        // A pipe buffers 64 KB; these lines are several times as much.
        for (int i = 0; i < 900; ++i) {
            log_event(event::call_refused, {{"reason", std::string(300, 'x')}});
        }
        configure_logging("", severity::warning);
    }
    BOOST_TEST(count_dropped_lines() > before);
}

BOOST_AUTO_TEST_CASE(loss_and_return_of_a_dependency_are_each_logged_once)
{
    const std::string path = "logging_test.log";
    std::remove(path.c_str());
    configure_logging(path, severity::info);
    gateway::dependency ledger{"ledger group 1"};
    const time_point now{1h};
    gateway::record_reply(ledger, now);
    gateway::record_outage(ledger, "no leader", now + 700ms);
    gateway::record_outage(ledger, "no leader", now + 900ms);
    gateway::record_reply(ledger, now + 1500ms);
    gateway::record_reply(ledger, now + 1600ms);
    configure_logging("", severity::info);
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    const std::string lines = text.str();
    const auto count = [&lines](const std::string& pattern) {
        std::size_t matches = 0;
        for (std::size_t position = lines.find(pattern); position != std::string::npos;
             position = lines.find(pattern, position + 1)) {
            ++matches;
        }
        return matches;
    };
    BOOST_TEST(count("GW1006 dependency_lost dependency=\"ledger group 1\" heard_ms_ago=700") == 1U);
    BOOST_TEST(count("GW1007 dependency_back dependency=\"ledger group 1\" silent_ms=1500") == 1U);
    std::remove(path.c_str());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
