#include "chicorylink/fleet/published_state.hpp"

#include <algorithm>
#include <unordered_set>

#include <fmt/format.h>

namespace chicorylink::fleet {

namespace {

/// The entry to use when a store that returned from an older copy holds `restored` for a target
/// known by `known`.
target_entry newer_facts(const target_entry& known, target_entry restored)
{
    if (restored.started_ms != known.started_ms) {
        return restored.started_ms < known.started_ms ? known : restored;
    }
    restored.leaving = restored.leaving || known.leaving;
    restored.cold_left = std::max(restored.cold_left, known.cold_left);
    return restored;
}

} // namespace

bool published_state::enter_era(store_revision as_of, base::time_point now,
                                std::vector<applied_change>& changes)
{
    if (m_as_of.number == 0 || as_of.era == m_as_of.era) {
        return true;
    }
    if (as_of.era < m_as_of.era) {
        return false;
    }
    changes.push_back(
        {std::string{restored_event}, std::to_string(as_of.era.value()), as_of,
         fmt::format("after revision {} of era {}", m_as_of.number, m_as_of.era.value())});
    m_as_of = as_of;
    m_era_begun_at = now;
    m_era_begun_as_of = as_of;
    m_unconfirmed_until = now + republish_time;
    return true;
}

void published_state::confirm(base::time_point at, base::time_point now)
{
    if (now >= m_unconfirmed_until && (!m_confirmed_at || at > *m_confirmed_at)) {
        m_confirmed_at = at;
    }
}

void published_state::confirm_targets(base::time_point at, base::time_point now)
{
    if (now >= m_unconfirmed_until && (!m_targets_confirmed_at || at > *m_targets_confirmed_at)) {
        m_targets_confirmed_at = at;
    }
}

std::vector<applied_change>
published_state::apply_changes(const std::vector<published_item>& items, store_revision as_of,
                               base::time_point confirmed_at, base::time_point now,
                               const std::optional<contact_report>& peer_contact)
{
    std::vector<applied_change> changes;
    const bool is_current = enter_era(as_of, now, changes);
    if (is_current) {
        m_contact.note(peer_contact.value_or(contact_report{{now, now}, true}));
    }
    for (const auto& item : items) {
        apply_item(item, now, changes);
    }
    if (is_current) {
        m_as_of = std::max(m_as_of, as_of);
        confirm(confirmed_at, now);
    }
    return changes;
}

std::vector<applied_change>
published_state::apply_snapshot(const std::vector<published_item>& items, store_revision as_of,
                                base::time_point confirmed_at, base::time_point now,
                                const std::optional<contact_report>& peer_contact)
{
    if (as_of.era < m_as_of.era) {
        return apply_changes(items, as_of, confirmed_at, now, peer_contact);
    }
    std::vector<applied_change> changes;
    enter_era(as_of, now, changes);
    m_contact.note(peer_contact.value_or(contact_report{{now, now}, true}));
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
    if (as_of > m_as_of) {
        m_knows_removals_since = as_of;
    }
    m_as_of = std::max(m_as_of, as_of);
    confirm(confirmed_at, now);
    return changes;
}

void published_state::apply_item(const published_item& item, base::time_point now,
                                 std::vector<applied_change>& changes)
{
    const auto known = m_items.find(item.key);
    const bool is_older = item.revision.era < m_as_of.era ||
                          (known != m_items.end() && item.revision <= known->second.revision);
    // The version orders configurations, also where the store has lost a newer one.
    const bool may_be_configuration = m_config_key.empty() || item.key == m_config_key;
    if (is_older &&
        (!may_be_configuration || (known != m_items.end() && item.value == known->second.value))) {
        return;
    }
    const auto decoded = m_decode(item);
    if (const auto* config = std::get_if<configuration_item>(&decoded)) {
        apply_configuration(item, *config, changes);
        return;
    }
    if (is_older) {
        return;
    }
    m_newest_item = std::max(m_newest_item, item.revision);
    m_held.erase(item.key);
    if (item.key == m_config_key) {
        // The configuration in force stays when its item was removed or can't be read.
        known->second.revision = item.revision;
        apply_decoded(item, decoded, now, changes);
        return;
    }
    const bool is_restored = known != m_items.end() &&
                             known->second.revision.era < item.revision.era &&
                             item.revision <= m_era_begun_as_of;
    keep_item(item, decoded);
    if (!is_restored) {
        apply_decoded(item, decoded, now, changes);
        return;
    }
    if (const auto until = hold_until(item, decoded)) {
        m_held.insert_or_assign(item.key, held_item{item, *until});
        changes.push_back({"restored_item_held", item.key, item.revision,
                           "the lost part of the store had a newer one"});
        return;
    }
    apply_decoded(item, with_known_facts(decoded), now, changes);
}

void published_state::keep_item(const published_item& item, const decoded_item& decoded)
{
    auto& kept = m_items[item.key] = item;
    if (std::holds_alternative<target_gone_item>(decoded) ||
        std::holds_alternative<ignored_item>(decoded)) {
        // Peers need only the key and the revision, and the value may be as large as a whole copy.
        kept.value.clear();
    }
}

std::optional<base::time_point> published_state::hold_until(const published_item& item,
                                                            const decoded_item& decoded) const
{
    if (const auto* target = std::get_if<target_item>(&decoded)) {
        return m_targets.contains(target->entry.name) ? std::nullopt
                                                      : std::optional{m_era_begun_at + expiry_time};
    }
    if (const auto* gone = std::get_if<target_gone_item>(&decoded)) {
        // Removed items are kept for the same time by `remove_target`.
        return item.removed || !m_targets.contains(gone->name)
                   ? std::nullopt
                   : std::optional{m_era_begun_at + republish_time};
    }
    const auto* evacuation = std::get_if<evacuation_item>(&decoded);
    return evacuation == nullptr || evacuation->active == is_evacuated(evacuation->data_center)
               ? std::nullopt
               : std::optional{m_era_begun_at + republish_time};
}

decoded_item published_state::with_known_facts(const decoded_item& restored) const
{
    const auto* target = std::get_if<target_item>(&restored);
    const auto known = target == nullptr ? m_targets.end() : m_targets.find(target->entry.name);
    return known == m_targets.end()
               ? restored
               : decoded_item{target_item{newer_facts(known->second, target->entry)}};
}

void published_state::apply_configuration(const published_item& item,
                                          const configuration_item& decoded,
                                          std::vector<applied_change>& changes)
{
    const auto version = decoded.value->version();
    auto& kept = m_items[item.key];
    const bool is_new = item.revision > kept.revision;
    // A restored item keeps its number, so another one shows that the version was written again.
    const bool has_other_number = m_config && version == m_config->version() &&
                                  item.revision.era.value() == kept.revision.era.value() + 1 &&
                                  item.revision.number != kept.revision.number;
    if (!m_config || version > m_config->version()) {
        m_config = decoded.value;
        m_config_key = item.key;
        kept.key = item.key;
        kept.value = item.value;
        kept.removed = false;
        changes.push_back({"configuration", std::to_string(version.value()), item.revision, {}});
    }
    else if (is_new) {
        changes.push_back({"configuration_ignored", std::to_string(version.value()), item.revision,
                           "its version is not newer than the one in force"});
    }
    kept.revision = std::max(kept.revision, item.revision);
    m_newest_item = std::max(m_newest_item, kept.revision);
    const bool is_in_force = version == m_config->version();
    if (has_other_number || (is_in_force && item.revision > m_era_begun_as_of)) {
        m_unconfirmed_until = {};
    }
}

void published_state::apply_decoded(const published_item& item, const decoded_item& decoded,
                                    base::time_point now, std::vector<applied_change>& changes)
{
    if (const auto* target = std::get_if<target_item>(&decoded)) {
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
        const bool is_deferred = item.removed && m_targets.contains(gone->name) &&
                                 defer_removal(gone->name, item.revision, now, changes);
        if (!is_deferred) {
            drop_target(gone->name);
            changes.push_back({"target_gone", gone->name.text(), item.revision, gone->problem});
        }
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

void published_state::note_failed_read(base::time_point at)
{
    m_failed_read_at = at;
    m_contact.note_failure(at);
}

std::optional<base::time_point> published_state::republish_deadline() const
{
    std::optional<base::time_point> regained_at;
    if (m_contact.outage()) {
        regained_at = m_contact.outage()->regained_at;
    }
    if (m_era_begun_as_of.number != 0) {
        regained_at = std::max(regained_at.value_or(m_era_begun_at), m_era_begun_at);
    }
    return regained_at ? std::optional{*regained_at + republish_time} : std::nullopt;
}

std::string published_state::describe_outage(base::time_point now) const
{
    const auto ms = [](auto time) {
        return std::chrono::duration_cast<base::milliseconds>(time).count();
    };
    if (const auto& outage = m_contact.outage()) {
        return fmt::format("the store was regained {} ms ago, after {} ms",
                           ms(now - outage->regained_at),
                           ms(outage->regained_at - outage->lost_at));
    }
    return fmt::format("the store came back from an older copy {} ms ago",
                       ms(now - m_era_begun_at));
}

bool published_state::defer_removal(const target_name& name, store_revision revision,
                                    base::time_point now, std::vector<applied_change>& changes)
{
    // Items expire while the store is unavailable, although their targets live and publish again.
    const auto deadline = republish_deadline();
    if (!deadline || now >= *deadline) {
        return false;
    }
    m_drop_at.emplace(name, *deadline);
    changes.push_back({"target_removal_deferred", name.text(), revision, describe_outage(now)});
    return true;
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
    // Another VM may have shown meanwhile that there was no outage.
    const auto deadline = republish_deadline();
    const bool may_return = deadline && now < *deadline;
    for (auto pending = m_drop_at.begin(); pending != m_drop_at.end();) {
        const bool in_time = now < pending->second;
        if (may_return && in_time) {
            ++pending;
            continue;
        }
        m_targets.erase(pending->first);
        ++m_generation;
        changes.push_back({"target_gone", pending->first.text(), m_as_of,
                           in_time ? "the store was not away" : "not published again in time"});
        pending = m_drop_at.erase(pending);
    }
    for (auto held = m_held.begin(); held != m_held.end();) {
        if (now < held->second.apply_at) {
            ++held;
            continue;
        }
        apply_decoded(held->second.item, m_decode(held->second.item), now, changes);
        held = m_held.erase(held);
    }
    return changes;
}

store_revision published_state::items_revision() const
{
    return std::min(m_newest_item, m_as_of);
}

std::vector<published_item> published_state::items_after(store_revision revision,
                                                         base::config_version version) const
{
    std::vector<published_item> newer;
    for (const auto& [key, item] : m_items) {
        const bool is_newer_configuration =
            m_config && key == m_config_key && m_config->version() > version;
        if (item.revision > revision || is_newer_configuration) {
            newer.push_back(item);
        }
    }
    return newer;
}

} // namespace chicorylink::fleet
