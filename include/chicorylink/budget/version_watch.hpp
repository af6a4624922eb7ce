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

/// @brief Holds older splits of teams back until no VM can act on them any more.
///
/// When the rules cut a team in another way, some slots gain and others lose. The losers may not
/// know the new rules yet; until all VMs of the regions concerned answered with a version that is
/// new enough, every slot gets the smaller of its old and its new part.
class version_watch {
public:
    explicit version_watch(const settings& terms) : m_terms(terms) {}

    /// @brief Notes the teams whose split differs between two rulebooks.
    void on_rules(const rules::rulebook* before, const rules::rulebook& after);

    /// @brief Notes splits that another VM holds back.
    void learn(const std::vector<held_split>& held);

    /// @brief Takes in the members of all regions.
    void on_view(const membership::view& members);

    /// @brief Counts an answer.
    void on_answer(const borrower& from, base::config_version version);

    /// @brief Drops the splits that every VM concerned has replaced.
    /// @return Whether any was dropped.
    bool drop_settled();

    /// @brief Queries that are due.
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

    settings m_terms;
    std::vector<held_split> m_held;
    std::map<base::vm_id, peer> m_peers;
    bool m_list_is_fresh = false;
    base::time_point m_asked_at{};
};

} // namespace chicorylink::budget

#endif // CHICORYLINK_BUDGET_VERSION_WATCH_HPP
