#ifndef CHICORYLINK_GATEWAY_CLUSTER_HPP
#define CHICORYLINK_GATEWAY_CLUSTER_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/membership/table.hpp"
#include "chicorylink/membership/view.hpp"

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>

namespace chicorylink::gateway {

class platform_poller;
struct services;

/// @brief Carries out what the membership table decides: sends its messages, polls the platform's
/// VM list, keeps the peer links in step and publishes the view. Used on the control loop only,
/// but for `view`.
class cluster {
public:
    struct hooks {
        /// The view changed or a permission grew.
        std::function<void(const membership::view& now)> on_view;
        /// The process goes on under a new incarnation, without its shares and tickets.
        std::function<void()> on_renewed;
    };

    cluster(services& all, membership::identity self, hooks calls);

    void tick();
    void poll_list(platform_poller& platform);
    void on_message(std::span<const std::uint8_t> bytes);
    void on_refused(base::vm_id vm);
    void set_leaving();
    void set_config_known(base::config_version version);
    void set_reaches_service(bool reaches);

    /// @brief The snapshot last published. Thread-safe.
    [[nodiscard]] std::shared_ptr<const membership::view> view() const;

    /// @brief Whether the platform's list was read lately.
    [[nodiscard]] bool list_is_fresh() const;

private:
    void take_list(const std::string& body, base::time_point requested_at);
    void perform(const membership::effects& effects);
    void publish();
    void renew_if_needed();
    void remember_processes();

    struct known_process {
        base::incarnation process;
        base::time_point since{};
    };

    services& m_all;
    hooks m_hooks;
    membership::table m_table;
    std::map<base::vm_id, known_process> m_processes;
    std::map<base::vm_id, std::string> m_peers;
    /// Read and replaced with the functions for atomic access.
    std::shared_ptr<const membership::view> m_view;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_CLUSTER_HPP
