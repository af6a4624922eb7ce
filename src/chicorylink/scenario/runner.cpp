#include "chicorylink/scenario/runner.hpp"

#include "chicorylink/scenario/lua_state.hpp"
#include "chicorylink/scenario/verbs.hpp"
#include "chicorylink/scenario/world.hpp"

#include <fstream>
#include <sstream>

#include <lua.hpp>

namespace chicorylink::scenario {
namespace {

void register_all_verbs(lua_State* state)
{
    register_common_verbs(state);
    register_membership_verbs(state);
    register_config_verbs(state);
    register_budget_verbs(state);
    register_dispatch_verbs(state);
    register_routing_verbs(state);
}

std::uint64_t count_checks(lua_State* state)
{
    lua_getfield(state, LUA_REGISTRYINDEX, "chicorylink.checks");
    return static_cast<std::uint64_t>(lua_tointeger(state, -1));
}

} // namespace

outcome run_text(const std::string& text, const std::string& name)
{
    const lua_state interpreter;
    world sim;
    auto* state = interpreter.get();
    *static_cast<world**>(lua_getextraspace(state)) = &sim;
    register_all_verbs(state);
    const auto chunk_name = "@" + name;
    const bool failed =
        luaL_loadbuffer(state, text.data(), text.size(), chunk_name.c_str()) != LUA_OK ||
        lua_pcall(state, 0, 0, 0) != LUA_OK;
    if (failed) {
        const char* message = lua_tostring(state, -1);
        return {.message = message == nullptr ? name + ": unknown error" : message};
    }
    const auto checks = count_checks(state);
    if (checks == 0) {
        return {.message = name + ": no check was reached; state what must hold with check()"};
    }
    return {.passed = true, .checks = checks};
}

outcome run_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        return {.message = path + ": the file can't be read; give the path of a scenario"};
    }
    std::ostringstream text;
    text << file.rdbuf();
    return run_text(text.str(), path);
}

} // namespace chicorylink::scenario
