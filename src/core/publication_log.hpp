// When a control replica applied its newest revisions, to tell for how long a gateway has lacked one. Plain
// data and pure functions.
#pragma once

#include "base/clock_type.hpp"

#include <cstdint>
#include <deque>

namespace guavawick::core {

constexpr std::size_t max_logged_revisions = 256;

/// A revision of the control group's state.
struct applied_revision {
    std::uint64_t revision = 0;
    time_point applied_at{}; ///< at this replica
};

/// The newest revisions, oldest first.
struct publication_log {
    std::deque<applied_revision> revisions;
};

/// Records a revision. @pre it is above all recorded ones, unless a snapshot replaced the state.
void record_publication(publication_log& log, std::uint64_t revision, time_point now);

/// @return the time since the first revision above `revision` was applied; 0 if none is recorded.
duration time_behind(const publication_log& log, std::uint64_t revision, time_point now);

} // namespace guavawick::core
