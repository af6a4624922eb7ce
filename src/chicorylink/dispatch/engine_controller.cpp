#include "chicorylink/dispatch/engine_controller.hpp"

#include "chicorylink/rules/target.hpp"

namespace chicorylink::dispatch {

std::optional<base::vm_id> controller_of(const rules::target& engine,
                                         const membership::view& current_view)
{
    std::optional<base::vm_id> best;
    std::uint64_t best_rank = 0;
    for (const auto& vm : current_view.members) {
        if (vm.region != engine.region || vm.state == membership::member_state::gone) {
            continue;
        }
        const auto rank = base::hash_pair(engine.id.value(), vm.id.value());
        if (!best || rank > best_rank) {
            best = vm.id;
            best_rank = rank;
        }
    }
    return best;
}

bool may_command(const rules::target& engine, const membership::view& current_view,
                 base::time_point now)
{
    if (controller_of(engine, current_view) != current_view.self) {
        return false;
    }
    return engine.checks_fencing || now < current_view.member_until;
}

} // namespace chicorylink::dispatch
