// Urgency of calls.
#include "queueing/urgency_func.hpp"

#include <algorithm>

namespace guavawick::queueing {

urgency_class classify(const urgency_inputs& inputs)
{
    if (inputs.finish_in && *inputs.finish_in < inputs.least_turn_time) {
        return urgency_class::late;
    }
    return inputs.starts_program ? urgency_class::first : urgency_class::running;
}

std::uint32_t engine_priority(const urgency_inputs& inputs)
{
    static_assert((static_cast<std::uint32_t>(urgency_class::late) + 1) * levels_per_class - 1 <=
                  max_engine_priority);
    const std::uint32_t level = std::min(inputs.priority, levels_per_class - 1);
    return static_cast<std::uint32_t>(classify(inputs)) * levels_per_class + level;
}

} // namespace guavawick::queueing
