// Splits a stream of server-sent events into whole events.
#include "gateway/event_stream.hpp"

#include <charconv>

namespace guavawick::gateway {
namespace {

std::string_view strip_field(std::string_view line, std::string_view name)
{
    line.remove_prefix(name.size());
    if (!line.empty() && line.front() == ' ') {
        line.remove_prefix(1);
    }
    return line;
}

void read_line(std::string_view line, stream_event& into, bool& has_data)
{
    if (line.starts_with("id:")) {
        const std::string_view text = strip_field(line, "id:");
        std::uint64_t number = 0;
        const auto [end, wrong] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (wrong == std::errc{} && end == text.data() + text.size()) {
            into.id = number;
        }
    }
    else if (line.starts_with("data:")) {
        if (has_data) {
            into.data.push_back('\n');
        }
        into.data += strip_field(line, "data:");
        has_data = true;
    }
}

stream_event read_event(std::string bytes)
{
    stream_event made;
    bool has_data = false;
    std::size_t at = 0;
    while (at < bytes.size()) {
        const std::size_t end = std::min(bytes.find('\n', at), bytes.size());
        std::string_view line(bytes.data() + at, end - at);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        read_line(line, made, has_data);
        at = end + 1;
    }
    made.bytes = std::move(bytes);
    return made;
}

/// @return the length of the first whole event, 0 if there is none.
std::size_t find_end(const std::string& bytes)
{
    const std::size_t plain = bytes.find("\n\n");
    const std::size_t returns = bytes.find("\r\n\r\n");
    if (plain == std::string::npos && returns == std::string::npos) {
        return 0;
    }
    if (returns == std::string::npos || plain < returns) {
        return plain + 2;
    }
    return returns + 4;
}

} // namespace

std::vector<stream_event> split_events(event_splitter& splitter, const std::string& bytes)
{
    splitter.pending += bytes;
    std::vector<stream_event> made;
    while (const std::size_t length = find_end(splitter.pending)) {
        made.push_back(read_event(splitter.pending.substr(0, length)));
        splitter.pending.erase(0, length);
    }
    return made;
}

} // namespace guavawick::gateway
