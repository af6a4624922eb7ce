#include "chicorylink/front/item_copy.hpp"

#include "chicorylink/fleet/published_state.hpp"

#include <charconv>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace chicorylink::front {
namespace {

constexpr std::string_view item_copy_prefix = "/items?after=";
constexpr std::string_view era_parameter = "&era=";
/// Position of the era in an item; absent in copies of earlier releases.
constexpr std::size_t era_column = 4;
constexpr std::string_view version_parameter = "&version=";

/// Removes a name and the number behind it from the start of a text.
std::optional<std::uint64_t> take_number(std::string_view& text, std::string_view name)
{
    if (!text.starts_with(name)) {
        return std::nullopt;
    }
    text.remove_prefix(name.size());
    std::uint64_t value = 0;
    const auto [end, problem] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (problem != std::errc{}) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    return value;
}

} // namespace

item_copy_query items_to_copy(fleet::store_revision newest, fleet::store_revision known,
                              base::config_version version)
{
    return newest.era > known.era ? item_copy_query{} : item_copy_query{known, version};
}

std::string item_copy_target(const item_copy_query& query)
{
    return fmt::format("{}{}{}{}{}{}", item_copy_prefix, query.after.number, era_parameter,
                       query.after.era.value(), version_parameter, query.version.value());
}

std::optional<item_copy_query> read_item_copy_target(std::string_view target)
{
    const auto after = take_number(target, item_copy_prefix);
    if (!after) {
        return std::nullopt;
    }
    // Daemons of earlier releases state neither.
    const auto era = take_number(target, era_parameter).value_or(0);
    const auto version = take_number(target, version_parameter).value_or(0);
    return item_copy_query{{fleet::store_era{era}, *after}, base::config_version{version}};
}

item_copy make_item_copy(const fleet::published_state& state, const item_copy_query& query,
                         base::time_point now)
{
    const auto age_of = [now](base::time_point then) {
        return std::chrono::duration_cast<base::milliseconds>(now - then);
    };
    // A whole copy shows removals by what it lacks.
    const bool is_whole = query.after < state.knows_removals_since();
    item_copy copy;
    copy.after = is_whole ? fleet::store_revision{} : query.after;
    copy.items = state.items_after(copy.after, query.version);
    copy.as_of = state.as_of();
    if (const auto confirmed = state.confirmed_at()) {
        copy.confirmed_age = age_of(*confirmed);
    }
    if (const auto& contact = state.contact().span()) {
        copy.contact_age = age_of(contact->since);
    }
    return copy;
}

std::vector<fleet::applied_change> apply_item_copy(fleet::published_state& state,
                                                   const item_copy& copy, base::time_point asked_at,
                                                   bool is_local, base::time_point now)
{
    if (!copy.confirmed_age) {
        return {};
    }
    // Both ends lie within the other VM's span, whatever time the copy took.
    const auto confirmed_at = asked_at - *copy.confirmed_age;
    const auto since = copy.contact_age ? now - *copy.contact_age : confirmed_at;
    const fleet::contact_report contact{{since, confirmed_at}, is_local};
    return copy.after.number == 0
               ? state.apply_snapshot(copy.items, copy.as_of, confirmed_at, now, contact)
               : state.apply_changes(copy.items, copy.as_of, confirmed_at, now, contact);
}

std::string encode(const item_copy& copy)
{
    nlohmann::json root;
    root["as_of"] = copy.as_of.number;
    root["era"] = copy.as_of.era.value();
    root["after"] = copy.after.number;
    root["after_era"] = copy.after.era.value();
    root["age_ms"] = copy.confirmed_age ? copy.confirmed_age->count() : -1;
    root["contact_age_ms"] = copy.contact_age ? copy.contact_age->count() : -1;
    auto& items = root["items"] = nlohmann::json::array();
    for (const auto& item : copy.items) {
        items.push_back(
            {item.key, item.value, item.revision.number, item.removed, item.revision.era.value()});
    }
    const auto bytes = nlohmann::json::to_msgpack(root);
    return {bytes.begin(), bytes.end()};
}

base::result<item_copy> decode_item_copy(std::string_view bytes, fleet::store_era known_era)
{
    try {
        const auto root = nlohmann::json::from_msgpack(bytes.begin(), bytes.end());
        item_copy copy;
        copy.as_of = {fleet::store_era{root.value("era", known_era.value())},
                      root.at("as_of").get<std::uint64_t>()};
        copy.after = {fleet::store_era{root.value("after_era", known_era.value())},
                      root.at("after").get<std::uint64_t>()};
        const auto age = root.at("age_ms").get<std::int64_t>();
        if (age >= 0) {
            copy.confirmed_age = base::milliseconds{age};
        }
        // Daemons of earlier releases state none.
        const auto contact_age = root.value("contact_age_ms", std::int64_t{-1});
        if (contact_age >= 0) {
            copy.contact_age = base::milliseconds{contact_age};
        }
        for (const auto& item : root.at("items")) {
            const fleet::store_era era{item.size() > era_column
                                           ? item.at(era_column).get<std::uint64_t>()
                                           : known_era.value()};
            copy.items.push_back({item.at(0).get<std::string>(),
                                  item.at(1).get<std::string>(),
                                  {era, item.at(2).get<std::uint64_t>()},
                                  item.at(3).get<bool>()});
        }
        return copy;
    }
    catch (const nlohmann::json::exception& problem) {
        return base::fail(base::error_kind::invalid_message, problem.what(),
                          "check that all VMs run the same version");
    }
}

} // namespace chicorylink::front
