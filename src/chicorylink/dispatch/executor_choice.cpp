#include "chicorylink/dispatch/executor_choice.hpp"

#include <algorithm>
#include <tuple>

namespace chicorylink::dispatch {
namespace {

const membership::member* find_member(const membership::view& current_view, base::vm_id id)
{
    const auto found =
        std::ranges::lower_bound(current_view.members, id, {}, &membership::member::id);
    return found == current_view.members.end() || found->id != id ? nullptr : &*found;
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

std::vector<membership::member> executors_for(const rules::rulebook& book,
                                              const rules::team& team_rules, base::route_id route,
                                              const membership::view& current_view,
                                              executor_preference preference)
{
    const auto* const self = find_member(current_view, current_view.self);
    std::vector<membership::member> candidates;
    std::ranges::copy_if(current_view.members, std::back_inserter(candidates),
                         [&](const membership::member& vm) {
                             return vm.state == membership::member_state::live &&
                                    rules::may_run_in(team_rules, vm.region) &&
                                    !book.targets_of(route, vm.region).empty();
                         });
    const auto rank = [&](const membership::member& vm) {
        const auto delay =
            self == nullptr ? base::milliseconds{0} : delay_between(book, self->region, vm.region);
        const bool is_self = vm.id == current_view.self;
        const bool preferred = is_self == (preference == executor_preference::self_first);
        return std::tuple{delay, !preferred, base::hash_pair(team_rules.id.value(), vm.id.value())};
    };
    std::ranges::sort(candidates, {}, rank);
    return candidates;
}

executor_location locate_executor(const ticket& value, const rules::team& team_rules,
                                  const membership::view& current_view,
                                  base::incarnation self_process)
{
    if (value.executor == current_view.self) {
        return value.process == self_process ? executor_location::here
                                             : executor_location::executor_gone;
    }
    const auto* const executor = find_member(current_view, value.executor);
    if (executor == nullptr) {
        return executor_location::executor_unknown;
    }
    if (executor->state == membership::member_state::gone) {
        return executor_location::executor_gone;
    }
    return rules::may_run_in(team_rules, executor->region) ? executor_location::forward
                                                           : executor_location::region_not_allowed;
}

std::string_view to_string(executor_location location)
{
    switch (location) {
    case executor_location::here:
        return "here";
    case executor_location::forward:
        return "forward";
    case executor_location::executor_gone:
        return "executor_gone";
    case executor_location::executor_unknown:
        return "executor_unknown";
    case executor_location::region_not_allowed:
        return "region_not_allowed";
    }
    return "unknown";
}

} // namespace chicorylink::dispatch
