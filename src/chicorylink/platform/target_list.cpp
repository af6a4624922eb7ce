#include "chicorylink/platform/target_list.hpp"

#include "chicorylink/platform/json_reading.hpp"

#include <string>

namespace chicorylink::platform {
namespace {

membership::target_list read_list(const nlohmann::json& response)
{
    membership::target_list list;
    list.sequence = response.at("sequence").get<std::uint64_t>();
    for (const auto& row : response.at("targets")) {
        list.targets.push_back(
            {row.at("name").get<std::string>(), row.at("state").get<std::string>() == "leaving"});
    }
    return list;
}

} // namespace

base::result<membership::target_list> parse_target_list(std::string_view text)
{
    return read_json(text, "the target list", read_list);
}

} // namespace chicorylink::platform
