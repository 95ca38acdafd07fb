// Hashes, checksums and random numbers.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace guavawick {

/// @return 64-bit XXH3 hash of the bytes; the same in every process.
std::uint64_t hash_bytes(std::string_view bytes, std::uint64_t seed = 0) noexcept;
/// @return CRC-32C (Castagnoli) of the bytes. @param previous CRC of the preceding bytes.
std::uint32_t crc32c(std::string_view bytes, std::uint32_t previous = 0) noexcept;
/// @return lower-case hexadecimal SHA-256 of the text.
std::string sha256_hex(std::string_view text);
/// @return a non-zero random number of the cryptographic generator of OpenSSL.
std::uint64_t random_id();
/// @return whether both texts are equal. The time taken depends on their lengths, not on their
/// contents.
bool equal_in_constant_time(std::string_view left, std::string_view right) noexcept;
/// @return the number as 16 lower-case hexadecimal digits.
std::string to_hex(std::uint64_t number);
/// Advances a deterministic pseudo-random generator (SplitMix64). @return its next number.
std::uint64_t next_random(std::uint64_t& state) noexcept;

} // namespace guavawick
