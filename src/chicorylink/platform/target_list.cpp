#include "chicorylink/platform/target_list.hpp"

#include "chicorylink/platform/json_reading.hpp"

#include <string>

namespace chicorylink::platform {
namespace {

target_list read_list(const nlohmann::json& answer)
{
    target_list list;
    list.sequence = answer.at("sequence").get<std::uint64_t>();
    for (const auto& row : answer.at("targets")) {
        const auto name = row.at("name").get<std::string>();
        const bool leaving = row.at("state").get<std::string>() == "leaving";
        list.targets.push_back({base::id_of<base::target_id>(name), leaving});
    }
    return list;
}

} // namespace

base::result<target_list> parse_target_list(std::string_view text)
{
    return read_json(text, "the target list", read_list);
}

} // namespace chicorylink::platform
