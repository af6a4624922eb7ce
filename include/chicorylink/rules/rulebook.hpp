#ifndef CHICORYLINK_RULES_RULEBOOK_HPP
#define CHICORYLINK_RULES_RULEBOOK_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/secret.hpp"
#include "chicorylink/rules/key.hpp"
#include "chicorylink/rules/link.hpp"
#include "chicorylink/rules/policy.hpp"
#include "chicorylink/rules/region.hpp"
#include "chicorylink/rules/route.hpp"
#include "chicorylink/rules/target.hpp"
#include "chicorylink/rules/team.hpp"

#include <string>
#include <vector>

namespace chicorylink::rules {

class rulebook_builder;

/// @brief All rules of one version; validated as a whole and immutable.
///
/// Shared between threads as `std::shared_ptr<const rulebook>`. Created by `rulebook_builder`.
class rulebook {
public:
    [[nodiscard]] base::config_version version() const { return m_version; }

    /// @brief The salt of all key digests of this rulebook.
    [[nodiscard]] const std::string& key_salt() const { return m_key_salt; }

    [[nodiscard]] const policy& routing_policy() const { return m_policy; }

    [[nodiscard]] const std::vector<region>& regions() const { return m_regions; }
    [[nodiscard]] const std::vector<team>& teams() const { return m_teams; }
    [[nodiscard]] const std::vector<key>& keys() const { return m_keys; }
    [[nodiscard]] const std::vector<route>& routes() const { return m_routes; }
    [[nodiscard]] const std::vector<target>& targets() const { return m_targets; }
    [[nodiscard]] const std::vector<link>& links() const { return m_links; }

    /// @brief Finds an entry by id; null when there is none.
    [[nodiscard]] const region* find(base::region_id id) const;
    [[nodiscard]] const team* find(base::team_id id) const;
    [[nodiscard]] const route* find(base::route_id id) const;
    [[nodiscard]] const target* find(base::target_id id) const;

    /// @brief Finds the key with this digest; null when it is unknown or withdrawn.
    [[nodiscard]] const key* find_key(const base::digest& digest) const;

    /// @brief Finds the link between two regions, in either order; null when none is configured.
    [[nodiscard]] const link* find_link(base::region_id a, base::region_id b) const;

    /// @brief Returns the targets of a route within a region, ordered by id.
    [[nodiscard]] std::vector<const target*> targets_of(base::route_id route,
                                                        base::region_id region) const;

private:
    friend class rulebook_builder;
    rulebook() = default;

    base::config_version m_version;
    std::string m_key_salt;
    policy m_policy;
    std::vector<region> m_regions;
    std::vector<team> m_teams;
    std::vector<key> m_keys;
    std::vector<route> m_routes;
    std::vector<target> m_targets;
    std::vector<link> m_links;
};

/// @brief Whether a team's requests may run in a region; with a home set, only there.
[[nodiscard]] bool may_run_in(const team& tenant, base::region_id candidate);

/// @brief Returns the regions where a team's requests may run: only the home when it is set.
[[nodiscard]] std::vector<base::region_id> allowed_regions(const team& tenant);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_RULEBOOK_HPP
