#include "chicorylink/scenario/lua_state.hpp"

#include <new>

#include <lua.hpp>

namespace chicorylink::scenario {

lua_state::lua_state() : m_state(luaL_newstate())
{
    if (!m_state) {
        throw std::bad_alloc();
    }
    luaL_openlibs(m_state.get());
}

void lua_state::deleter::operator()(lua_State* state) const
{
    lua_close(state);
}

} // namespace chicorylink::scenario
