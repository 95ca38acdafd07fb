// Runs scenario files against real processes on loopback.
#include "base/event_type.hpp"
#include "base/hash_func.hpp"
#include "runner.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <filesystem>
#include <iostream>
#include <memory>

ABSL_FLAG(std::string, bin, "build", "folder of the built programs");
ABSL_FLAG(bool, verbose, false, "print each statement");
ABSL_FLAG(bool, fixed_ports, false, "use the ports that the README names");
ABSL_FLAG(bool, keep, false, "keep the scratch folder of a scenario that held");

int main(int argc, char** argv)
{
    using namespace guavawick;
    absl::SetProgramUsageMessage("scenario_runner [FLAGS] FILE...");
    const std::vector<char*> files = absl::ParseCommandLine(argc, argv);
    runtime::block_signals();
    configure_logging("", severity::error);
    int failure_count = 0;
    for (std::size_t i = 1; i < files.size(); ++i) {
        const std::string folder =
            (std::filesystem::temp_directory_path() / ("guavawick-" + to_hex(random_id()))).string();
        runtime::worker_pool pool(3);
        std::unique_ptr<scenarios::process_set> processes;
        try {
            processes = std::make_unique<scenarios::process_set>(
                absl::GetFlag(FLAGS_bin), folder, absl::GetFlag(FLAGS_fixed_ports), pool.executor());
            scenarios::runner runner(*processes, pool, absl::GetFlag(FLAGS_verbose));
            runner.run(scenarios::read_script(files[i]));
            std::cout << files[i] << ": held" << std::endl;
            if (!absl::GetFlag(FLAGS_keep)) {
                std::filesystem::remove_all(folder);
            }
        }
        catch (const std::exception& exception) {
            ++failure_count;
            std::cout << files[i] << ": FAILED\n"
                      << exception.what() << "\nlogs are in " << folder << std::endl;
        }
        pool.stop(); // before the processes are destroyed: the relays' threads use them
        processes.reset();
    }
    return failure_count == 0 ? 0 : 1;
}
