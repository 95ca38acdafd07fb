// Instances that said in their answers that they leave. Pure.
//
// A mark belongs to an incarnation and outlives whatever is announced about it later: an incarnation that
// leaves never serves again.
#pragma once

#include "directory/directory_type.hpp"

namespace guavawick::directory {

/// Start of the incarnation that leaves, by instance.
using leaving_marks = std::map<instance_id, std::uint64_t>;

/// Marks an incarnation. @return whether it was not yet marked.
inline bool mark_leaving(leaving_marks& marks, const instance_id& id, std::uint64_t started_ms)
{
    const auto [mark, inserted] = marks.try_emplace(id, started_ms);
    if (inserted) {
        return true;
    }
    if (mark->second >= started_ms) {
        return false;
    }
    mark->second = started_ms;
    return true;
}

/// @return whether the incarnation in a record leaves.
inline bool is_leaving(const leaving_marks& marks, const instance_record& record)
{
    const auto mark = marks.find(record.id);
    return mark != marks.end() && record.started_ms <= mark->second;
}

/// Removes the marks of instances that the directory has forgotten or that a later incarnation replaced, so
/// that there are at most as many marks as known instances.
inline void remove_obsolete(leaving_marks& marks, const directory& known)
{
    std::erase_if(marks, [&known](const auto& mark) {
        const auto record = known.instances.find(mark.first);
        return record == known.instances.end() || record->second.started_ms > mark.second;
    });
}

} // namespace guavawick::directory
