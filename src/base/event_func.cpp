// Writes numbered events through easylogging++.
#include "base/event_type.hpp"
#include "base/line_budget.hpp"
#include "table/event_table.hpp"

#include <atomic>
#include <easylogging++.h>
#include <map>
#include <mutex>
#include <poll.h>
#include <unistd.h>

INITIALIZE_EASYLOGGINGPP

namespace guavawick {
namespace {

std::atomic<severity> least_severity{severity::info};
std::atomic<bool> to_standard_output{false};
std::atomic<std::uint64_t> lines_unread{0}; ///< left out because nobody read; not told yet
std::atomic<std::uint64_t> lines_lost{0};   ///< left out for any reason and told
std::mutex budget_mutex;                    ///< guards the budget; a leaf in the lock order
log_rate_limiter budget;
constexpr std::size_t longest_line = 3900; ///< with its time below what a pipe takes whole (PIPE_BUF)

/// A pipe that is ready takes PIPE_BUF bytes without blocking, a file any number.
bool can_write_now()
{
    pollfd out{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&out, 1, 0) == 1 && (out.revents & POLLOUT) != 0;
}

/// Lines of calls that go well; there is one of each for nearly every call.
bool is_routine(event what)
{
    switch (what) {
    case event::call_opened:
    case event::call_answered:
    case event::attempt_sent:
    case event::turn_opened:
    case event::turn_closed:
        return true;
    default:
        return false;
    }
}

const event_row& find_event(event what)
{
    for (const event_row& row : event_table) {
        if (row.number == what) {
            return row;
        }
    }
    return event_table.front();
}

std::string quoted(const std::string& text)
{
    if (!text.empty() && text.find_first_of(" \"\\\n\r\t=") == std::string::npos) {
        return text;
    }
    std::string result = "\"";
    for (const char c : text) {
        if (c == '"' || c == '\\') {
            result.push_back('\\');
        }
        result.push_back(static_cast<unsigned char>(c) < ' ' ? ' ' : c);
    }
    result.push_back('"');
    return result;
}

} // namespace

namespace {

/// Writes one line, or counts it as left out where the reader of standard output does not keep up.
void write_line(const event_row& row, const std::vector<event_field>& fields)
{
    if (to_standard_output.load() && !can_write_now()) {
        lines_unread.fetch_add(1);
        return;
    }
    std::string line = "GW" + std::to_string(static_cast<unsigned>(row.number)) + " " + row.name;
    for (const event_field& field : fields) {
        line += " " + std::string(field.name) + "=" + quoted(field.value);
    }
    if (line.size() > longest_line) {
        line.resize(longest_line);
    }
    switch (row.level) {
    case severity::warning:
        LOG(WARNING) << line;
        return;
    case severity::error:
        LOG(ERROR) << line;
        return;
    default:
        LOG(INFO) << line;
        return;
    }
}

/// Tells what was left out since it was last told.
void tell_left_out(const std::map<event, std::uint64_t>& left_out)
{
    const event_row& row = find_event(event::lines_left_out);
    for (const auto& [what, count] : left_out) {
        write_line(row,
                   {{"event", find_event(what).name}, {"lines", count}, {"reason", "too many in a second"}});
    }
    if (const std::uint64_t unread = lines_unread.exchange(0); unread > 0) {
        lines_lost.fetch_add(unread);
        write_line(row, {{"event", "any"}, {"lines", unread}, {"reason", "standard output was not read"}});
    }
}

} // namespace

void log_event(event what, const std::vector<event_field>& fields)
{
    const event_row& row = find_event(what);
    if (row.level < least_severity.load()) {
        return;
    }
    bool written = false;
    std::map<event, std::uint64_t> left_out;
    {
        const std::lock_guard lock(budget_mutex);
        const time_point now = runtime_clock::now();
        left_out = take_dropped_lines(budget, now);
        written = allow_line(budget, what, is_routine(what), now);
    }
    for (const auto& [event, count] : left_out) {
        lines_lost.fetch_add(count);
    }
    if (!left_out.empty() || lines_unread.load() > 0) {
        tell_left_out(left_out);
    }
    if (written) {
        write_line(row, fields);
    }
}

std::uint64_t count_dropped_lines()
{
    return lines_lost.load() + lines_unread.load();
}

void configure_logging(const std::string& file, severity least)
{
    least_severity.store(least);
    to_standard_output.store(file.empty());
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%datetime{%Y-%M-%dT%H:%m:%s.%g} %level %msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, file.empty() ? "false" : "true");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, file.empty() ? "true" : "false");
    if (!file.empty()) {
        configuration.setGlobally(el::ConfigurationType::Filename, file);
    }
    el::Loggers::reconfigureAllLoggers(configuration);
}

} // namespace guavawick
