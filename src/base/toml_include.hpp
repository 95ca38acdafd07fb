// Includes toml++ so that a broken assumption of its parser is a typed error instead of an abort.
#pragma once

#include "base/failure_type.hpp"

namespace guavawick {

/// Called where toml++ meets text that it did not expect. @throw settings_error.
[[noreturn]] inline void refuse_toml()
{
    throw settings_error("the text is no valid TOML");
}

} // namespace guavawick

#define TOML_ASSERT(condition) ((condition) ? static_cast<void>(0) : ::guavawick::refuse_toml())

#include <toml++/toml.h>
