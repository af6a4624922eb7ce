#ifndef CHICORYLINK_PROGRAMS_LOAD_RUNNER_HPP
#define CHICORYLINK_PROGRAMS_LOAD_RUNNER_HPP

#include "plan.hpp"

namespace chicorylink::load {

class summary;

/// @brief Makes the calls of a plan in an open loop: each starts at its planned time, regardless of
/// earlier ones. Returns when all have ended.
void run(const plan& load_plan, summary& result);

} // namespace chicorylink::load

#endif // CHICORYLINK_PROGRAMS_LOAD_RUNNER_HPP
