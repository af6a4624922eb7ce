#include "chicorylink/gateway/directory_answer.hpp"

#include "chicorylink/gateway/services.hpp"
#include "chicorylink/membership/view.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace chicorylink::gateway {

std::vector<std::string> other_vms(const services& all, const std::vector<base::region_id>& regions)
{
    std::vector<std::string> addresses;
    const auto view = all.view();
    for (const auto& vm : view->members) {
        const bool wanted = std::find(regions.begin(), regions.end(), vm.region) != regions.end();
        if (wanted && vm.id != all.self && vm.state == membership::member_state::live) {
            addresses.push_back(vm.caller_address);
        }
    }
    return addresses;
}

http_answer answer_directory(const services& all, const rules::rulebook& book, const identity& who)
{
    const auto* team = book.find(who.team);
    const nlohmann::ordered_json body{{"vms", other_vms(all, rules::allowed_regions(*team))}};
    return {200, {{"Content-Type", "application/json"}}, body.dump()};
}

} // namespace chicorylink::gateway
