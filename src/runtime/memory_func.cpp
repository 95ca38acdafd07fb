// Memory of this process.
#include "runtime/memory_func.hpp"

#include "base/event_type.hpp"

#include <atomic>
#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace guavawick::runtime {

std::uint64_t resident_memory()
{
    std::ifstream file("/proc/self/statm");
    std::uint64_t total_pages = 0;
    std::uint64_t resident_pages = 0;
    if (!(file >> total_pages >> resident_pages)) {
        static std::atomic<bool> logged{false};
        if (!logged.exchange(true)) {
            log_event(event::internal_fault, {{"reason", "/proc/self/statm can't be read"}});
        }
        return 0;
    }
    return resident_pages * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE));
}

void return_free_memory()
{
    malloc_trim(0);
}

} // namespace guavawick::runtime
