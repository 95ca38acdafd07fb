// Tests of compression: documents survive a round trip, damaged input is refused.
#include "base/compress_func.hpp"
#include "base/failure_type.hpp"
#include "random_run.hpp"

#include "base/hash_func.hpp"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

BOOST_AUTO_TEST_SUITE(compress_test)

BOOST_AUTO_TEST_CASE(document_with_many_routes_survives_a_round_trip_and_gets_smaller)
{
    std::string document = "[";
    for (int i = 0; i < 1400; ++i) {
        document +=
            R"({"name":"r-)" + std::to_string(i) + R"(","path":"/p)" + std::to_string(i * 7) + "/\"},";
    }
    const std::string compressed = compress(document);
    BOOST_TEST(compressed.size() * 4 < document.size());
    BOOST_TEST((decompress(compressed) == document));
    BOOST_TEST(decompress(compress("")).empty());
}

BOOST_AUTO_TEST_CASE(damaged_input_is_refused_and_never_gives_another_document)
{
    const std::string document = std::string(5000, 'a') + "end";
    const std::string compressed = compress(document);
    BOOST_CHECK_THROW(decompress(compressed.substr(0, compressed.size() - 1)), decode_error);
    BOOST_CHECK_THROW(decompress(compressed + "x"), decode_error);
    BOOST_CHECK_THROW(decompress(""), decode_error);
    BOOST_CHECK_THROW(decompress("{}"), decode_error);
    std::uint64_t random_state = 5;
    int refused = 0;
    for (int i = 0; i < 2000; ++i) {
        std::string damaged = compressed;
        damaged[next_random(random_state) % damaged.size()] ^=
            static_cast<char>(1 + next_random(random_state) % 255);
        // Some bits of the format have no meaning, so not every change is refused; the checksum covers the
        // content.
        std::string decompressed = document;
        try {
            decompressed = decompress(damaged);
        }
        catch (const decode_error&) {
            ++refused;
        }
        BOOST_TEST((decompressed == document));
    }
    BOOST_TEST(refused > 1000);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
