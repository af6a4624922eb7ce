#include "chicorylink/front/item_copy.hpp"

#include <charconv>

#include <nlohmann/json.hpp>

namespace chicorylink::front {
namespace {

constexpr std::string_view item_copy_prefix = "/items?after=";

} // namespace

std::string item_copy_target(std::uint64_t after)
{
    return std::string{item_copy_prefix} + std::to_string(after);
}

std::optional<std::uint64_t> read_item_copy_target(std::string_view target)
{
    if (!target.starts_with(item_copy_prefix)) {
        return std::nullopt;
    }
    target.remove_prefix(item_copy_prefix.size());
    std::uint64_t after = 0;
    const auto [end, problem] =
        std::from_chars(target.data(), target.data() + target.size(), after);
    return problem == std::errc{} ? std::optional{after} : std::nullopt;
}

std::string encode(const item_copy& copy)
{
    nlohmann::json root;
    root["as_of"] = copy.as_of;
    root["after"] = copy.after;
    root["age_ms"] = copy.confirmed_age ? copy.confirmed_age->count() : -1;
    auto& items = root["items"] = nlohmann::json::array();
    for (const auto& item : copy.items) {
        items.push_back({item.key, item.value, item.revision, item.removed});
    }
    const auto bytes = nlohmann::json::to_msgpack(root);
    return {bytes.begin(), bytes.end()};
}

base::result<item_copy> decode_item_copy(std::string_view bytes)
{
    try {
        const auto root = nlohmann::json::from_msgpack(bytes.begin(), bytes.end());
        item_copy copy;
        copy.as_of = root.at("as_of").get<std::uint64_t>();
        copy.after = root.at("after").get<std::uint64_t>();
        const auto age = root.at("age_ms").get<std::int64_t>();
        if (age >= 0) {
            copy.confirmed_age = base::milliseconds{age};
        }
        for (const auto& item : root.at("items")) {
            copy.items.push_back({item.at(0).get<std::string>(), item.at(1).get<std::string>(),
                                  item.at(2).get<std::uint64_t>(), item.at(3).get<bool>()});
        }
        return copy;
    }
    catch (const nlohmann::json::exception& problem) {
        return base::fail(base::error_kind::invalid_message, problem.what(),
                          "check that all VMs run the same version");
    }
}

} // namespace chicorylink::front
