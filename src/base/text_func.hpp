// Text that arrives as bytes from outside: validation, and repair for readers that demand UTF-8.
#pragma once

#include <string>
#include <string_view>

namespace guavawick {

/// @return whether the bytes are UTF-8 without overlong forms and surrogates.
/// Thread safety: any thread.
[[nodiscard]] bool is_utf8(std::string_view bytes);

/// @return whether the bytes hold a control character of ASCII.
/// Thread safety: any thread.
[[nodiscard]] bool has_control_character(std::string_view bytes);

/// @return the bytes with `\xNN` in place of each byte that belongs to no character of UTF-8. The result is
/// valid UTF-8, and equal to the argument if that is.
/// Thread safety: any thread.
[[nodiscard]] std::string escape_invalid_utf8(std::string_view bytes);

/// @return the longest prefix of at most `max_bytes` that ends with a whole character. @pre `text` is UTF-8.
/// Thread safety: any thread.
[[nodiscard]] std::string_view truncate_utf8(std::string_view text, std::size_t max_bytes);

} // namespace guavawick
