// Tests of settings files and configuration set files: all faults are reported at once, with file, key and
// line.
#include "base/failure_type.hpp"
#include "base/settings_type.hpp"
#include "operator/set_file.hpp"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {
namespace {

std::string parse_faults(const std::string& text, role_kind role)
{
    try {
        parse_settings(text, "s.toml", role);
    }
    catch (const settings_error& fault) {
        return fault.what();
    }
    return "";
}

const std::string valid_entry_settings =
    "data_centre = \"dc1\"\n[[replicas]]\nname = \"r1\"\nendpoint = \"tcp://127.0.0.1:1\"\n[entry]\n";

} // namespace

BOOST_AUTO_TEST_SUITE(settings_test)

BOOST_AUTO_TEST_CASE(every_fault_in_settings_is_reported_with_its_line)
{
    const std::string text =
        "data_centre = 5\n[[replicas]]\nname = \"r1\"\nendpoint = \"nowhere\"\n[entry]\nlisten = "
        "\"127.0.0.1:8080\"\nqueue_limit = \"30\"\nworkers = 0\ncolour = \"red\"\n";
    const std::string faults = parse_faults(text, role_kind::entry);
    BOOST_TEST(faults.find("s.toml:1: data_centre") != std::string::npos);
    BOOST_TEST(faults.find("s.toml:4: replicas.endpoint: expected tcp://IP:PORT") != std::string::npos);
    BOOST_TEST(faults.find("s.toml:7: entry.queue_limit: expected a duration with a unit, such as") !=
               std::string::npos);
    BOOST_TEST(faults.find("s.toml:8: entry.workers: expected a whole number from 1 to 64") !=
               std::string::npos);
    BOOST_TEST(faults.find("s.toml:9: entry.colour: unknown key") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(settings_without_the_section_of_their_role_are_refused)
{
    BOOST_TEST(parse_faults("data_centre = \"dc1\"\n", role_kind::entry).find("expected a section [entry]") !=
               std::string::npos);
    BOOST_TEST(parse_faults(valid_entry_settings, role_kind::sidecar).find("exactly one [[sidecars]]") !=
               std::string::npos);
    BOOST_TEST(parse_faults(valid_entry_settings, role_kind::entry).empty());
}

BOOST_AUTO_TEST_CASE(replica_that_is_not_listed_is_refused)
{
    const std::string text = valid_entry_settings +
                             "[replica]\nname = \"r9\"\nlink = \"tcp://127.0.0.1:9\"\ndata_folder = \"d\"\n";
    BOOST_TEST(parse_faults(text, role_kind::replica).find("is not among [[replicas]]") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(bytes_of_log_before_a_snapshot_are_read_and_bounded)
{
    const std::string replica = "data_centre = \"dc1\"\n[[replicas]]\nname = \"r1\"\nendpoint = "
                                "\"tcp://127.0.0.1:1\"\n[replica]\nname = \"r1\"\nlink = "
                                "\"tcp://127.0.0.1:1\"\ndata_folder = \"d\"\nsnapshot_log_bytes = ";
    BOOST_TEST(
        parse_settings(replica + "1048576\n", "s.toml", role_kind::replica).replica.snapshot_log_bytes ==
        1048576U);
    BOOST_TEST(parse_faults(replica + "100\n", role_kind::replica)
                   .find("s.toml:9: replica.snapshot_log_bytes: expected a whole number from 65536") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(invalid_toml_is_reported_with_its_line)
{
    BOOST_TEST(parse_faults("data_centre = \"dc1\"\n[entry\n", role_kind::entry).find("s.toml:2") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(set_file_faults_are_reported_with_their_line)
{
    BOOST_CHECK_EXCEPTION(
        operators::parse_configuration("[animal.cat]\nname = 1\n", "set.toml"), settings_error,
        [](const settings_error& fault) { return std::string(fault.what()).find("set.toml:1") == 0; });
    const operators::parsed_configuration file = operators::parse_configuration(
        "[organisation.a]\nrate = 1.5\nburst = 2\n[route.r]\nkind = \"model\"\nserves = "
        "\"m\"\norganisations = [\"a\", \"b\"]\n",
        "set.toml");
    BOOST_TEST(file.objects.at({configuration::object_kind::organisation, "a"}).at("rate") == "1.5");
    BOOST_TEST(file.objects.at({configuration::object_kind::route, "r"}).at("organisations") == "a,b");
    BOOST_TEST(operators::describe_fault(file, "set.toml", {"route.r", "organisations", "x"}) ==
               "set.toml:7: route.r.organisations: x");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
