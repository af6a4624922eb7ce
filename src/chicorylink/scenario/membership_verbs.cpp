#include "chicorylink/membership/rendezvous.hpp"
#include "chicorylink/scenario/membership_process.hpp"
#include "chicorylink/scenario/verbs.hpp"

#include <algorithm>

#include <lua.hpp>

namespace chicorylink::scenario {
namespace {

std::string state_name(membership::member_state state)
{
    switch (state) {
    case membership::member_state::live:
        return "live";
    case membership::member_state::leaving:
        return "leaving";
    case membership::member_state::suspect:
        return "suspect";
    case membership::member_state::gone:
        return "gone";
    }
    return "unknown";
}

std::string proof_name(membership::gone_proof proof)
{
    switch (proof) {
    case membership::gone_proof::none:
        return "none";
    case membership::gone_proof::replaced:
        return "replaced";
    case membership::gone_proof::refused:
        return "refused";
    case membership::gone_proof::silent:
        return "silent";
    }
    return "unknown";
}

/// use_membership(): VMs made from now on run the membership protocol.
int use_membership_verb(lua_State* /*state*/, world& sim)
{
    add_membership(sim);
    return 0;
}

int list_verb(lua_State* state, world& sim)
{
    list_vm(sim, text_argument(state, 1));
    return 0;
}

int list_leaving_verb(lua_State* state, world& sim)
{
    list_vm_leaving(sim, text_argument(state, 1));
    return 0;
}

int unlist_verb(lua_State* state, world& sim)
{
    unlist_vm(sim, text_argument(state, 1));
    return 0;
}

/// freeze_list(side, honest): the side keeps getting the current list; `honest` lets its age
/// grow.
int freeze_list_verb(lua_State* state, world& sim)
{
    auto& lists = sim.state<platform_lists>();
    lists.frozen[text_argument(state, 1)] = {
        .list = lists.present, .since = sim.now(), .age_grows = boolean_argument(state, 2, true)};
    return 0;
}

int thaw_list_verb(lua_State* state, world& sim)
{
    sim.state<platform_lists>().frozen.erase(text_argument(state, 1));
    return 0;
}

/// platform_down(side): the side reaches none of the platform's services.
int platform_down_verb(lua_State* state, world& sim)
{
    sim.state<platform_lists>().unreachable_from.push_back(text_argument(state, 1));
    return 0;
}

int platform_up_verb(lua_State* state, world& sim)
{
    std::erase(sim.state<platform_lists>().unreachable_from, text_argument(state, 1));
    return 0;
}

/// member_state(vm, other): the state of other in the view of vm.
int member_state_verb(lua_State* state, world& sim)
{
    const auto snapshot = view_of(sim, text_argument(state, 1));
    const auto* other = find(snapshot, base::id_of<base::vm_id>(text_argument(state, 2)));
    return push(state, other == nullptr ? std::string("unknown") : state_name(other->state));
}

/// gone_proof(vm, other): why vm sees other as gone.
int gone_proof_verb(lua_State* state, world& sim)
{
    const auto snapshot = view_of(sim, text_argument(state, 1));
    const auto* other = find(snapshot, base::id_of<base::vm_id>(text_argument(state, 2)));
    return push(state, other == nullptr ? std::string("none") : proof_name(other->proof));
}

/// known_process(vm, other): whether the last process of other known to vm is the current one
/// ("present"), an earlier one, or none.
int known_process_verb(lua_State* state, world& sim)
{
    const auto other = base::id_of<base::vm_id>(text_argument(state, 2));
    const auto process = membership_of(sim, text_argument(state, 1)).process_of(other);
    for (auto* each : sim.vms()) {
        if (each->id == other && each->process == process) {
            return push(state, std::string("present"));
        }
    }
    return push(state, std::string(process == base::incarnation{} ? "none" : "earlier"));
}

/// may_act(vm): whether its permission to act as a member has not expired.
int may_act_verb(lua_State* state, world& sim)
{
    return push(state, sim.now() <= view_of(sim, text_argument(state, 1)).member_until);
}

int list_is_fresh_verb(lua_State* state, world& sim)
{
    return push(state, view_of(sim, text_argument(state, 1)).list_is_fresh);
}

/// leave(vm): starts its orderly leaving.
int leave_verb(lua_State* state, world& sim)
{
    leave_fleet(sim, text_argument(state, 1));
    return 0;
}

/// delegates(vm, data_center): the data center's delegates in the view of vm, best first.
int delegates_verb(lua_State* state, world& sim)
{
    const auto snapshot = view_of(sim, text_argument(state, 1));
    const auto center = base::id_of<base::data_center_id>(text_argument(state, 2));
    lua_newtable(state);
    lua_Integer index = 1;
    for (const auto id : membership::delegates_of(snapshot, center)) {
        lua_pushstring(state, membership::find(snapshot, id)->name.c_str());
        lua_rawseti(state, -2, index++);
    }
    return 1;
}

int renewals_verb(lua_State* state, world& sim)
{
    const auto& process = sim.find(text_argument(state, 1)).state<membership_process>();
    return push(state, static_cast<std::int64_t>(process.renewals));
}

/// control_bytes(vm): membership bytes that its process has sent and received.
int control_bytes_verb(lua_State* state, world& sim)
{
    const auto& process = sim.find(text_argument(state, 1)).state<membership_process>();
    return push(state, static_cast<std::int64_t>(process.sent_bytes + process.received_bytes));
}

} // namespace

void register_membership_verbs(lua_State* state)
{
    add_verb(state, "use_membership", use_membership_verb);
    add_verb(state, "list", list_verb);
    add_verb(state, "list_leaving", list_leaving_verb);
    add_verb(state, "unlist", unlist_verb);
    add_verb(state, "freeze_list", freeze_list_verb);
    add_verb(state, "thaw_list", thaw_list_verb);
    add_verb(state, "platform_down", platform_down_verb);
    add_verb(state, "platform_up", platform_up_verb);
    add_verb(state, "member_state", member_state_verb);
    add_verb(state, "gone_proof", gone_proof_verb);
    add_verb(state, "known_process", known_process_verb);
    add_verb(state, "may_act", may_act_verb);
    add_verb(state, "list_is_fresh", list_is_fresh_verb);
    add_verb(state, "leave", leave_verb);
    add_verb(state, "delegates", delegates_verb);
    add_verb(state, "renewals", renewals_verb);
    add_verb(state, "control_bytes", control_bytes_verb);
}

} // namespace chicorylink::scenario
