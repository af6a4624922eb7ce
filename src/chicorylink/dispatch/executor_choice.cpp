#include "chicorylink/dispatch/executor_choice.hpp"

#include <algorithm>
#include <tuple>

namespace chicorylink::dispatch {
namespace {

const membership::member* find_member(const membership::view& known, base::vm_id id)
{
    const auto found = std::ranges::lower_bound(known.members, id, {}, &membership::member::id);
    return found == known.members.end() || found->id != id ? nullptr : &*found;
}

base::milliseconds delay_between(const rules::rulebook& book, base::region_id a, base::region_id b)
{
    if (a == b) {
        return base::milliseconds{0};
    }
    const auto* const link = book.find_link(a, b);
    return link == nullptr ? rules::link{}.delay : link->delay;
}

} // namespace

std::vector<membership::member> executors_for(const rules::rulebook& book, const rules::team& who,
                                              base::route_id route, const membership::view& known,
                                              executor_preference preference)
{
    const auto* const self = find_member(known, known.self);
    std::vector<membership::member> candidates;
    std::ranges::copy_if(
        known.members, std::back_inserter(candidates), [&](const membership::member& vm) {
            return vm.state == membership::member_state::live &&
                   rules::may_run_in(who, vm.region) && !book.targets_of(route, vm.region).empty();
        });
    const auto rank = [&](const membership::member& vm) {
        const auto delay =
            self == nullptr ? base::milliseconds{0} : delay_between(book, self->region, vm.region);
        const bool is_self = vm.id == known.self;
        const bool preferred = is_self == (preference == executor_preference::self_first);
        return std::tuple{delay, !preferred, base::hash_pair(who.id.value(), vm.id.value())};
    };
    std::ranges::sort(candidates, {}, rank);
    return candidates;
}

ticket_place place_of(const ticket& value, const rules::team& who, const membership::view& known,
                      base::incarnation self_process)
{
    if (value.executor == known.self) {
        return value.process == self_process ? ticket_place::here : ticket_place::executor_gone;
    }
    const auto* const executor = find_member(known, value.executor);
    if (executor == nullptr) {
        return ticket_place::executor_unknown;
    }
    if (executor->state == membership::member_state::gone) {
        return ticket_place::executor_gone;
    }
    return rules::may_run_in(who, executor->region) ? ticket_place::forward
                                                    : ticket_place::region_not_allowed;
}

std::string_view to_string(ticket_place place)
{
    switch (place) {
    case ticket_place::here:
        return "here";
    case ticket_place::forward:
        return "forward";
    case ticket_place::executor_gone:
        return "executor_gone";
    case ticket_place::executor_unknown:
        return "executor_unknown";
    case ticket_place::region_not_allowed:
        return "region_not_allowed";
    }
    return "unknown";
}

} // namespace chicorylink::dispatch
