// The history cache: separate organisations, least recently used eviction, and the size limit.
#include "gateway/chain_cache.hpp"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

using namespace gateway;

BOOST_AUTO_TEST_SUITE(history_cache_test)

BOOST_AUTO_TEST_CASE(history_of_one_organisation_is_not_found_by_another)
{
    history_cache cache;
    store_history(cache, make_history_key("o", "t1"), "bytes");
    BOOST_REQUIRE(find_history(cache, make_history_key("o", "t1")) != nullptr);
    BOOST_TEST(*find_history(cache, make_history_key("o", "t1")) == "bytes");
    BOOST_TEST((find_history(cache, make_history_key("p", "t1")) == nullptr));
}

BOOST_AUTO_TEST_CASE(full_cache_evicts_the_least_recently_used_history)
{
    history_cache cache;
    const std::string third(max_history_bytes / 3, 'x');
    for (const char* key : {"a", "b", "c"}) {
        store_history(cache, key, third);
    }
    BOOST_TEST((find_history(cache, "a") != nullptr)); // marks it as the most recently used
    store_history(cache, "d", third);
    BOOST_TEST((find_history(cache, "b") == nullptr));
    for (const char* key : {"a", "c", "d"}) {
        BOOST_TEST((find_history(cache, key) != nullptr));
    }
    BOOST_TEST(cache.bytes <= max_history_bytes);
    BOOST_TEST(cache.by_key.size() == cache.newest_first.size());
}

BOOST_AUTO_TEST_CASE(history_larger_than_the_cache_is_not_stored)
{
    history_cache cache;
    store_history(cache, "a", std::string(max_history_bytes + 1, 'x'));
    BOOST_TEST(cache.newest_first.empty());
    BOOST_TEST(cache.bytes == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
