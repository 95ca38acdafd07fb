// When a control replica applied its newest revisions.
#include "core/publication_log.hpp"

#include <algorithm>

namespace guavawick::core {

void record_publication(publication_log& log, std::uint64_t revision, time_point now)
{
    log.revisions.push_back({revision, now});
    if (log.revisions.size() > max_logged_revisions) {
        log.revisions.pop_front();
    }
}

duration time_behind(const publication_log& log, std::uint64_t revision, time_point now)
{
    const auto first =
        std::find_if(log.revisions.begin(), log.revisions.end(),
                     [revision](const applied_revision& entry) { return entry.revision > revision; });
    return first == log.revisions.end() ? duration{} : now - first->applied_at;
}

} // namespace guavawick::core
