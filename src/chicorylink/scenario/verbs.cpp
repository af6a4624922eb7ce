#include "chicorylink/scenario/verbs.hpp"

#include "chicorylink/scenario/world.hpp"

#include <cstring>
#include <stdexcept>

#include <fmt/format.h>
#include <lua.hpp>

namespace chicorylink::scenario {
namespace {

/// Size of the buffer that keeps an error text while C++ objects are destroyed, in bytes.
constexpr std::size_t message_capacity = 512;

/// Runs a verb and copies the text of its exception, so that no C++ object is alive when
/// `lua_error` jumps.
int call_guarded(lua_State* state, char* message)
{
    try {
        verb function = nullptr;
        std::memcpy(&function, lua_touserdata(state, lua_upvalueindex(1)), sizeof function);
        return function(state, world_of(state));
    }
    catch (const std::exception& failure) {
        std::strncpy(message, failure.what(), message_capacity - 1);
        return -1;
    }
}

int trampoline(lua_State* state)
{
    char message[message_capacity] = {};
    const int results = call_guarded(state, message);
    if (results >= 0) {
        return results;
    }
    return luaL_error(state, "%s", message);
}

[[noreturn]] void wrong_argument(lua_State* state, int position, const char* expected)
{
    throw std::runtime_error(fmt::format("argument {} must be {}, not {}", position, expected,
                                         luaL_typename(state, position)));
}

} // namespace

void add_verb(lua_State* state, const char* name, verb function)
{
    void* storage = lua_newuserdatauv(state, sizeof function, 0);
    std::memcpy(storage, &function, sizeof function);
    lua_pushcclosure(state, trampoline, 1);
    lua_setglobal(state, name);
}

world& world_of(lua_State* state)
{
    return **static_cast<world**>(lua_getextraspace(state));
}

std::string text_argument(lua_State* state, int position)
{
    if (lua_type(state, position) != LUA_TSTRING) {
        wrong_argument(state, position, "a string");
    }
    return lua_tostring(state, position);
}

std::int64_t integer_argument(lua_State* state, int position)
{
    if (lua_isinteger(state, position) == 0) {
        wrong_argument(state, position, "an integer");
    }
    return lua_tointeger(state, position);
}

std::int64_t integer_argument(lua_State* state, int position, std::int64_t fallback)
{
    return lua_isnoneornil(state, position) ? fallback : integer_argument(state, position);
}

bool boolean_argument(lua_State* state, int position, bool fallback)
{
    return lua_isnoneornil(state, position) ? fallback : lua_toboolean(state, position) != 0;
}

std::string text_field(lua_State* state, int position, const char* name,
                       const std::string& fallback)
{
    if (!lua_istable(state, position)) {
        return fallback;
    }
    lua_getfield(state, position, name);
    std::string value = lua_isnil(state, -1) ? fallback : text_argument(state, lua_gettop(state));
    lua_pop(state, 1);
    return value;
}

std::int64_t integer_field(lua_State* state, int position, const char* name, std::int64_t fallback)
{
    if (!lua_istable(state, position)) {
        return fallback;
    }
    lua_getfield(state, position, name);
    const auto value = integer_argument(state, lua_gettop(state), fallback);
    lua_pop(state, 1);
    return value;
}

envelope_filter filter_argument(lua_State* state, int position)
{
    if (lua_isnoneornil(state, position)) {
        return {};
    }
    if (lua_isinteger(state, position) != 0) {
        return {.number = static_cast<std::uint64_t>(lua_tointeger(state, position))};
    }
    return {.from = text_field(state, position, "from", {}),
            .to = text_field(state, position, "to", {}),
            .kind = text_field(state, position, "kind", {})};
}

int push(lua_State* state, const std::string& value)
{
    lua_pushlstring(state, value.data(), value.size());
    return 1;
}

int push(lua_State* state, std::int64_t value)
{
    lua_pushinteger(state, value);
    return 1;
}

int push(lua_State* state, bool value)
{
    lua_pushboolean(state, value ? 1 : 0);
    return 1;
}

} // namespace chicorylink::scenario
