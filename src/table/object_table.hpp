// Catalogue of the kinds of configuration objects and their fields.
#pragma once

#include "configuration/configuration_type.hpp"

#include <array>

namespace guavawick::configuration {

/// Type of the values of a field.
enum class field_type : std::uint8_t {
    text,
    number,
    decimal,
    boolean,
    sha256,
    choice,
    reference,
    references
};

/// One row of the field catalogue.
struct field_row {
    object_kind kind;    ///< kind of the objects that have the field
    const char* name;    ///< name of the field in a set file
    field_type type;     ///< type of its values
    bool required;       ///< whether the field must be present
    double min;          ///< number, decimal: lower limit
    double max;          ///< number, decimal: upper limit
    object_kind target;  ///< reference, references: kind of the object that the value names
    const char* choices; ///< choice: allowed values, separated by '|'
};

constexpr double max_rate = 1e6;  ///< requests per second
constexpr double max_burst = 1e6; ///< requests
constexpr double max_weight = 1000;
constexpr double max_calls = 1e9;
constexpr double max_tokens = 1e12;
constexpr double max_seconds = 3.2e7; ///< about a year
constexpr double max_milliseconds = 3.6e6;
constexpr double max_window_limit = 4096;

// Short names for the rows of the table.
using k = object_kind;
using t = field_type;

constexpr std::array field_table{
    field_row{k::organisation, "rate", t::decimal, true, 0.001, max_rate, k::organisation, ""},
    field_row{k::organisation, "burst", t::decimal, true, 1, max_burst, k::organisation, ""},
    field_row{k::organisation, "weight", t::decimal, false, 0.01, max_weight, k::organisation, ""},
    field_row{k::organisation, "budget", t::reference, false, 0, 0, k::budget, ""},
    field_row{k::key, "organisation", t::reference, true, 0, 0, k::organisation, ""},
    field_row{k::key, "sha256", t::sha256, true, 0, 0, k::key, ""},
    field_row{k::upstream, "leaving", t::boolean, false, 0, 0, k::upstream, ""},
    field_row{k::upstream, "max_window", t::number, false, 1, max_window_limit, k::upstream, ""},
    field_row{k::upstream, "data_centre", t::reference, false, 0, 0, k::data_centre, ""},
    field_row{k::data_centre, "region", t::text, false, 0, 0, k::data_centre, ""},
    field_row{k::data_centre, "out", t::boolean, false, 0, 0, k::data_centre, ""},
    field_row{k::budget, "calls", t::number, false, 1, max_calls, k::budget, ""},
    field_row{k::budget, "tokens", t::number, false, 1, max_tokens, k::budget, ""},
    field_row{k::budget, "seconds", t::number, false, 1, max_seconds, k::budget, ""},
    field_row{k::budget, "idle_seconds", t::number, false, 1, max_seconds, k::budget, ""},
    field_row{k::route, "kind", t::choice, true, 0, 0, k::route, "model|service"},
    field_row{k::route, "serves", t::text, true, 0, 0, k::route, ""},
    field_row{k::route, "organisations", t::references, false, 0, 0, k::organisation, ""},
    field_row{k::route, "open", t::boolean, false, 0, 0, k::route, ""},
    field_row{k::route, "repeatable", t::boolean, false, 0, 0, k::route, ""},
    field_row{k::route, "deadline_ms", t::number, false, 1, max_milliseconds, k::route, ""},
    field_row{k::route, "most_tokens", t::number, false, 1, 1e6, k::route, ""},
};

/// One row of the catalogue of object kinds.
struct kind_row {
    object_kind kind;
    const char* name; ///< first part of the section name in a set file
};

constexpr std::array kind_table{
    kind_row{k::organisation, "organisation"},
    kind_row{k::key, "key"},
    kind_row{k::upstream, "upstream"},
    kind_row{k::data_centre, "data_centre"},
    kind_row{k::budget, "budget"},
    kind_row{k::route, "route"},
};

} // namespace guavawick::configuration
