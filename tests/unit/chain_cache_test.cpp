// Chains are found as they were kept; the ones unused for longest go first.
#include "gateway/chain_cache.hpp"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

using namespace gateway;

BOOST_AUTO_TEST_SUITE(chain_cache_test)

BOOST_AUTO_TEST_CASE(chain_of_one_organisation_is_not_found_by_another)
{
    chain_cache cache;
    keep_chain(cache, make_chain_key("o", "t1"), "bytes");
    BOOST_REQUIRE(find_chain(cache, make_chain_key("o", "t1")) != nullptr);
    BOOST_TEST(*find_chain(cache, make_chain_key("o", "t1")) == "bytes");
    BOOST_TEST((find_chain(cache, make_chain_key("p", "t1")) == nullptr));
}

BOOST_AUTO_TEST_CASE(full_cache_drops_what_was_unused_for_longest)
{
    chain_cache cache;
    const std::string third(most_chain_bytes / 3, 'x');
    for (const char* key : {"a", "b", "c"}) {
        keep_chain(cache, key, third);
    }
    BOOST_TEST((find_chain(cache, "a") != nullptr)); // used again
    keep_chain(cache, "d", third);
    BOOST_TEST((find_chain(cache, "b") == nullptr));
    for (const char* key : {"a", "c", "d"}) {
        BOOST_TEST((find_chain(cache, key) != nullptr));
    }
    BOOST_TEST(cache.bytes <= most_chain_bytes);
    BOOST_TEST(cache.by_key.size() == cache.newest_first.size());
}

BOOST_AUTO_TEST_CASE(chain_larger_than_the_cache_is_not_kept)
{
    chain_cache cache;
    keep_chain(cache, "a", std::string(most_chain_bytes + 1, 'x'));
    BOOST_TEST(cache.newest_first.empty());
    BOOST_TEST(cache.bytes == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
