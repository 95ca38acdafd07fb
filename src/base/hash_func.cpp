// Hashes, checksums and random numbers.
#include "base/hash_func.hpp"

#include <boost/crc.hpp>
#include <openssl/crypto.h>
#include <openssl/rand.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace guavawick {
namespace {

constexpr std::uint32_t castagnoli_polynomial = 0x1EDC6F41;
constexpr std::uint32_t all_ones = 0xFFFFFFFF;
using crc32c_type = boost::crc_optimal<32, castagnoli_polynomial, all_ones, all_ones, true, true>;

std::string encode_hex(const unsigned char* bytes, std::size_t size)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i) {
        text.push_back(digits[bytes[i] >> 4U]);
        text.push_back(digits[bytes[i] & 0x0FU]);
    }
    return text;
}

} // namespace

std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint32_t crc32c(std::string_view bytes, std::uint32_t previous) noexcept
{
    crc32c_type crc(previous ^ all_ones);
    crc.process_bytes(bytes.data(), bytes.size());
    return crc.checksum();
}

std::string sha256_hex(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
    return encode_hex(digest.data(), digest.size());
}

std::uint64_t random_id()
{
    std::uint64_t number = 0;
    while (number == 0) {
        RAND_bytes(reinterpret_cast<unsigned char*>(&number), sizeof number);
    }
    return number;
}

bool equal_in_constant_time(std::string_view left, std::string_view right) noexcept
{
    if (left.size() != right.size()) {
        return false;
    }
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string to_hex(std::uint64_t number)
{
    std::array<unsigned char, sizeof number> bytes{};
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        bytes[i] = static_cast<unsigned char>(number >> (8 * (bytes.size() - 1 - i)));
    }
    return encode_hex(bytes.data(), bytes.size());
}

std::uint64_t next_random(std::uint64_t& state) noexcept
{
    // SplitMix64
    state += 0x9E3779B97F4A7C15ULL;
    std::uint64_t mixed = state;
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31U);
}

} // namespace guavawick
