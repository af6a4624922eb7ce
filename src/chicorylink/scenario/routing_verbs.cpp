#include "chicorylink/scenario/verbs.hpp"

namespace chicorylink::scenario {

void register_routing_verbs(lua_State* /*state*/) {}

} // namespace chicorylink::scenario
