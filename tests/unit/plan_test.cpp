// Service plans: validation, lookup and shares of services.
#include "base/hash_func.hpp"
#include "plan/plan_func.hpp"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

using namespace plan;
using namespace std::chrono_literals;

namespace {

route make_route(const std::string& name, const std::string& prefix)
{
    route new_route;
    new_route.name = route_name{name};
    new_route.host = "h";
    new_route.path_prefix = prefix;
    new_route.services = {{service_name{"s"}, 1.0}};
    return new_route;
}

struct plan_fixture {
    service_plan valid_plan;

    plan_fixture()
    {
        valid_plan.routes = {make_route("short", "/a/"), make_route("long", "/a/b/")};
        valid_plan.services[service_name{"s"}].name = service_name{"s"};
        valid_plan.organisations.push_back({organisation_name{"o"}, {sha256_hex("key")}, {}, 0, 0});
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(plan_test)

BOOST_FIXTURE_TEST_CASE(longest_matching_path_prefix_wins, plan_fixture)
{
    const indexed_plan indexed = index_plan(valid_plan);
    BOOST_TEST(find_route(indexed, "h", "/a/b/c")->name.value == "long");
    BOOST_TEST(find_route(indexed, "h", "/a/c")->name.value == "short");
    BOOST_TEST(find_route(indexed, "h", "/c") == nullptr);
    BOOST_TEST(find_route(indexed, "other", "/a/") == nullptr);
}

BOOST_FIXTURE_TEST_CASE(organisation_is_found_by_its_key_only, plan_fixture)
{
    const indexed_plan indexed = index_plan(valid_plan);
    BOOST_TEST(find_organisation(indexed, "key")->name.value == "o");
    BOOST_TEST(find_organisation(indexed, "key2") == nullptr);
}

BOOST_FIXTURE_TEST_CASE(all_faults_of_a_plan_are_returned, plan_fixture)
{
    BOOST_TEST(check_plan(valid_plan).empty());
    valid_plan.routes.push_back(make_route("double", "/a/"));
    valid_plan.routes.push_back(make_route("nowhere", "/n/"));
    valid_plan.routes.back().services = {{service_name{"missing"}, 0.0}};
    valid_plan.routes.back().timeout = 0s;
    valid_plan.organisations.push_back({organisation_name{"p"}, {sha256_hex("key")}, {}, 0, 0});
    BOOST_TEST(check_plan(valid_plan).size() == 5U);
}

// Guards against a key that two organisations of the same name share, with different limits.
BOOST_FIXTURE_TEST_CASE(key_belongs_to_one_organisation_even_beside_another_of_the_same_name, plan_fixture)
{
    valid_plan.organisations.front().key_hashes.push_back(sha256_hex("key"));
    BOOST_TEST(check_plan(valid_plan).empty());
    valid_plan.organisations.push_back({organisation_name{"o"}, {sha256_hex("key")}, {}, 5, 5});
    BOOST_TEST(check_plan(valid_plan).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(services_of_a_route_share_calls_by_weight, plan_fixture)
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

// Guards against calls to a service whose share a newer version has set to 0: new ones, and those that take
// up a stream which began there.
BOOST_FIXTURE_TEST_CASE(service_without_a_share_gets_no_calls, plan_fixture)
{
    route split = make_route("split", "/s/");
    split.services = {{service_name{"s"}, 1.0}, {service_name{"t"}, 0.0}};
    BOOST_TEST(pick_service(split, UINT64_MAX).service.value == "s");
    BOOST_TEST(pick_service(split, 0).service.value == "s");
    BOOST_TEST(may_serve(split, service_name{"s"}));
    BOOST_TEST(!may_serve(split, service_name{"t"}));
    BOOST_TEST(!may_serve(split, service_name{"u"}));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
