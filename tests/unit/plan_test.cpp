// Service plans: faults, look-ups and shares.
#include "base/hash_func.hpp"
#include "plan/plan_func.hpp"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

using namespace plan;
using namespace std::chrono_literals;

namespace {

route make_route(const std::string& name, const std::string& prefix)
{
    route made;
    made.name = route_name{name};
    made.host = "h";
    made.path_prefix = prefix;
    made.services = {{service_name{"s"}, 1.0}};
    return made;
}

struct small_plan {
    service_plan given;

    small_plan()
    {
        given.routes = {make_route("short", "/a/"), make_route("long", "/a/b/")};
        given.services[service_name{"s"}].name = service_name{"s"};
        given.organisations.push_back({organisation_name{"o"}, {sha256_hex("key")}, {}, 0, 0});
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(plan_test)

BOOST_FIXTURE_TEST_CASE(path_with_two_prefixes_takes_the_longest, small_plan)
{
    const indexed_plan made = index_plan(given);
    BOOST_TEST(find_route(made, "h", "/a/b/c")->name.value == "long");
    BOOST_TEST(find_route(made, "h", "/a/c")->name.value == "short");
    BOOST_TEST(find_route(made, "h", "/c") == nullptr);
    BOOST_TEST(find_route(made, "other", "/a/") == nullptr);
}

BOOST_FIXTURE_TEST_CASE(key_of_an_organisation_is_found_and_another_is_not, small_plan)
{
    const indexed_plan made = index_plan(given);
    BOOST_TEST(find_organisation(made, "key")->name.value == "o");
    BOOST_TEST(find_organisation(made, "key2") == nullptr);
}

BOOST_FIXTURE_TEST_CASE(plan_with_several_faults_is_told_each_of_them, small_plan)
{
    BOOST_TEST(check_plan(given).empty());
    given.routes.push_back(make_route("double", "/a/"));
    given.routes.push_back(make_route("nowhere", "/n/"));
    given.routes.back().services = {{service_name{"missing"}, 0.0}};
    given.routes.back().timeout = 0s;
    given.organisations.push_back({organisation_name{"p"}, {sha256_hex("key")}, {}, 0, 0});
    BOOST_TEST(check_plan(given).size() == 5U);
}

BOOST_FIXTURE_TEST_CASE(route_with_weights_shares_calls_by_them, small_plan)
{
    route split = make_route("split", "/s/");
    split.services = {{service_name{"s"}, 90.0}, {service_name{"t"}, 10.0}};
    int first = 0;
    std::uint64_t random = 1;
    for (int i = 0; i < 10000; ++i) {
        first += pick_service(split, next_random(random)).service.value == "s" ? 1 : 0;
    }
    BOOST_TEST(first > 8800);
    BOOST_TEST(first < 9200);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
