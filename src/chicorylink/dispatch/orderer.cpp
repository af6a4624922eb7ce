#include "chicorylink/dispatch/orderer.hpp"

#include "chicorylink/rules/target.hpp"

namespace chicorylink::dispatch {

std::optional<base::vm_id> orderer_of(const rules::target& subject, const membership::view& known)
{
    std::optional<base::vm_id> best;
    std::uint64_t best_rank = 0;
    for (const auto& vm : known.members) {
        if (vm.region != subject.region || vm.state == membership::member_state::gone) {
            continue;
        }
        const auto rank = base::hash_pair(subject.id.value(), vm.id.value());
        if (!best || rank > best_rank) {
            best = vm.id;
            best_rank = rank;
        }
    }
    return best;
}

bool may_order(const rules::target& subject, const membership::view& known, base::time_point now)
{
    if (orderer_of(subject, known) != known.self) {
        return false;
    }
    return subject.checks_fencing || now < known.member_until;
}

} // namespace chicorylink::dispatch
