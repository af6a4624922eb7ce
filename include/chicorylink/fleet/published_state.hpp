#ifndef CHICORYLINK_FLEET_PUBLISHED_STATE_HPP
#define CHICORYLINK_FLEET_PUBLISHED_STATE_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/published_item.hpp"
#include "chicorylink/fleet/store_contact.hpp"
#include "chicorylink/fleet/store_revision.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chicorylink::fleet {

/// @brief Effect of one change, for the log.
struct applied_change {
    std::string event;
    std::string name;
    store_revision revision;
    std::string detail;
};

/// @brief One process's copy of the store: configuration, targets and evacuations.
///
/// Updated by the store itself or by a peer's copy of the same items. An item's changes are ordered
/// by its revision, so that an older state never replaces a newer one. The version of the
/// configuration never decreases while the process runs.
///
/// A store that returns from an older copy begins a new era. Its items are the newest ones by
/// revision, but may be older facts than this process knows, until what the store has lost is
/// written again. So the first item of the new era for a key does not undo a known fact: a target
/// that has left stays unused, and evacuations stay as they are known. These items take effect when
/// the time to write them again has passed. Until then the store confirms no configuration.
class published_state {
public:
    /// Time after an outage of the store or the start of an era within which live targets publish
    /// again, and lost items are written again.
    static constexpr base::milliseconds republish_time{2200};
    /// Time after the start of an era within which the restored item of an ended target expires.
    static constexpr base::milliseconds expiry_time{5000};
    /// Event of the change that begins an era.
    static constexpr std::string_view restored_event = "store_restored";

    explicit published_state(item_decoder decode) : m_decode(decode) {}

    /// @brief Applies the changes since the last contact. Changes from an older era than known are
    /// ignored, except a newer configuration.
    /// @param as_of Store revision after these changes.
    /// @param confirmed_at Time at which nothing newer than `as_of` existed for these items.
    /// @param peer_contact Contact of the VM whose copy this is with the store; none if the
    /// changes come from the store itself.
    std::vector<applied_change>
    apply_changes(const std::vector<published_item>& items, store_revision as_of,
                  base::time_point confirmed_at, base::time_point now,
                  const std::optional<contact_report>& peer_contact = {});

    /// @brief Applies all items of the store; known items that it no longer has are removed.
    std::vector<applied_change>
    apply_snapshot(const std::vector<published_item>& items, store_revision as_of,
                   base::time_point confirmed_at, base::time_point now,
                   const std::optional<contact_report>& peer_contact = {});

    /// @brief Records another VM's contact with the store.
    void note_contact(const contact_report& reported) { m_contact.note(reported); }

    /// @brief Records a failed read of the store by this VM.
    void note_failed_read(base::time_point at);
    /// @brief Records the same of another VM of this region.
    void note_failed_read_of_peer(base::time_point at) { m_contact.note_failure(at); }
    /// @brief Time of this VM's last failed read of the store.
    [[nodiscard]] std::optional<base::time_point> failed_read_at() const
    {
        return m_failed_read_at;
    }

    /// @brief When the store is known to have answered this VM or others.
    [[nodiscard]] const store_contact& contact() const { return m_contact; }

    /// @brief Records that the configuration in force here was the newest one at a given time.
    /// Ignored at the start of an era, when a newer one may be lost and not yet written again.
    void confirm(base::time_point at, base::time_point now);

    /// @brief Records that the targets here were all that the store listed at a given time. Ignored
    /// at the start of an era, when some may be lost and not yet written again.
    void confirm_targets(base::time_point at, base::time_point now);

    /// @brief Drops targets that did not publish again after an outage, and applies restored items
    /// that were not written again in time.
    std::vector<applied_change> tick(base::time_point now);

    /// @brief The newest known configuration; null if there is none.
    [[nodiscard]] const std::shared_ptr<const configuration>& config() const { return m_config; }

    /// @brief Latest time at which the configuration was confirmed to be the newest one.
    [[nodiscard]] std::optional<base::time_point> confirmed_at() const { return m_confirmed_at; }

    /// @brief Latest time at which the targets here were all that the store listed; a configuration
    /// is confirmed more often.
    [[nodiscard]] std::optional<base::time_point> targets_confirmed_at() const
    {
        return m_targets_confirmed_at;
    }

    /// @brief Store revision up to which this copy has every change; its number is zero before the
    /// first snapshot.
    [[nodiscard]] store_revision as_of() const { return m_as_of; }

    [[nodiscard]] const std::map<target_name, target_entry>& targets() const { return m_targets; }
    [[nodiscard]] bool is_evacuated(const data_center_name& data_center) const
    {
        return m_evacuated.contains(data_center);
    }
    [[nodiscard]] const std::set<data_center_name>& evacuated() const { return m_evacuated; }

    /// @brief Increases with each change of targets or evacuations.
    [[nodiscard]] std::uint64_t generation() const { return m_generation; }

    /// @brief Revision of the newest known item, but not more than `as_of`: the later pages of a
    /// snapshot may hold newer items, and changes between that and those may be unknown.
    [[nodiscard]] store_revision items_revision() const;

    /// @brief Revision since which this copy knows every removal. What the store removed before its
    /// latest snapshot may be missing here altogether.
    [[nodiscard]] store_revision knows_removals_since() const { return m_knows_removals_since; }

    /// @brief Items for a peer: those that changed after a revision, including removed ones, and
    /// the configuration in force if the peer's version is older.
    [[nodiscard]] std::vector<published_item> items_after(store_revision revision,
                                                          base::config_version version) const;

private:
    /// A restored item that contradicts what is known.
    struct held_item {
        published_item item;
        base::time_point apply_at;
    };

    /// Returns false if the contact is from an older era than known.
    bool enter_era(store_revision as_of, base::time_point now,
                   std::vector<applied_change>& changes);
    void apply_item(const published_item& item, base::time_point now,
                    std::vector<applied_change>& changes);
    void apply_decoded(const published_item& item, const decoded_item& decoded,
                       base::time_point now, std::vector<applied_change>& changes);
    void apply_configuration(const published_item& item, const configuration_item& decoded,
                             std::vector<applied_change>& changes);
    void keep_item(const published_item& item, const decoded_item& decoded);
    /// Until when an item that the store has restored is held, because it undoes a known fact; none
    /// if it takes effect at once.
    [[nodiscard]] std::optional<base::time_point> hold_until(const published_item& item,
                                                             const decoded_item& decoded) const;
    /// A restored target, with what is known to have happened to it since.
    [[nodiscard]] decoded_item with_known_facts(const decoded_item& restored) const;
    /// Until when targets whose items expired have time to publish again; none without an outage.
    [[nodiscard]] std::optional<base::time_point> republish_deadline() const;
    [[nodiscard]] std::string describe_outage(base::time_point now) const;
    /// Keeps a target whose item was removed until its time to publish again has passed.
    /// Returns false if there is no such time now.
    bool defer_removal(const target_name& name, store_revision revision, base::time_point now,
                       std::vector<applied_change>& changes);
    void drop_target(const target_name& name);

    item_decoder m_decode;
    /// Newest item of each key. The configuration's item holds the version in force.
    std::unordered_map<std::string, published_item> m_items;
    std::shared_ptr<const configuration> m_config;
    std::string m_config_key;
    std::map<target_name, target_entry> m_targets;
    /// Targets that stay in use until the given time although their items expired.
    std::map<target_name, base::time_point> m_drop_at;
    std::map<std::string, held_item> m_held;
    std::set<data_center_name> m_evacuated;
    store_revision m_as_of;
    store_revision m_knows_removals_since;
    store_revision m_newest_item;
    std::uint64_t m_generation = 0;
    std::optional<base::time_point> m_confirmed_at;
    std::optional<base::time_point> m_targets_confirmed_at;
    store_contact m_contact;
    std::optional<base::time_point> m_failed_read_at;
    /// First contact in the present era, and the store's revision then; zero in the first era.
    base::time_point m_era_begun_at{};
    store_revision m_era_begun_as_of;
    /// Until then the present era confirms no configuration.
    base::time_point m_unconfirmed_until{};
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_PUBLISHED_STATE_HPP
