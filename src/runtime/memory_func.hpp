// Memory of this process.
#pragma once

#include <cstdint>

namespace guavawick::runtime {

/// @return the resident memory of this process in bytes; 0 if the system does not report it, which is logged
/// once. Thread safety: any thread.
std::uint64_t resident_memory();
/// Returns free heap memory to the system. Takes milliseconds. Thread safety: any thread.
void return_free_memory();

} // namespace guavawick::runtime
