#ifndef CHICORYLINK_PROGRAMS_LOAD_RUNNER_HPP
#define CHICORYLINK_PROGRAMS_LOAD_RUNNER_HPP

#include "plan.hpp"

namespace chicorylink::load {

class summary;

/// @brief Makes the calls of a plan in an open loop: each starts at its time, whatever became of
/// the earlier ones. Ends when all have ended.
void run(const plan& wanted, summary& result);

} // namespace chicorylink::load

#endif // CHICORYLINK_PROGRAMS_LOAD_RUNNER_HPP
