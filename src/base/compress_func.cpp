// Compression of documents, by zlib.
#include "base/compress_func.hpp"

#include "base/failure_type.hpp"

#include <zlib.h>

#include <array>

namespace guavawick {
namespace {

constexpr std::size_t most_bytes = 64U << 20U; ///< of a document: the largest plan accepted has 4 MB

} // namespace

std::string compress(const std::string& bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string made(size, '\0');
    // Fails only where the buffer is smaller than its own bound.
    const int done = compress2(reinterpret_cast<Bytef*>(made.data()), &size,
                               reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    if (done != Z_OK) {
        throw decode_error("a document can't be compressed");
    }
    made.resize(size);
    return made;
}

std::string decompress(const std::string& bytes)
{
    z_stream from{};
    if (inflateInit(&from) != Z_OK) {
        throw decode_error("a document can't be decompressed");
    }
    from.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
    from.avail_in = static_cast<uInt>(bytes.size());
    std::string made;
    std::array<char, 16384> part{};
    int state = Z_OK;
    while (state == Z_OK && made.size() <= most_bytes) {
        from.next_out = reinterpret_cast<Bytef*>(part.data());
        from.avail_out = part.size();
        state = inflate(&from, Z_NO_FLUSH);
        made.append(part.data(), part.size() - from.avail_out);
    }
    const bool whole = state == Z_STREAM_END && from.avail_in == 0;
    inflateEnd(&from);
    if (!whole) {
        throw decode_error("a compressed document is damaged");
    }
    return made;
}

} // namespace guavawick
