#include "chicorylink/fleet/published_state.hpp"

#include <algorithm>
#include <unordered_set>

#include <fmt/format.h>

namespace chicorylink::fleet {

void published_state::note_contact(base::time_point now)
{
    if (m_last_contact && now - *m_last_contact > outage_threshold) {
        m_regained_at = now;
    }
    m_last_contact = now;
}

void published_state::confirm(base::time_point at)
{
    if (!m_confirmed_at || at > *m_confirmed_at) {
        m_confirmed_at = at;
    }
}

std::vector<applied_change> published_state::apply_changes(const std::vector<published_item>& items,
                                                           std::uint64_t as_of,
                                                           base::time_point confirmed_at,
                                                           base::time_point now)
{
    note_contact(now);
    std::vector<applied_change> changes;
    for (const auto& item : items) {
        apply_item(item, now, changes);
    }
    m_as_of = std::max(m_as_of, as_of);
    confirm(confirmed_at);
    return changes;
}

std::vector<applied_change>
published_state::apply_snapshot(const std::vector<published_item>& items, std::uint64_t as_of,
                                base::time_point confirmed_at, base::time_point now)
{
    note_contact(now);
    std::vector<applied_change> changes;
    std::unordered_set<std::string> present;
    for (const auto& item : items) {
        present.insert(item.key);
        apply_item(item, now, changes);
    }
    std::vector<published_item> missing;
    for (const auto& [key, item] : m_items) {
        // An item that changed after the snapshot was read is newer than the snapshot.
        if (!item.removed && !present.contains(key) && item.revision <= as_of) {
            missing.push_back({key, {}, as_of, true});
        }
    }
    for (const auto& item : missing) {
        apply_item(item, now, changes);
    }
    m_as_of = std::max(m_as_of, as_of);
    confirm(confirmed_at);
    return changes;
}

void published_state::apply_item(const published_item& item, base::time_point now,
                                 std::vector<applied_change>& changes)
{
    const auto known = m_items.find(item.key);
    if (known != m_items.end() && known->second.revision >= item.revision) {
        return;
    }
    const auto decoded = m_decode(item);
    auto& kept = m_items[item.key] = item;
    if (std::holds_alternative<target_gone_item>(decoded) ||
        std::holds_alternative<ignored_item>(decoded)) {
        // Peers need only the key and the revision, and the value may be as large as a whole copy.
        kept.value.clear();
    }
    m_items_revision = std::max(m_items_revision, item.revision);
    apply_decoded(item, decoded, now, changes);
}

void published_state::apply_decoded(const published_item& item, const decoded_item& decoded,
                                    base::time_point now, std::vector<applied_change>& changes)
{
    if (const auto* config = std::get_if<configuration_item>(&decoded)) {
        const auto version = config->value->version();
        if (m_config && version <= m_config->version()) {
            changes.push_back({"configuration_ignored", std::to_string(version.value()),
                               item.revision, "its version is not newer than the one in force"});
            return;
        }
        m_config = config->value;
        changes.push_back({"configuration", std::to_string(version.value()), item.revision, {}});
    }
    else if (const auto* target = std::get_if<target_item>(&decoded)) {
        auto& entry = m_targets[target->entry.name];
        m_drop_at.erase(target->entry.name);
        if (entry == target->entry) {
            return;
        }
        entry = target->entry;
        ++m_generation;
        changes.push_back({"target", entry.name.text(), item.revision,
                           fmt::format("{} {} {}{}", entry.service.text(), entry.address,
                                       entry.leaving ? "leaving" : "ready",
                                       entry.cold_left.count() > 0 ? " cold" : "")});
    }
    else if (const auto* gone = std::get_if<target_gone_item>(&decoded)) {
        if (!item.removed) {
            drop_target(gone->name);
        }
        else if (m_targets.contains(gone->name)) {
            remove_target(gone->name, now);
        }
        changes.push_back({"target_gone", gone->name.text(), item.revision, gone->problem});
    }
    else if (const auto* evacuation = std::get_if<evacuation_item>(&decoded)) {
        if (evacuation->active) {
            m_evacuated.insert(evacuation->data_center);
        }
        else {
            m_evacuated.erase(evacuation->data_center);
        }
        ++m_generation;
        changes.push_back({evacuation->active ? "evacuation" : "evacuation_ended",
                           evacuation->data_center.text(),
                           item.revision,
                           {}});
    }
    else if (const auto* ignored = std::get_if<ignored_item>(&decoded)) {
        changes.push_back({"item_ignored", item.key, item.revision, ignored->problem});
    }
}

void published_state::remove_target(const target_name& name, base::time_point now)
{
    // Items expire while the store is unavailable, although their targets live and publish again.
    if (m_regained_at && now - *m_regained_at < republish_time) {
        m_drop_at.emplace(name, *m_regained_at + republish_time);
        return;
    }
    drop_target(name);
}

void published_state::drop_target(const target_name& name)
{
    m_drop_at.erase(name);
    if (m_targets.erase(name) > 0) {
        ++m_generation;
    }
}

std::vector<applied_change> published_state::tick(base::time_point now)
{
    std::vector<applied_change> changes;
    for (auto pending = m_drop_at.begin(); pending != m_drop_at.end();) {
        if (now < pending->second) {
            ++pending;
            continue;
        }
        m_targets.erase(pending->first);
        ++m_generation;
        changes.push_back(
            {"target_gone", pending->first.text(), m_as_of, "not published again in time"});
        pending = m_drop_at.erase(pending);
    }
    return changes;
}

std::vector<published_item> published_state::items_after(std::uint64_t revision) const
{
    std::vector<published_item> newer;
    for (const auto& [key, item] : m_items) {
        if (item.revision > revision) {
            newer.push_back(item);
        }
    }
    return newer;
}

} // namespace chicorylink::fleet
