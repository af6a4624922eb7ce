#ifndef CHICORYLINK_SCENARIO_LUA_STATE_HPP
#define CHICORYLINK_SCENARIO_LUA_STATE_HPP

#include <memory>

struct lua_State;

namespace chicorylink::scenario {

/// @brief Owns one Lua interpreter with the standard libraries opened.
class lua_state {
public:
    lua_state();

    [[nodiscard]] lua_State* get() const { return m_state.get(); }

private:
    struct deleter {
        void operator()(lua_State* state) const;
    };

    std::unique_ptr<lua_State, deleter> m_state;
};

} // namespace chicorylink::scenario

#endif // CHICORYLINK_SCENARIO_LUA_STATE_HPP
