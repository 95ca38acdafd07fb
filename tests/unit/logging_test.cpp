// Log lines stay bounded, and failures keep theirs longest.
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

/// Standard output is a pipe whose reader does not read.
struct unread_output {
    int saved = -1;
    int pipe_ends[2] = {-1, -1};

    unread_output()
    {
        std::fflush(stdout);
        saved = ::dup(STDOUT_FILENO);
        BOOST_REQUIRE(::pipe(pipe_ends) == 0);
        ::dup2(pipe_ends[1], STDOUT_FILENO);
    }
    ~unread_output()
    {
        ::dup2(saved, STDOUT_FILENO);
        for (const int one : {saved, pipe_ends[0], pipe_ends[1]}) {
            ::close(one);
        }
    }
    unread_output(const unread_output&) = delete;
    unread_output& operator=(const unread_output&) = delete;
};

} // namespace

BOOST_AUTO_TEST_SUITE(logging_test)

BOOST_AUTO_TEST_CASE(routine_lines_over_the_bound_are_left_out_and_told_in_the_next_second)
{
    line_budget budget;
    const time_point now{1h};
    std::uint32_t written = 0;
    for (int i = 0; i < 1000; ++i) {
        written += may_write(budget, event::call_answered, true, now) ? 1U : 0U;
    }
    BOOST_TEST(written == most_routine_lines);
    BOOST_TEST(take_left_out(budget, now).empty());
    const auto told = take_left_out(budget, now + 1s);
    BOOST_TEST(told.at(event::call_answered) == 1000U - most_routine_lines);
    BOOST_TEST(take_left_out(budget, now + 2s).empty());
    BOOST_TEST(may_write(budget, event::call_answered, true, now + 1s));
}

BOOST_AUTO_TEST_CASE(failures_are_still_written_when_routine_lines_are_left_out)
{
    line_budget budget;
    const time_point now{1h};
    for (std::uint32_t i = 0; i < most_routine_lines; ++i) {
        may_write(budget, event::call_answered, true, now);
        may_write(budget, event::call_refused, false, now);
    }
    BOOST_TEST(!may_write(budget, event::call_answered, true, now));
    BOOST_TEST(may_write(budget, event::call_refused, false, now));
}

BOOST_AUTO_TEST_CASE(output_that_nobody_reads_costs_lines_and_does_not_block)
{
    const std::uint64_t before = count_lost_lines();
    {
        const unread_output pipe;
        start_logging("", severity::info);
        // A pipe holds 64 KB; these are several times as much.
        for (int i = 0; i < 900; ++i) {
            log_event(event::call_refused, {{"reason", std::string(300, 'x')}});
        }
        start_logging("", severity::warning);
    }
    BOOST_TEST(count_lost_lines() > before);
}

BOOST_AUTO_TEST_CASE(dependency_that_comes_and_goes_is_told_once_each_way)
{
    const std::string path = "logging_test.log";
    std::remove(path.c_str());
    start_logging(path, severity::info);
    gateway::dependency ledger{"ledger group 1"};
    const time_point now{1h};
    gateway::record_reply(ledger, now);
    gateway::record_outage(ledger, "no leader", now + 700ms);
    gateway::record_outage(ledger, "no leader", now + 900ms);
    gateway::record_reply(ledger, now + 1500ms);
    gateway::record_reply(ledger, now + 1600ms);
    start_logging("", severity::info);
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    const std::string lines = text.str();
    const auto count = [&lines](const std::string& what) {
        std::size_t found = 0;
        for (std::size_t at = lines.find(what); at != std::string::npos; at = lines.find(what, at + 1)) {
            ++found;
        }
        return found;
    };
    BOOST_TEST(count("GW1006 dependency_lost dependency=\"ledger group 1\" heard_ms_ago=700") == 1U);
    BOOST_TEST(count("GW1007 dependency_back dependency=\"ledger group 1\" silent_ms=1500") == 1U);
    std::remove(path.c_str());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
