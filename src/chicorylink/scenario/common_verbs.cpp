#include "chicorylink/scenario/verbs.hpp"
#include "chicorylink/scenario/world.hpp"

#include <stdexcept>

#include <fmt/format.h>
#include <lua.hpp>

namespace chicorylink::scenario {
namespace {

base::milliseconds duration_argument(lua_State* state, int position)
{
    return base::milliseconds{integer_argument(state, position)};
}

int seed_verb(lua_State* state, world& sim)
{
    const auto value = integer_argument(state, 1);
    sim.seed(static_cast<std::uint64_t>(value));
    fmt::print("seed {}\n", value);
    return 0;
}

/// random(n): an integer from 1 to n.
int random_verb(lua_State* state, world& sim)
{
    const auto bound = integer_argument(state, 1);
    if (bound < 1) {
        throw std::runtime_error("the bound must be at least 1");
    }
    return push(state, static_cast<std::int64_t>(sim.random()() % bound) + 1);
}

int now_verb(lua_State* state, world& sim)
{
    return push(state, static_cast<std::int64_t>(sim.elapsed().count()));
}

int tick_every_verb(lua_State* state, world& sim)
{
    sim.set_tick(duration_argument(state, 1));
    return 0;
}

int advance_verb(lua_State* state, world& sim)
{
    sim.advance(duration_argument(state, 1));
    return 0;
}

int run_verb(lua_State* state, world& sim)
{
    sim.run(duration_argument(state, 1));
    return 0;
}

/// vm(name, {region =, data_center =, address =})
int vm_verb(lua_State* state, world& sim)
{
    const auto name = text_argument(state, 1);
    const auto region = text_field(state, 2, "region", "r1");
    const auto data_center = text_field(state, 2, "data_center", region + "-1");
    sim.add_vm(name, region, data_center, text_field(state, 2, "address", {}));
    return push(state, name);
}

int incarnation_verb(lua_State* state, world& sim)
{
    return push(state, fmt::format("{:016x}", sim.find(text_argument(state, 1)).process.value()));
}

int pause_verb(lua_State* state, world& sim)
{
    sim.pause(text_argument(state, 1));
    return 0;
}

int resume_verb(lua_State* state, world& sim)
{
    sim.resume(text_argument(state, 1));
    return 0;
}

int stop_verb(lua_State* state, world& sim)
{
    sim.stop(text_argument(state, 1));
    return 0;
}

int restart_verb(lua_State* state, world& sim)
{
    sim.restart(text_argument(state, 1));
    return 0;
}

int partition_verb(lua_State* state, world& sim)
{
    sim.partition(text_argument(state, 1), text_argument(state, 2));
    return 0;
}

/// heal(a, b), or heal() for all.
int heal_verb(lua_State* state, world& sim)
{
    if (lua_isnoneornil(state, 1)) {
        sim.heal_all();
        return 0;
    }
    sim.heal(text_argument(state, 1), text_argument(state, 2));
    return 0;
}

int deliver_verb(lua_State* state, world& sim)
{
    return push(state, static_cast<std::int64_t>(sim.deliver(filter_argument(state, 1))));
}

int drop_verb(lua_State* state, world& sim)
{
    return push(state, static_cast<std::int64_t>(sim.drop(filter_argument(state, 1))));
}

int duplicate_verb(lua_State* state, world& sim)
{
    return push(state, static_cast<std::int64_t>(sim.duplicate(filter_argument(state, 1))));
}

int reorder_verb(lua_State* /*state*/, world& sim)
{
    sim.reorder();
    return 0;
}

/// in_flight(filter): a list of {number =, from =, to =, kind =, bytes =}.
int in_flight_verb(lua_State* state, world& sim)
{
    const auto filter = filter_argument(state, 1);
    lua_newtable(state);
    lua_Integer index = 1;
    for (const auto& message : sim.in_flight()) {
        if (!matches(filter, message)) {
            continue;
        }
        lua_newtable(state);
        lua_pushinteger(state, static_cast<lua_Integer>(message.number));
        lua_setfield(state, -2, "number");
        lua_pushstring(state, message.from.c_str());
        lua_setfield(state, -2, "from");
        lua_pushstring(state, message.to.c_str());
        lua_setfield(state, -2, "to");
        lua_pushstring(state, message.kind.c_str());
        lua_setfield(state, -2, "kind");
        lua_pushinteger(state, static_cast<lua_Integer>(message.size_bytes));
        lua_setfield(state, -2, "bytes");
        lua_rawseti(state, -2, index++);
    }
    return 1;
}

void count_check(lua_State* state)
{
    lua_getfield(state, LUA_REGISTRYINDEX, "chicorylink.checks");
    const auto count = lua_tointeger(state, -1);
    lua_pop(state, 1);
    lua_pushinteger(state, count + 1);
    lua_setfield(state, LUA_REGISTRYINDEX, "chicorylink.checks");
}

/// check(condition, text)
int check_verb(lua_State* state, world& sim)
{
    count_check(state);
    if (lua_toboolean(state, 1) != 0) {
        return 0;
    }
    throw std::runtime_error(
        fmt::format("check failed at {} ms: {}", sim.elapsed().count(), text_argument(state, 2)));
}

/// check_equal(actual, expected, text)
int check_equal_verb(lua_State* state, world& sim)
{
    count_check(state);
    if (lua_compare(state, 1, 2, LUA_OPEQ) != 0) {
        return 0;
    }
    const std::string actual = luaL_tolstring(state, 1, nullptr);
    const std::string expected = luaL_tolstring(state, 2, nullptr);
    throw std::runtime_error(fmt::format("check failed at {} ms: {}: {} is not {}",
                                         sim.elapsed().count(), text_argument(state, 3), actual,
                                         expected));
}

} // namespace

void register_common_verbs(lua_State* state)
{
    add_verb(state, "seed", seed_verb);
    add_verb(state, "random", random_verb);
    add_verb(state, "now", now_verb);
    add_verb(state, "tick_every", tick_every_verb);
    add_verb(state, "advance", advance_verb);
    add_verb(state, "run", run_verb);
    add_verb(state, "vm", vm_verb);
    add_verb(state, "incarnation", incarnation_verb);
    add_verb(state, "pause", pause_verb);
    add_verb(state, "resume", resume_verb);
    add_verb(state, "stop", stop_verb);
    add_verb(state, "restart", restart_verb);
    add_verb(state, "part", partition_verb);
    add_verb(state, "heal", heal_verb);
    add_verb(state, "deliver", deliver_verb);
    add_verb(state, "drop", drop_verb);
    add_verb(state, "duplicate", duplicate_verb);
    add_verb(state, "reorder", reorder_verb);
    add_verb(state, "in_flight", in_flight_verb);
    add_verb(state, "check", check_verb);
    add_verb(state, "check_equal", check_equal_verb);
}

} // namespace chicorylink::scenario
