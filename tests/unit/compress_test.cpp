// Documents come back as they were, damaged ones are refused.
#include "base/compress_func.hpp"
#include "base/failure_type.hpp"
#include "random_test_options.hpp"

#include "base/hash_func.hpp"

#include <boost/test/unit_test.hpp>

namespace guavawick::tests {

BOOST_AUTO_TEST_SUITE(compress_test)

BOOST_AUTO_TEST_CASE(document_with_many_routes_comes_back_whole_and_travels_smaller)
{
    std::string document = "[";
    for (int i = 0; i < 1400; ++i) {
        document +=
            R"({"name":"r-)" + std::to_string(i) + R"(","path":"/p)" + std::to_string(i * 7) + "/\"},";
    }
    const std::string packed = compress(document);
    BOOST_TEST(packed.size() * 4 < document.size());
    BOOST_TEST((decompress(packed) == document));
    BOOST_TEST(decompress(compress("")).empty());
}

BOOST_AUTO_TEST_CASE(damaged_bytes_are_refused_and_never_read_as_a_document)
{
    const std::string document = std::string(5000, 'a') + "end";
    const std::string packed = compress(document);
    BOOST_CHECK_THROW(decompress(packed.substr(0, packed.size() - 1)), decode_error);
    BOOST_CHECK_THROW(decompress(packed + "x"), decode_error);
    BOOST_CHECK_THROW(decompress(""), decode_error);
    BOOST_CHECK_THROW(decompress("{}"), decode_error);
    std::uint64_t random = 5;
    int refused = 0;
    for (int i = 0; i < 2000; ++i) {
        std::string spoilt = packed;
        spoilt[next_random(random) % spoilt.size()] ^= static_cast<char>(1 + next_random(random) % 255);
        // Some bits mean nothing; the checksum covers the content.
        std::string read = document;
        try {
            read = decompress(spoilt);
        }
        catch (const decode_error&) {
            ++refused;
        }
        BOOST_TEST((read == document));
    }
    BOOST_TEST(refused > 1000);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace guavawick::tests
