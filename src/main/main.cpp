// Entry point of the guavawick binary. The first argument names the role to run or the operator's command.
#include "base/event_type.hpp"
#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "base/settings_type.hpp"
#include "operator/client_cmd.hpp"
#include "standalone/roles.hpp"
#include "table/command_table.hpp"
#ifdef GUAVAWICK_WITH_PLATFORM
#include "platform/platform_roles.hpp"
#endif

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <cstdlib>
#include <iostream>
#include <malloc.h>

ABSL_FLAG(std::string, settings, "", "TOML settings file of the role");
ABSL_FLAG(bool, check_settings, false, "check the settings file, print its faults and exit");
ABSL_FLAG(std::string, operator_address, "http://127.0.0.1:8090", "operator address of a replica");
ABSL_FLAG(std::string, operator_key, "",
          "the operator's key; GUAVAWICK_OPERATOR_KEY is used if this is empty");
ABSL_FLAG(std::string, file, "", "configuration set file");
ABSL_FLAG(int64_t, expect_revision, -1,
          "publish only if this is the current revision; -1 reads the current one first");
ABSL_FLAG(std::string, request_id, "",
          "idempotency key of a publication: repeat it to resend; empty makes a new one");
ABSL_FLAG(bool, dry_run, false, "show what would change without publishing it");
ABSL_FLAG(bool, json, false, "print JSON instead of tables");
ABSL_FLAG(int64_t, after, 0, "audit: only revisions after this one");

namespace guavawick {
namespace {

operators::client_options make_client_options()
{
    operators::client_options options;
    options.address = absl::GetFlag(FLAGS_operator_address);
    options.operator_key = absl::GetFlag(FLAGS_operator_key);
    const char* environment_key = std::getenv("GUAVAWICK_OPERATOR_KEY");
    if (options.operator_key.empty() && environment_key != nullptr) {
        options.operator_key = environment_key;
    }
    options.file = absl::GetFlag(FLAGS_file);
    options.request_id = absl::GetFlag(FLAGS_request_id);
    options.expect_revision = absl::GetFlag(FLAGS_expect_revision);
    options.after_revision =
        static_cast<std::uint64_t>(std::max<std::int64_t>(0, absl::GetFlag(FLAGS_after)));
    options.dry_run = absl::GetFlag(FLAGS_dry_run);
    options.print_json = absl::GetFlag(FLAGS_json);
    return options;
}

void print_help(std::ostream& output)
{
    output << "guavawick schedules agent programs.\n\nusage: guavawick COMMAND [FLAGS]\n\n";
    for (const command_row& row : command_table) {
        output << "  " << row.name << std::string(14 - std::string(row.name).size(), ' ') << row.summary
               << "\n";
    }
    output << "\n`guavawick COMMAND --help` lists a command's flags.\n"
              "exit codes: 0 done, 1 refused, 2 invalid command line or settings, 3 disk failure, 4 no "
              "replica answered\n";
}

void print_command_help(const command_row& row, std::ostream& output)
{
    output << "usage: guavawick " << row.name << " " << row.usage << "\n\n"
           << row.summary << "\n\n"
           << row.help << "\n";
}

int run_role(role_kind role)
{
    const std::string path = absl::GetFlag(FLAGS_settings);
    if (path.empty()) {
        std::cerr << "--settings FILE is required\n";
        return operators::exit_usage;
    }
    settings process_settings;
    try {
        process_settings = read_settings(path, role);
    }
    catch (const settings_error& error) {
        std::cerr << error.what() << "\n";
        return operators::exit_usage;
    }
    if (absl::GetFlag(FLAGS_check_settings)) {
        std::cout << path << ": no faults\n";
        return operators::exit_success;
    }
    return run_process(process_settings, role);
}

int run_command(const command_row& row, const std::vector<std::string>& arguments)
{
    if (row.role) {
        return run_role(*row.role);
    }
    if (std::string(row.name) == "hash-key") {
        std::string key;
        std::getline(std::cin, key);
        std::cout << sha256_hex(key) << "\n";
        return operators::exit_success;
    }
    operators::client_options options = make_client_options();
    if (row.requires_file && options.file.empty()) {
        std::cerr << "--file FILE is required\n";
        return operators::exit_usage;
    }
    return operators::run_client_command(row.name, arguments, options);
}

int run_main(int argc, char** argv)
{
    const std::string name = argc > 1 ? argv[1] : "";
    if (name.empty() || name == "--help" || name == "help") {
        print_help(name.empty() ? std::cerr : std::cout);
        return name.empty() ? operators::exit_usage : operators::exit_success;
    }
#ifdef GUAVAWICK_WITH_PLATFORM
    if (const std::optional<int> code = platform::run_platform_role(name)) {
        return *code;
    }
#endif
    const command_row* row = find_command(name);
    if (row == nullptr) {
        std::cerr << "unknown command \"" << name << "\"; see `guavawick --help`\n";
        return operators::exit_usage;
    }
    for (int i = 2; i < argc; ++i) {
        if (std::string(argv[i]) == "--help") {
            print_command_help(*row, std::cout);
            return operators::exit_success;
        }
    }
    std::vector<char*> remaining_arguments(argv + 1, argv + argc);
    const std::vector<char*> positional =
        absl::ParseCommandLine(static_cast<int>(remaining_arguments.size()), remaining_arguments.data());
    const std::vector<std::string> arguments(positional.begin() + 1, positional.end());
    return run_command(*row, arguments);
}

} // namespace
} // namespace guavawick

int main(int argc, char** argv)
{
    // Without a fixed threshold, glibc raises it after the first large body is freed, and later bodies stay
    // resident in the heap.
    constexpr int mapped_allocation_bytes = 256 << 10;
    mallopt(M_MMAP_THRESHOLD, mapped_allocation_bytes);
    try {
        return guavawick::run_main(argc, argv);
    }
    catch (const std::exception& error) {
        std::cerr << "guavawick: " << error.what() << "\n";
        return guavawick::operators::exit_refused;
    }
}
