#include "chicorylink/base/secret.hpp"
#include "chicorylink/rules/rulebook.hpp"
#include "chicorylink/scenario/config_process.hpp"
#include "chicorylink/scenario/verbs.hpp"

#include <stdexcept>

#include <lua.hpp>

namespace chicorylink::scenario {
namespace {

base::config_version version_argument(lua_State* state, int position)
{
    return base::config_version{static_cast<std::uint64_t>(integer_argument(state, position))};
}

int push_version(lua_State* state, base::config_version version)
{
    return push(state, static_cast<std::int64_t>(version.value()));
}

/// use_config(): VMs made from now on run membership and the configuration protocol.
int use_config_verb(lua_State* /*state*/, world& sim)
{
    add_config(sim);
    return 0;
}

/// publish(version, rules)
int publish_verb(lua_State* state, world& sim)
{
    const auto bytes = publish(sim, version_argument(state, 1), text_argument(state, 2));
    return push(state, static_cast<std::int64_t>(bytes));
}

/// service_shows(version): the service shows this version; zero for the newest.
int service_shows_verb(lua_State* state, world& sim)
{
    sim.state<config_service>().served = version_argument(state, 1);
    return 0;
}

/// service_corrupt(yes): the service returns parts that don't match their digests.
int service_corrupt_verb(lua_State* state, world& sim)
{
    sim.state<config_service>().corrupt = boolean_argument(state, 1, true);
    return 0;
}

int service_calls_verb(lua_State* state, world& sim)
{
    return push(state, static_cast<std::int64_t>(sim.state<config_service>().calls));
}

/// config_version(vm): the version in force; zero when there is none.
int config_version_verb(lua_State* state, world& sim)
{
    return push_version(state, config_of(sim, text_argument(state, 1)).version());
}

/// config_ready(vm): whether the VM serves requests.
int config_ready_verb(lua_State* state, world& sim)
{
    return push(state, config_of(sim, text_argument(state, 1)).ready());
}

/// config_status(vm): a table of the status that operators see.
int config_status_verb(lua_State* state, world& sim)
{
    const auto& report = config_of(sim, text_argument(state, 1)).report();
    lua_newtable(state);
    push_version(state, report.newest_heard);
    lua_setfield(state, -2, "newest_heard");
    push_version(state, report.rejected);
    lua_setfield(state, -2, "rejected");
    push(state, report.rejection);
    lua_setfield(state, -2, "rejection");
    push(state, report.on_duty);
    lua_setfield(state, -2, "on_duty");
    push(state, report.service_reachable);
    lua_setfield(state, -2, "service_reachable");
    push(state, report.service_behind);
    lua_setfield(state, -2, "service_behind");
    push(state, static_cast<std::int64_t>(report.corrupt_contents));
    lua_setfield(state, -2, "corrupt_contents");
    return 1;
}

/// audit_entries(vm): the changes that its process has written to the audit trail.
int audit_entries_verb(lua_State* state, world& sim)
{
    const auto& process = sim.find(text_argument(state, 1)).state<config_process>();
    return push(state, static_cast<std::int64_t>(process.audit_entries));
}

/// key_works(vm, hex): whether the key with this digest is in force there.
int key_works_verb(lua_State* state, world& sim)
{
    const auto book = config_of(sim, text_argument(state, 1)).in_force();
    const auto digest = base::digest_from_hex(text_argument(state, 2));
    if (!digest) {
        throw std::runtime_error("the digest must be 64 hexadecimal characters");
    }
    return push(state, book != nullptr && book->find_key(*digest) != nullptr);
}

} // namespace

void register_config_verbs(lua_State* state)
{
    add_verb(state, "use_config", use_config_verb);
    add_verb(state, "publish", publish_verb);
    add_verb(state, "service_shows", service_shows_verb);
    add_verb(state, "service_corrupt", service_corrupt_verb);
    add_verb(state, "service_calls", service_calls_verb);
    add_verb(state, "config_version", config_version_verb);
    add_verb(state, "config_ready", config_ready_verb);
    add_verb(state, "config_status", config_status_verb);
    add_verb(state, "audit_entries", audit_entries_verb);
    add_verb(state, "key_works", key_works_verb);
}

} // namespace chicorylink::scenario
