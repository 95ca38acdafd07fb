// Writes numbered events through easylogging++.
#include "base/event_type.hpp"
#include "table/event_table.hpp"

#include <atomic>
#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace guavawick {
namespace {

std::atomic<severity> least_severity{severity::info};

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

void log_event(event what, const std::vector<event_field>& fields)
{
    const event_row& row = find_event(what);
    if (row.level < least_severity.load()) {
        return;
    }
    std::string line = "GW" + std::to_string(static_cast<unsigned>(row.number)) + " " + row.name;
    for (const event_field& field : fields) {
        line += " " + std::string(field.name) + "=" + quoted(field.value);
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

void start_logging(const std::string& file, severity least)
{
    least_severity.store(least);
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
