#ifndef CHICORYLINK_FLEET_CONFIGURATION_HPP
#define CHICORYLINK_FLEET_CONFIGURATION_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/names.hpp"
#include "chicorylink/fleet/route.hpp"
#include "chicorylink/fleet/service.hpp"
#include "chicorylink/fleet/team.hpp"

#include <cstddef>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chicorylink::fleet {

/// @brief Bounds on what a caller may send and on how long it may take.
struct caller_limits {
    std::size_t header_bytes = 16UL * 1024;
    std::size_t body_bytes = 4UL * 1024 * 1024;
    base::milliseconds header_time{3000};
    base::milliseconds idle_time{15000};
};

/// @brief One version of the operators' configuration. Immutable once it is built.
class configuration {
public:
    configuration(base::config_version version, std::vector<route> routes,
                  std::vector<service> services, std::vector<team> teams, caller_limits limits);
    ~configuration() = default;
    configuration(const configuration&) = delete;
    configuration& operator=(const configuration&) = delete;
    configuration(configuration&&) = delete;
    configuration& operator=(configuration&&) = delete;

    [[nodiscard]] base::config_version version() const { return m_version; }
    [[nodiscard]] const caller_limits& limits() const { return m_limits; }
    [[nodiscard]] const std::vector<route>& routes() const { return m_routes; }
    [[nodiscard]] const std::vector<service>& services() const { return m_services; }
    [[nodiscard]] const std::vector<team>& teams() const { return m_teams; }

    /// @brief The route of a host with the longest prefix that begins the path; null without one.
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;

    /// @brief The service of a name; null when there is none.
    [[nodiscard]] const service* find_service(const service_name& name) const;

    /// @brief The team that holds a key; null when none does.
    [[nodiscard]] const team* team_of_key(std::string_view key) const;

private:
    base::config_version m_version;
    std::vector<route> m_routes;
    std::vector<service> m_services;
    std::vector<team> m_teams;
    caller_limits m_limits;
    std::unordered_map<std::string_view, std::vector<const route*>> m_routes_by_host;
    std::unordered_map<std::string_view, const team*> m_teams_by_key;
};

/// @brief Which service of a route a request goes to, by the routes' weights.
/// @param bits Bits that spread evenly over requests, such as a hash of the request's id.
[[nodiscard]] const service_name& pick_service(const route& asked, std::uint64_t bits);

/// @brief Whether a list of allowed regions holds one; an empty list holds all.
[[nodiscard]] bool is_allowed(const std::vector<region_name>& allowed, const region_name& region);

/// @brief Whether route and team both allow a region. Without a team only the route counts.
[[nodiscard]] bool may_run_in(const route& asked, const team* who, const region_name& region);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_CONFIGURATION_HPP
