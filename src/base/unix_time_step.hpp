// Lets tests set the wall clock of the process.
#pragma once

#include <chrono>

namespace guavawick {

/// Steps what runtime_clock::unix_ms() returns, forwards or backwards, as if the machine's wall clock had
/// been set. For tests. Thread safe.
void step_unix_time(std::chrono::milliseconds step) noexcept;

} // namespace guavawick
