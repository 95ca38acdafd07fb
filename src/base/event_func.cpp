// Writes numbered events with easylogging++.
#include "base/event_type.hpp"
#include "base/line_budget.hpp"
#include "base/text_func.hpp"
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

std::atomic<severity> min_severity{severity::info};
std::atomic<bool> writes_to_stdout{false};
/// Lines dropped because standard output would have blocked, not reported yet.
std::atomic<std::uint64_t> unreported_blocked_lines{0};
std::atomic<std::uint64_t> reported_dropped_lines{0}; ///< dropped for any reason and reported
std::mutex limiter_mutex;                             ///< guards the limiter; a leaf in the lock order
log_rate_limiter limiter;
/// With its timestamp a line stays below PIPE_BUF, so that a pipe takes it as a whole.
constexpr std::size_t max_line_bytes = 3900;

/// @return whether standard output accepts a line without blocking: a pipe that polls as writable takes
/// PIPE_BUF bytes, a file any number.
bool can_write_now()
{
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    return ::poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

/// @return whether an event belongs to a successful call; nearly every call writes one line of each.
bool is_routine(event kind)
{
    switch (kind) {
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

const event_row& find_event(event kind)
{
    for (const event_row& row : event_table) {
        if (row.number == kind) {
            return row;
        }
    }
    return event_table.front();
}

std::string quote_if_needed(const std::string& text)
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

/// Writes one line, or drops and counts it if standard output would block.
void write_line(const event_row& row, const std::vector<event_field>& fields)
{
    if (writes_to_stdout.load() && !can_write_now()) {
        unreported_blocked_lines.fetch_add(1);
        return;
    }
    std::string line = "GW" + std::to_string(static_cast<unsigned>(row.number)) + " " + row.name;
    for (const event_field& field : fields) {
        line += " " + std::string(field.name) + "=" + quote_if_needed(field.value);
    }
    if (!is_utf8(line)) { // readers of the log demand valid text
        line = escape_invalid_utf8(line);
    }
    line.resize(truncate_utf8(line, max_line_bytes).size());
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

/// Logs how many lines were dropped since the last report.
void report_dropped_lines(const std::map<event, std::uint64_t>& dropped)
{
    const event_row& row = find_event(event::lines_left_out);
    for (const auto& [kind, count] : dropped) {
        write_line(row,
                   {{"event", find_event(kind).name}, {"lines", count}, {"reason", "too many in a second"}});
    }
    if (const std::uint64_t blocked = unreported_blocked_lines.exchange(0); blocked > 0) {
        reported_dropped_lines.fetch_add(blocked);
        write_line(row, {{"event", "any"}, {"lines", blocked}, {"reason", "standard output was not read"}});
    }
}

} // namespace

void log_event(event kind, const std::vector<event_field>& fields)
{
    const event_row& row = find_event(kind);
    if (row.level < min_severity.load()) {
        return;
    }
    bool allowed = false;
    std::map<event, std::uint64_t> dropped;
    {
        const std::lock_guard lock(limiter_mutex);
        const time_point now = runtime_clock::now();
        dropped = take_dropped_lines(limiter, now);
        allowed = allow_line(limiter, kind, is_routine(kind), now);
    }
    for (const auto& [event, count] : dropped) {
        reported_dropped_lines.fetch_add(count);
    }
    if (!dropped.empty() || unreported_blocked_lines.load() > 0) {
        report_dropped_lines(dropped);
    }
    if (allowed) {
        write_line(row, fields);
    }
}

std::uint64_t count_dropped_lines()
{
    return reported_dropped_lines.load() + unreported_blocked_lines.load();
}

void configure_logging(const std::string& file, severity threshold)
{
    min_severity.store(threshold);
    writes_to_stdout.store(file.empty());
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
