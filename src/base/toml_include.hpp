// Includes toml++ with assertions that throw settings_error instead of aborting the process.
#pragma once

#include "base/failure_type.hpp"

namespace guavawick {

/// Called for a failed assertion of toml++. @throw settings_error always.
[[noreturn]] inline void throw_toml_error()
{
    throw settings_error("the text is not valid TOML");
}

} // namespace guavawick

#define TOML_ASSERT(condition) ((condition) ? static_cast<void>(0) : ::guavawick::throw_toml_error())

#include <toml++/toml.h>
