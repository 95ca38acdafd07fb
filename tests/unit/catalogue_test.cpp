// Tests that docs/EVENTS.md and docs/ERRORS.md match the catalogues of events and failures.
#include "table/event_table.hpp"
#include "table/failure_table.hpp"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <set>
#include <sstream>

namespace guavawick::tests {
namespace {

std::string read_page(const std::string& name)
{
    std::ifstream file(std::string(GUAVAWICK_SOURCE_DIR) + "/docs/" + name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

BOOST_AUTO_TEST_SUITE(catalogue_test)

BOOST_AUTO_TEST_CASE(events_page_has_a_row_for_each_event_of_the_catalogue)
{
    const std::string page = read_page("EVENTS.md");
    std::set<unsigned> numbers;
    std::size_t rows = 0;
    for (const event_row& row : event_table) {
        const auto number = static_cast<unsigned>(row.number);
        BOOST_TEST(numbers.insert(number).second);
        const std::string line = "| GW" + std::to_string(number) + " | `" + row.name + "` |";
        BOOST_TEST(page.find(line) != std::string::npos, "docs/EVENTS.md lacks " << line);
        BOOST_TEST(page.find(row.meaning) != std::string::npos,
                   "docs/EVENTS.md lacks the meaning of " << row.name);
    }
    for (std::size_t at = page.find("| GW"); at != std::string::npos; at = page.find("| GW", at + 1)) {
        ++rows;
    }
    BOOST_TEST(rows == event_table.size());
}

BOOST_AUTO_TEST_CASE(errors_page_has_a_row_for_each_failure_of_the_catalogue)
{
    const std::string page = read_page("ERRORS.md");
    for (const failure_row& row : failure_table) {
        if (row.kind == failure::none) {
            continue;
        }
        const std::string line = std::string("| `") + row.name + "` | " + std::to_string(row.status) + " | " +
                                 to_string(row.ran) + " |";
        BOOST_TEST(page.find(line) != std::string::npos, "docs/ERRORS.md lacks " << line);
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
