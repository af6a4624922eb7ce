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

class http_fetcher;
struct services;

/// @brief Performs the effects of the membership table: sends its messages, polls the platform's
/// VM list, updates the peers of the network and publishes the view. Only `view` may be called
/// outside the control loop.
class cluster {
public:
    struct hooks {
        /// A view was published; it may have changed or a permission may have been extended.
        std::function<void(const membership::view& now)> on_view;
        /// The process continues under a new incarnation, without its shares and tickets.
        std::function<void()> on_renewed;
    };

    cluster(services& deps, membership::identity self, hooks callbacks);

    void tick();
    void poll_list(http_fetcher& fetcher);
    void on_message(std::span<const std::uint8_t> bytes);
    void on_refused(base::vm_id vm);
    void set_leaving();
    void set_config_known(base::config_version version);
    void set_reaches_service(bool reaches);

    /// @brief The most recently published snapshot. Thread-safe.
    [[nodiscard]] std::shared_ptr<const membership::view> view() const;

    /// @brief Whether the platform's VM list was read recently.
    [[nodiscard]] bool list_is_fresh() const;

private:
    void apply_list(const std::string& body, base::time_point requested_at);
    void perform(const membership::effects& effects);
    void publish();
    void renew_if_needed();
    void update_known_processes();

    struct known_process {
        base::incarnation process;
        base::time_point since{};
    };

    services& m_deps;
    hooks m_hooks;
    membership::table m_table;
    std::map<base::vm_id, known_process> m_known_processes;
    std::map<base::vm_id, std::string> m_peers;
    /// Accessed with `std::atomic_load` and `std::atomic_store`.
    std::shared_ptr<const membership::view> m_view;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_CLUSTER_HPP
