// Compression of documents that travel and rest whole.
#pragma once

#include <string>

namespace guavawick {

/// @return the bytes, deflated.
std::string compress(const std::string& bytes);
/// @return what was compressed. @throw decode_error if the bytes are damaged or hold more than a document
/// may.
std::string decompress(const std::string& bytes);

} // namespace guavawick
