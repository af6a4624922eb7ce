#ifndef CHICORYLINK_FLEET_PUBLISHED_STATE_HPP
#define CHICORYLINK_FLEET_PUBLISHED_STATE_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/published_item.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicorylink::fleet {

/// @brief Effect of one change, for the log.
struct applied_change {
    std::string event;
    std::string name;
    std::uint64_t revision = 0;
    std::string detail;
};

/// @brief One process's copy of the store: configuration, targets and evacuations.
///
/// Updated by the store itself or by a peer's copy of the same items. An item's changes are ordered
/// by its revision, so that an older state never replaces a newer one. The version of the
/// configuration never decreases while the process runs.
class published_state {
public:
    /// Loss of contact after which targets whose items expired get time to publish again.
    static constexpr base::milliseconds outage_threshold{1500};
    /// Time after an outage within which live targets publish again.
    static constexpr base::milliseconds republish_time{2200};

    explicit published_state(item_decoder decode) : m_decode(decode) {}

    /// @brief Applies the changes since the last contact.
    /// @param as_of Store revision after these changes.
    /// @param confirmed_at Time at which nothing newer than `as_of` existed for these items.
    std::vector<applied_change> apply_changes(const std::vector<published_item>& items,
                                              std::uint64_t as_of, base::time_point confirmed_at,
                                              base::time_point now);

    /// @brief Applies all items of the store; known items that it no longer has are removed.
    std::vector<applied_change> apply_snapshot(const std::vector<published_item>& items,
                                               std::uint64_t as_of, base::time_point confirmed_at,
                                               base::time_point now);

    /// @brief Records that the configuration in force here was the newest one at a given time.
    void confirm(base::time_point at);

    /// @brief Drops targets that did not publish again after an outage.
    std::vector<applied_change> tick(base::time_point now);

    /// @brief The newest known configuration; null if there is none.
    [[nodiscard]] const std::shared_ptr<const configuration>& config() const { return m_config; }

    /// @brief Latest time at which the configuration was confirmed to be the newest one.
    [[nodiscard]] std::optional<base::time_point> confirmed_at() const { return m_confirmed_at; }

    /// @brief Store revision that this copy has reached; zero before the first snapshot.
    [[nodiscard]] std::uint64_t as_of() const { return m_as_of; }

    [[nodiscard]] const std::map<target_name, target_entry>& targets() const { return m_targets; }
    [[nodiscard]] bool is_evacuated(const data_center_name& data_center) const
    {
        return m_evacuated.contains(data_center);
    }
    [[nodiscard]] const std::set<data_center_name>& evacuated() const { return m_evacuated; }

    /// @brief Increases with each change of targets or evacuations.
    [[nodiscard]] std::uint64_t generation() const { return m_generation; }

    /// @brief Revision of the newest known item.
    [[nodiscard]] std::uint64_t items_revision() const { return m_items_revision; }

    /// @brief Items that changed after a revision, including removed ones, for a peer.
    [[nodiscard]] std::vector<published_item> items_after(std::uint64_t revision) const;

private:
    void note_contact(base::time_point now);
    void apply_item(const published_item& item, base::time_point now,
                    std::vector<applied_change>& changes);
    void apply_decoded(const published_item& item, const decoded_item& meaning,
                       base::time_point now, std::vector<applied_change>& changes);
    /// Drops a target whose item was removed, after an outage only when its time has passed.
    void remove_target(const target_name& name, base::time_point now);
    void drop_target(const target_name& name);

    item_decoder m_decode;
    std::unordered_map<std::string, published_item> m_items;
    std::shared_ptr<const configuration> m_config;
    std::map<target_name, target_entry> m_targets;
    /// Targets that stay in use until the given time although their items expired.
    std::map<target_name, base::time_point> m_drop_at;
    std::set<data_center_name> m_evacuated;
    std::uint64_t m_as_of = 0;
    std::uint64_t m_items_revision = 0;
    std::uint64_t m_generation = 0;
    std::optional<base::time_point> m_confirmed_at;
    std::optional<base::time_point> m_last_contact;
    std::optional<base::time_point> m_regained_at;
};

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_PUBLISHED_STATE_HPP
