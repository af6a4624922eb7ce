#ifndef CHICORYLINK_SCENARIO_VERBS_HPP
#define CHICORYLINK_SCENARIO_VERBS_HPP

#include "chicorylink/scenario/envelope.hpp"

#include <cstdint>
#include <string>

struct lua_State;

namespace chicorylink::scenario {

class world;

/// @brief A function that scripts call: reads its arguments from the stack, pushes its results
/// and returns their number. It reports errors by throwing `std::runtime_error`, never by
/// `lua_error` or `luaL_check...`, which would skip destructors.
using verb = int (*)(lua_State*, world&);

/// @brief Makes a verb callable from scripts under a name.
void add_verb(lua_State* state, const char* name, verb function);

/// @brief The world of the script that an interpreter runs.
[[nodiscard]] world& world_of(lua_State* state);

/// Arguments by position, counted from 1. All throw when the value is of another type.
[[nodiscard]] std::string text_argument(lua_State* state, int position);
[[nodiscard]] std::int64_t integer_argument(lua_State* state, int position);
[[nodiscard]] std::int64_t integer_argument(lua_State* state, int position, std::int64_t fallback);
[[nodiscard]] bool boolean_argument(lua_State* state, int position, bool fallback);

/// Fields of a table argument; the fallback stands for an absent field or table.
[[nodiscard]] std::string text_field(lua_State* state, int position, const char* name,
                                     const std::string& fallback);
[[nodiscard]] std::int64_t integer_field(lua_State* state, int position, const char* name,
                                         std::int64_t fallback);

/// @brief A filter of messages: nothing, a number, or a table with `from`, `to`, `kind`.
[[nodiscard]] envelope_filter filter_argument(lua_State* state, int position);

/// Push one result.
int push(lua_State* state, const std::string& value);
int push(lua_State* state, std::int64_t value);
int push(lua_State* state, bool value);

/// @brief Verbs of the clock, the VMs, the messages in flight, and `check`.
void register_common_verbs(lua_State* state);

/// One function for each module, in src/chicorylink/scenario/<module>_verbs.cpp.
void register_membership_verbs(lua_State* state);
void register_config_verbs(lua_State* state);
void register_budget_verbs(lua_State* state);
void register_dispatch_verbs(lua_State* state);
void register_routing_verbs(lua_State* state);

} // namespace chicorylink::scenario

#endif // CHICORYLINK_SCENARIO_VERBS_HPP
