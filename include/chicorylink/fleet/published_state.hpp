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

/// @brief What one change did, for the log.
struct applied_change {
    std::string what;
    std::string name;
    std::uint64_t revision = 0;
    std::string detail;
};

/// @brief The mirror of the store in one process: configuration, targets and evacuations.
///
/// Fed by the store itself or by a peer's copy of the same items. Each item's own revision orders
/// its changes, so that older news never replaces newer, and the configuration's version never
/// goes down while the process lives.
class published_state {
public:
    /// A break of contact after which targets whose items lapsed get time to publish again.
    static constexpr base::milliseconds outage_bound{1500};
    /// Time after an outage in which live targets publish again.
    static constexpr base::milliseconds republish_time{2200};

    explicit published_state(item_decoder decode) : m_decode(decode) {}

    /// @brief Takes the changes since the last contact.
    /// @param as_of The store's revision after them.
    /// @param confirmed_at A moment at which nothing newer than `as_of` existed for these items.
    std::vector<applied_change> apply_changes(const std::vector<published_item>& items,
                                              std::uint64_t as_of, base::time_point confirmed_at,
                                              base::time_point now);

    /// @brief Takes all items of the store; those that are known here and missing there are gone.
    std::vector<applied_change> apply_snapshot(const std::vector<published_item>& items,
                                               std::uint64_t as_of, base::time_point confirmed_at,
                                               base::time_point now);

    /// @brief Notes that the configuration in force here was the newest one at a moment.
    void confirm(base::time_point at);

    /// @brief Drops targets that did not publish again after an outage.
    std::vector<applied_change> tick(base::time_point now);

    /// @brief The newest configuration; null while none is known.
    [[nodiscard]] const std::shared_ptr<const configuration>& config() const { return m_config; }

    /// @brief The newest moment at which the configuration was proved to be the newest one.
    [[nodiscard]] std::optional<base::time_point> confirmed_at() const { return m_confirmed_at; }

    /// @brief The store's revision that the mirror has reached; zero before the first snapshot.
    [[nodiscard]] std::uint64_t as_of() const { return m_as_of; }

    [[nodiscard]] const std::map<target_name, target_entry>& targets() const { return m_targets; }
    [[nodiscard]] bool is_evacuated(const data_center_name& where) const
    {
        return m_evacuated.contains(where);
    }
    [[nodiscard]] const std::set<data_center_name>& evacuated() const { return m_evacuated; }

    /// @brief Grows with each change of targets or evacuations.
    [[nodiscard]] std::uint64_t generation() const { return m_generation; }

    /// @brief The revision of the newest item that is known.
    [[nodiscard]] std::uint64_t items_revision() const { return m_items_revision; }

    /// @brief The items that changed after a revision, removed ones too, for a peer.
    [[nodiscard]] std::vector<published_item> items_after(std::uint64_t revision) const;

private:
    void note_contact(base::time_point now);
    void apply_one(const published_item& item, base::time_point now,
                   std::vector<applied_change>& changes);
    void act_on(const published_item& item, const item_meaning& meaning, base::time_point now,
                std::vector<applied_change>& changes);
    void remove_target(const target_name& name, base::time_point now);

    item_decoder m_decode;
    std::unordered_map<std::string, published_item> m_items;
    std::shared_ptr<const configuration> m_config;
    std::map<target_name, target_entry> m_targets;
    /// Targets that are used on for a while though their items lapsed.
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
