#ifndef CHICORYLINK_FRONT_CONNECTION_COUNTS_HPP
#define CHICORYLINK_FRONT_CONNECTION_COUNTS_HPP

#include "chicorylink/front/connection_end.hpp"
#include "chicorylink/front/connection_side.hpp"
#include "chicorylink/front/connection_use.hpp"

namespace chicorylink::base {
class log_line;
class metrics;
} // namespace chicorylink::base

namespace chicorylink::front {

/// @brief Counts a connection that was accepted; each is counted once more when it ends.
void count_accepted(base::metrics& counters, connection_side side);

/// @brief Counts a connection that has ended.
/// @param use What it was used for until then.
void count_ended(base::metrics& counters, connection_side side, connection_end end,
                 connection_use use);

/// @brief Adds to a log line how many connections were accepted, how many ended by each cause, and
/// how many of them this VM closed without an answer to bytes that had arrived.
void add_connection_counts(base::log_line& line, const base::metrics& counters,
                           connection_side side);

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_CONNECTION_COUNTS_HPP
