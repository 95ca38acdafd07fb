// UTF-8 by the decoder of Boost.Locale.
#include "base/text_func.hpp"

#include <boost/locale/utf.hpp>

#include <algorithm>
#include <array>

namespace guavawick {
namespace {

namespace utf = boost::locale::utf;

/// @return the length of the character at the beginning; 0 if there is none.
std::size_t character_length(std::string_view bytes)
{
    const char* position = bytes.data();
    const utf::code_point decoded = utf::utf_traits<char>::decode(position, bytes.data() + bytes.size());
    const bool valid = decoded != utf::illegal && decoded != utf::incomplete;
    return valid ? static_cast<std::size_t>(position - bytes.data()) : 0;
}

} // namespace

bool is_utf8(std::string_view bytes)
{
    constexpr unsigned char first_non_ascii = 0x80;
    const auto is_ascii = [](unsigned char byte) { return byte < first_non_ascii; };
    bytes.remove_prefix(
        static_cast<std::size_t>(std::find_if_not(bytes.begin(), bytes.end(), is_ascii) - bytes.begin()));
    while (!bytes.empty()) {
        const std::size_t length = character_length(bytes);
        if (length == 0) {
            return false;
        }
        bytes.remove_prefix(length);
    }
    return true;
}

bool has_control_character(std::string_view bytes)
{
    constexpr unsigned char delete_character = 0x7f;
    return std::any_of(bytes.begin(), bytes.end(),
                       [](unsigned char byte) { return byte < ' ' || byte == delete_character; });
}

std::string escape_invalid_utf8(std::string_view bytes)
{
    if (is_utf8(bytes)) {
        return std::string(bytes);
    }
    std::string text;
    while (!bytes.empty()) {
        const std::size_t length = character_length(bytes);
        if (length == 0) {
            std::array<char, 5> escaped{};
            std::snprintf(escaped.data(), escaped.size(), "\\x%02x",
                          static_cast<unsigned>(static_cast<unsigned char>(bytes.front())));
            text += escaped.data();
        }
        else {
            text += bytes.substr(0, length);
        }
        bytes.remove_prefix(std::max<std::size_t>(length, 1));
    }
    return text;
}

std::string_view truncate_utf8(std::string_view text, std::size_t max_bytes)
{
    if (text.size() <= max_bytes) {
        return text;
    }
    constexpr unsigned char continuation_mask = 0xc0;
    constexpr unsigned char continuation_byte = 0x80;
    std::size_t length = max_bytes;
    while (length > 0 &&
           (static_cast<unsigned char>(text[length]) & continuation_mask) == continuation_byte) {
        --length;
    }
    return text.substr(0, length);
}

} // namespace guavawick
