// Compression of documents with zlib.
#include "base/compress_func.hpp"

#include "base/failure_type.hpp"

#include <zlib.h>

#include <array>

namespace guavawick {
namespace {

constexpr std::size_t max_document_bytes = 64U << 20U; ///< the largest plan that is accepted has 4 MB

} // namespace

std::string compress(const std::string& bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string compressed(size, '\0');
    // compress2() fails only if the buffer is smaller than compressBound().
    const int status = compress2(reinterpret_cast<Bytef*>(compressed.data()), &size,
                                 reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED);
    if (status != Z_OK) {
        throw decode_error("a document can't be compressed");
    }
    compressed.resize(size);
    return compressed;
}

std::string decompress(const std::string& bytes)
{
    z_stream stream{};
    if (inflateInit(&stream) != Z_OK) {
        throw decode_error("a document can't be decompressed");
    }
    stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(bytes.data()));
    stream.avail_in = static_cast<uInt>(bytes.size());
    std::string decompressed;
    std::array<char, 16384> chunk{};
    int status = Z_OK;
    while (status == Z_OK && decompressed.size() <= max_document_bytes) {
        stream.next_out = reinterpret_cast<Bytef*>(chunk.data());
        stream.avail_out = chunk.size();
        status = inflate(&stream, Z_NO_FLUSH);
        decompressed.append(chunk.data(), chunk.size() - stream.avail_out);
    }
    const bool complete = status == Z_STREAM_END && stream.avail_in == 0;
    inflateEnd(&stream);
    if (!complete) {
        throw decode_error("a compressed document is damaged");
    }
    return decompressed;
}

} // namespace guavawick
