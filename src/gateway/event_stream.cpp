// Splits a stream of server-sent events into complete events.
#include "gateway/event_stream.hpp"

#include <algorithm>
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

void read_line(std::string_view line, stream_event& result, bool& has_data)
{
    if (line.starts_with("id:")) {
        const std::string_view text = strip_field(line, "id:");
        std::uint64_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error == std::errc{} && end == text.data() + text.size()) {
            result.id = number;
        }
    }
    else if (line.starts_with("data:")) {
        if (has_data) {
            result.data.push_back('\n');
        }
        result.data += strip_field(line, "data:");
        has_data = true;
    }
}

stream_event read_event(std::string bytes)
{
    stream_event result;
    bool has_data = false;
    std::size_t position = 0;
    while (position < bytes.size()) {
        const std::size_t end = std::min(bytes.find('\n', position), bytes.size());
        std::string_view line(bytes.data() + position, end - position);
        if (!line.empty() && line.back() == '\r') {
            line.remove_suffix(1);
        }
        read_line(line, result, has_data);
        position = end + 1;
    }
    result.bytes = std::move(bytes);
    return result;
}

constexpr std::size_t max_separator_bytes = 3; ///< from the last line feed of an event to its end

/// @param searched bytes at the beginning in which no event ends.
/// @return the length of the first complete event, 0 if there is none.
std::size_t find_event_end(const std::string& bytes, std::size_t searched)
{
    const std::size_t begin = searched - std::min(searched, max_separator_bytes - 1);
    const std::size_t line_feeds = bytes.find("\n\n", begin);
    const std::size_t carriage_returns = bytes.find("\n\r\n", begin);
    if (line_feeds == std::string::npos && carriage_returns == std::string::npos) {
        return 0;
    }
    if (carriage_returns == std::string::npos || line_feeds < carriage_returns) {
        return line_feeds + 2;
    }
    return carriage_returns + max_separator_bytes;
}

} // namespace

bool is_inside_event(const event_splitter& splitter)
{
    const std::string_view pending = splitter.pending;
    std::size_t position = 0;
    while (position < pending.size()) {
        const std::size_t end = std::min(pending.find_first_of("\r\n", position), pending.size());
        const std::string_view line = pending.substr(position, end - position);
        if (!line.empty() && line.front() != ':') {
            return true;
        }
        position = end + 1;
    }
    return splitter.overflowed;
}

std::vector<stream_event> split_events(event_splitter& splitter, const std::string& bytes)
{
    splitter.pending += bytes;
    std::vector<stream_event> events;
    while (const std::size_t length = find_event_end(splitter.pending, splitter.searched)) {
        events.push_back(read_event(splitter.pending.substr(0, length)));
        splitter.pending.erase(0, length);
        splitter.searched = 0;
    }
    if (splitter.pending.size() > max_event_bytes) {
        splitter.overflowed = true;
        splitter.pending.clear();
    }
    splitter.searched = splitter.pending.size();
    return events;
}

} // namespace guavawick::gateway
