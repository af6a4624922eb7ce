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

/// @brief Limits on the size and the duration of what a caller sends.
struct caller_limits {
    std::size_t header_bytes = 16UL * 1024;
    std::size_t body_bytes = 4UL * 1024 * 1024;
    base::milliseconds header_time{3000};
    base::milliseconds idle_time{15000};

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/// @brief One immutable version of the operators' configuration.
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

    /// @brief Finds the host's route with the longest matching path prefix; null if there is none.
    [[nodiscard]] const route* find_route(std::string_view host, std::string_view path) const;

    /// @brief Whether any route has this host.
    [[nodiscard]] bool has_host(std::string_view host) const;

    /// @brief Finds a service by name; null if there is none.
    [[nodiscard]] const service* find_service(const service_name& name) const;

    /// @brief Finds the team that a key belongs to; null if there is none.
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

/// @brief Picks one of a route's services by weight.
/// @param bits Bits that are evenly distributed over requests, such as a hash of the request's id.
[[nodiscard]] const service_name& pick_service(const route& matched_route, std::uint64_t bits);

/// @brief Whether a list of allowed regions contains a region; an empty list allows all.
[[nodiscard]] bool is_allowed(const std::vector<region_name>& allowed, const region_name& region);

/// @brief Whether route and team both allow a region. Without a team, only the route counts.
[[nodiscard]] bool may_run_in(const route& matched_route, const team* caller_team,
                              const region_name& region);

} // namespace chicorylink::fleet

#endif // CHICORYLINK_FLEET_CONFIGURATION_HPP
