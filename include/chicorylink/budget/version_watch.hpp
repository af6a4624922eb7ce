#ifndef CHICORYLINK_BUDGET_VERSION_WATCH_HPP
#define CHICORYLINK_BUDGET_VERSION_WATCH_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/budget/bucket.hpp"
#include "chicorylink/budget/message.hpp"
#include "chicorylink/budget/settings.hpp"
#include "chicorylink/membership/view.hpp"
#include "chicorylink/rules/rulebook.hpp"

#include <map>
#include <vector>

namespace chicorylink::budget {

/// @brief Keeps older splits of teams until no VM can use them any more.
///
/// When new rules split a team differently, some slots gain and others lose. Owners of the slots
/// that lose may not have the new rules yet: until all VMs of the regions in the old split report
/// a version that is new enough, every slot gets the smaller of its old and its new part.
class version_watch {
public:
    explicit version_watch(const settings& budget_settings) : m_settings(budget_settings) {}

    /// @brief Keeps the old split of each team whose split differs between two rulebooks.
    void on_rules(const rules::rulebook* before, const rules::rulebook& after);

    /// @brief Adds older splits that another VM keeps.
    void add_held_splits(const std::vector<held_split>& held);

    /// @brief Applies the member list of all regions.
    void on_view(const membership::view& members);

    /// @brief Records the version that another VM reported.
    void on_answer(const process_id& from, base::config_version version);

    /// @brief Drops the splits that all VMs of their regions have replaced.
    /// @return Whether any was dropped.
    bool drop_replaced();

    /// @brief The version queries that are due.
    [[nodiscard]] std::vector<outgoing> queries(base::time_point now);

    [[nodiscard]] const std::vector<held_split>& held() const { return m_held; }

private:
    struct peer {
        base::region_id region;
        base::incarnation process;
        base::config_version version;
        bool gone = false;
    };

    void hold(const held_split& split);
    [[nodiscard]] bool all_have(const held_split& split) const;

    settings m_settings;
    std::vector<held_split> m_held;
    std::map<base::vm_id, peer> m_peers;
    bool m_list_is_fresh = false;
    base::time_point m_queried_at{};
};

} // namespace chicorylink::budget

#endif // CHICORYLINK_BUDGET_VERSION_WATCH_HPP
