#include "chicorylink/membership/view.hpp"

#include "chicorylink/membership/effects.hpp"

#include <algorithm>

namespace chicorylink::membership {

const member* find(const view& from, base::vm_id id)
{
    const auto position = std::ranges::lower_bound(from.members, id, {}, &member::id);
    if (position == from.members.end() || position->id != id) {
        return nullptr;
    }
    return &*position;
}

bool takes_work(const member& candidate)
{
    return candidate.state == member_state::live;
}

std::string_view to_string(event_kind kind)
{
    switch (kind) {
    case event_kind::member_joined:
        return "member_joined";
    case event_kind::member_suspected:
        return "member_suspected";
    case event_kind::member_recovered:
        return "member_recovered";
    case event_kind::member_leaving:
        return "member_leaving";
    case event_kind::member_gone:
        return "member_gone";
    case event_kind::woke_from_pause:
        return "woke_from_pause";
    case event_kind::membership_lapsed:
        return "membership_lapsed";
    }
    return "unknown";
}

} // namespace chicorylink::membership
