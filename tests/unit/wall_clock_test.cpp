// Steps of the wall clock, forwards and backwards: nothing may depend on it. docs/design/wall-clock.md lists
// its uses.
#include "base/unix_time_step.hpp"
#include "small_fleet.hpp"

#include <array>
#include <fstream>
#include <set>

namespace guavawick::tests {

namespace {

/// A fleet that retains a turn, and puts the wall clock back to where it was.
struct retained_turn : small_fleet {
    std::chrono::milliseconds stepped{};
    std::string last_turn;

    retained_turn()
    {
        upstream.respond = respond_with_events;
        BOOST_TEST_REQUIRE(take_turn() == 200);
    }
    ~retained_turn() { step_unix_time(-stepped); }
    retained_turn(const retained_turn&) = delete;
    retained_turn& operator=(const retained_turn&) = delete;

    void step(std::chrono::milliseconds size)
    {
        stepped += size;
        step_unix_time(size);
    }

    /// Continues from the last turn, again if the call is refused. @return the status.
    int take_turn()
    {
        int status = 503;
        while (status == 503) {
            const std::string id = "t" + std::to_string(next_call_number);
            std::map<std::string, std::string> headers{{"Call", id}};
            if (!last_turn.empty()) {
                headers["Previous"] = last_turn;
            }
            status = call("POST", "/turn/x", headers, "in ").status;
            if (status == 200) {
                last_turn = id;
            }
        }
        return status;
    }
};

std::string read_file(const fs::path& path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

/// @return the product's sources that contain one of the texts, relative to the root.
std::set<std::string> find_sources(const std::vector<std::string>& texts)
{
    const fs::path root(GUAVAWICK_SOURCE_DIR);
    std::set<std::string> found;
    for (const char* folder : {"src", "platform"}) {
        for (const auto& entry : fs::recursive_directory_iterator(root / folder)) {
            const std::string path = fs::relative(entry.path(), root).string();
            const bool is_product =
                path.rfind("platform/soak", 0) != 0 && path.rfind("platform/tests", 0) != 0 &&
                path.find(".pb.") == std::string::npos && (path.ends_with(".cpp") || path.ends_with(".hpp"));
            if (!is_product) {
                continue;
            }
            const std::string source = read_file(entry.path());
            for (const std::string& text : texts) {
                if (source.find(text) != std::string::npos) {
                    found.insert(path);
                }
            }
        }
    }
    return found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(wall_clock_test)

// Guards against turns that are lost, or kept for too long, because a machine's clock was set.
BOOST_FIXTURE_TEST_CASE(retention_of_turns_does_not_depend_on_steps_of_the_wall_clock, retained_turn)
{
    for (const std::chrono::milliseconds size :
         std::array<std::chrono::milliseconds, 5>{3s, -6s, 10min, -20min, 10min}) {
        step(size);
        BOOST_TEST(take_turn() == 200, "after a step of " << size.count() << " ms");
    }
    BOOST_TEST(upstream.last_body == "in one\ntwo\nin one\ntwo\nin one\ntwo\nin one\ntwo\nin one\ntwo\nin ");
    step(-10min);
    runtime_clock::advance(5min); // more than the retention, its slack and the time that two calls may run
    BOOST_TEST(take_turn() == 404);
}

// Guards against new uses of the wall clock that no one has looked at: leases, timeouts, retention,
// heartbeats and suspicion must go by runtime_clock::now().
BOOST_AUTO_TEST_CASE(only_the_audit_trail_reads_the_wall_clock)
{
    const std::vector<std::string> system_functions{"system_clock",    "CLOCK_REALTIME",       "gettimeofday",
                                                    "std::time(",      "time(nullptr)",        "time(NULL)",
                                                    "utc_clock",       "file_clock",           "timespec_get",
                                                    "last_write_time", "high_resolution_clock"};
    BOOST_TEST(find_sources(system_functions) == std::set<std::string>{"src/base/clock_func.cpp"},
               boost::test_tools::per_element());
    const std::set<std::string> readers{"src/base/clock_func.cpp", "src/base/unix_time_step.hpp",
                                        "src/replica/control_service.cpp"};
    BOOST_TEST(find_sources({"runtime_clock::unix_ms()"}) == readers, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
