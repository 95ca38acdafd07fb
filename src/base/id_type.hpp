// Strong types for identifiers, which prevent passing one kind of id for another.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace guavawick {

/// A name that can be compared only with names of the same kind.
template <typename Tag>
struct strong_name {
    std::string value; ///< the text of the name

    strong_name() = default;
    explicit strong_name(std::string text) : value(std::move(text)) {}
    auto operator<=>(const strong_name&) const = default;
    bool operator==(const strong_name&) const = default;
    /// @return whether no name is set.
    [[nodiscard]] bool empty() const { return value.empty(); }
};

/// A number that can be compared only with numbers of the same kind.
template <typename Tag>
struct strong_number {
    std::uint64_t value = 0; ///< 0 means "none"

    strong_number() = default;
    constexpr explicit strong_number(std::uint64_t number) : value(number) {}
    auto operator<=>(const strong_number&) const = default;
    bool operator==(const strong_number&) const = default;
    /// @return whether a number is set.
    explicit operator bool() const { return value != 0; }
};

using organisation_name = strong_name<struct organisation_tag>;
using program_name = strong_name<struct program_tag>;
using request_name = strong_name<struct request_tag>; ///< idempotency key, or a random id
using upstream_name = strong_name<struct upstream_tag>;
using data_centre_name = strong_name<struct data_centre_tag>;

using incarnation_id = strong_number<struct incarnation_tag>; ///< one run of one process
using attempt_id = strong_number<struct attempt_tag>;         ///< one attempt to execute a call
using body_hash = strong_number<struct body_hash_tag>;        ///< hash of a request's body
using token_count = strong_number<struct token_tag>;          ///< model tokens

} // namespace guavawick

template <typename Tag>
struct std::hash<guavawick::strong_name<Tag>> {
    std::size_t operator()(const guavawick::strong_name<Tag>& name) const noexcept
    {
        return std::hash<std::string>{}(name.value);
    }
};

template <typename Tag>
struct std::hash<guavawick::strong_number<Tag>> {
    std::size_t operator()(const guavawick::strong_number<Tag>& number) const noexcept
    {
        return std::hash<std::uint64_t>{}(number.value);
    }
};
