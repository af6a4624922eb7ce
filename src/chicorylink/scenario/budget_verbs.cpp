#include "chicorylink/scenario/verbs.hpp"

namespace chicorylink::scenario {

void register_budget_verbs(lua_State* /*state*/) {}

} // namespace chicorylink::scenario
