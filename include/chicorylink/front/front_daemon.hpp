#ifndef CHICORYLINK_FRONT_FRONT_DAEMON_HPP
#define CHICORYLINK_FRONT_FRONT_DAEMON_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/front/front_core.hpp"
#include "chicorylink/front/gossip.hpp"
#include "chicorylink/front/request_listener.hpp"
#include "chicorylink/front/state_reader.hpp"
#include "chicorylink/front/status_server.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace chicorylink::fleet {

struct directory_view;

} // namespace chicorylink::fleet

namespace chicorylink::front {

/// @brief Loads the settings again; called on SIGHUP and periodically.
using settings_source = std::function<base::result<front_settings>()>;

/// @brief The daemon of one VM: all its listeners and timers on one event loop.
class front_daemon {
public:
    /// @brief Creates the daemon and opens its listeners. Fails when an address can't be used.
    [[nodiscard]] static base::result<std::unique_ptr<front_daemon>>
    start(front_settings settings, const platform_protocol& protocol, settings_source reload);

    /// @brief Serves until a stop signal has arrived and pending work is finished, or the stop time
    /// is used up.
    void run();

private:
    front_daemon(front_settings settings, const platform_protocol& protocol,
                 settings_source reload);

    base::result<void> listen();
    void wait_for_signal();
    void begin_shutdown();
    void reload_settings();
    void schedule_tick();
    void tick();
    /// @brief Records and logs a pause of the process.
    /// @return Whether the process was paused since the last tick.
    bool detect_pause(base::time_point now);
    void run_tick(base::time_point now);
    void tick_exchanges(base::time_point now);
    void slow_tick(base::time_point now);
    void sync_state(base::time_point now);
    void log_readiness_change(base::time_point now);
    /// @brief Logs when the bytes that all requests hold exceed their limit, and when no more.
    void log_buffers_change();
    /// @brief Ends the requests that are still in progress near the end of the stop time.
    void end_requests(base::time_point now);
    [[nodiscard]] bool can_exit(base::time_point now);
    [[nodiscard]] status_response respond_ready(const message_head& head) const;
    [[nodiscard]] status_response respond_directory(const message_head& head);
    [[nodiscard]] status_response respond_control(const message_head& head) const;
    /// @brief The VMs that callers may be told of, this one first.
    [[nodiscard]] fleet::directory_view view_for_callers(base::time_point now) const;
    /// @brief Logs when callers of a region are sent to VMs of other regions, and when no more.
    void log_redirect(const directory_query& query, const std::string& named);

    boost::asio::io_context m_loop;
    front_core m_core;
    settings_source m_reload;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    std::optional<state_reader> m_reader;
    std::optional<gossip> m_gossip;
    std::unique_ptr<request_listener> m_callers;
    std::unique_ptr<request_listener> m_peers;
    std::vector<std::unique_ptr<status_server>> m_status_servers;
    std::shared_ptr<const fleet::configuration> m_synced_config;
    std::uint64_t m_synced_generation = 0;
    readiness m_logged_readiness = readiness::no_configuration;
    bool m_logged_full_buffers = false;
    std::optional<base::time_point> m_last_tick_at;
    std::optional<base::time_point> m_previous_tick_at;
    bool m_has_stopped_accepting = false;
    /// When there was last work that an exit would have cut off.
    base::time_point m_last_busy_at{};
    base::time_point m_last_request_at{};
    base::time_point m_last_slow_tick_at{};
    base::time_point m_settings_read_at{};
    base::time_point m_started_at{};
    /// The other regions that callers were last told of, by their region and host.
    std::map<std::pair<fleet::region_name, std::string>, std::string> m_redirects;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_FRONT_DAEMON_HPP
