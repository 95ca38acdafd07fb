// Compression of documents that are sent and stored as a whole.
#pragma once

#include <string>

namespace guavawick {

/// @return the bytes in zlib format. @throw decode_error if zlib fails.
std::string compress(const std::string& bytes);
/// @return the decompressed bytes. @throw decode_error if the input is damaged or decompresses to more than
/// 64 MiB.
std::string decompress(const std::string& bytes);

} // namespace guavawick
