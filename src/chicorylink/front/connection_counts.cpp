#include "chicorylink/front/connection_counts.hpp"

#include "chicorylink/base/log_line.hpp"
#include "chicorylink/base/metrics.hpp"

#include <cstdint>
#include <string>

#include <fmt/format.h>

namespace chicorylink::front {
namespace {

std::string accepted_name(connection_side side)
{
    return fmt::format("connections_accepted_total{{from=\"{}\"}}", to_string(side));
}

std::string ended_name(connection_side side, connection_end end, connection_use use)
{
    return fmt::format("connections_ended_total{{from=\"{}\",end=\"{}\",use=\"{}\"}}",
                       to_string(side), to_string(end), to_string(use));
}

/// Whether this VM dropped what had arrived. A response that was cut short is no silence, and a
/// last response has answered the request before it.
bool is_unanswered(connection_end end, connection_use use)
{
    const bool is_dropped = end != connection_end::remote && end != connection_end::cut &&
                            end != connection_end::last_response;
    return is_dropped && (use == connection_use::arriving || use == connection_use::serving);
}

} // namespace

void count_accepted(base::metrics& counters, connection_side side)
{
    counters.add(accepted_name(side));
}

void count_ended(base::metrics& counters, connection_side side, connection_end end,
                 connection_use use)
{
    counters.add(ended_name(side, end, use));
}

void add_connection_counts(base::log_line& line, const base::metrics& counters,
                           connection_side side)
{
    line.add("accepted", counters.counter(accepted_name(side)));
    std::uint64_t unanswered = 0;
    for (const auto end : all_connection_ends) {
        std::uint64_t ended = 0;
        for (const auto use : all_connection_uses) {
            const auto count = counters.counter(ended_name(side, end, use));
            ended += count;
            unanswered += is_unanswered(end, use) ? count : 0;
        }
        line.add(fmt::format("ended_{}", to_string(end)), ended);
    }
    line.add("unanswered", unanswered);
}

} // namespace chicorylink::front
