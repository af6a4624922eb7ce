#include "chicorylink/platform/vm_list.hpp"

#include "chicorylink/platform/json_reading.hpp"

#include <string>

namespace chicorylink::platform {
namespace {

membership::listed_vm read_vm(const nlohmann::json& row)
{
    membership::listed_vm vm;
    vm.name = row.at("name").get<std::string>();
    vm.region = base::id_of<base::region_id>(row.at("region").get<std::string>());
    vm.data_center = base::id_of<base::data_center_id>(row.at("data_center").get<std::string>());
    vm.caller_address = row.at("callers").get<std::string>();
    vm.peer_address = row.at("peers").get<std::string>();
    vm.leaving = row.at("state").get<std::string>() == "leaving";
    return vm;
}

membership::platform_list read_list(const nlohmann::json& response)
{
    membership::platform_list list;
    list.sequence = response.at("sequence").get<std::uint64_t>();
    list.age = base::milliseconds{response.value("age_ms", std::int64_t{0})};
    for (const auto& row : response.at("vms")) {
        list.vms.push_back(read_vm(row));
    }
    return list;
}

} // namespace

base::result<membership::platform_list> parse_vm_list(std::string_view text)
{
    return read_json(text, "the VM list", read_list);
}

} // namespace chicorylink::platform
