// Exceptions with a failure, and look-up in the failure catalogue.
#include "base/failure_type.hpp"
#include "table/failure_table.hpp"

namespace guavawick {

refusal_error::refusal_error(failure failure_kind, const std::string& detail)
    : error(detail), kind(failure_kind), ran(find_failure(failure_kind).ran)
{
}

refusal_error::refusal_error(failure failure_kind, const std::string& detail, ran_state call_ran)
    : error(detail), kind(failure_kind), ran(call_ran)
{
}

refusal_error::refusal_error(failure failure_kind, const std::string& detail, std::uint32_t retry_delay_ms)
    : error(detail), kind(failure_kind), ran(find_failure(failure_kind).ran), retry_after_ms(retry_delay_ms)
{
}

const failure_row& find_failure(failure kind) noexcept
{
    for (const failure_row& row : failure_table) {
        if (row.kind == kind) {
            return row;
        }
    }
    return failure_table[1];
}

failure to_failure(std::uint32_t number) noexcept
{
    return find_failure(static_cast<failure>(number)).kind;
}

const char* to_string(ran_state ran) noexcept
{
    switch (ran) {
    case ran_state::no:
        return "no";
    case ran_state::yes:
        return "yes";
    case ran_state::unknown:
        break;
    }
    return "unknown";
}

} // namespace guavawick
