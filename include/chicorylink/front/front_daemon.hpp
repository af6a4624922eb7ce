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
#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

namespace chicorylink::front {

/// @brief Reads the settings again; called at SIGHUP and now and then.
using settings_source = std::function<base::result<front_settings>()>;

/// @brief The daemon of one VM: all its listeners and timers on one loop.
class front_daemon {
public:
    /// @brief Opens the listeners. Fails when an address can't be used.
    [[nodiscard]] static base::result<std::unique_ptr<front_daemon>>
    start(front_settings settings, const outer_protocol& protocol, settings_source reload);

    /// @brief Serves until the process was told to stop and has finished what it had.
    void run();

private:
    front_daemon(front_settings settings, const outer_protocol& protocol, settings_source reload);

    base::result<void> listen();
    void wait_for_signal();
    void begin_to_leave();
    void reload_settings();
    void schedule_tick();
    void tick();
    /// @brief Notes when the process stood still. Returns whether it did since the last tick.
    bool note_pause(base::time_point now);
    void tick_parts(base::time_point now);
    void tick_exchanges(base::time_point now);
    void slow_tick(base::time_point now);
    void sync_state(base::time_point now);
    void note_readiness(base::time_point now);
    [[nodiscard]] bool may_end(base::time_point now);
    [[nodiscard]] status_answer answer_ready(const message_head& head) const;
    [[nodiscard]] status_answer answer_directory(const message_head& head);
    [[nodiscard]] status_answer answer_control(const message_head& head) const;
    [[nodiscard]] std::vector<std::string> addresses_for(const directory_question& question) const;
    /// The callers' addresses of ready VMs; of all regions when `region` is empty.
    [[nodiscard]] std::vector<std::string> callers_addresses(const fleet::region_name& region,
                                                             base::time_point now) const;

    boost::asio::io_context m_loop;
    front_core m_core;
    settings_source m_reload;
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_timer;
    std::optional<state_reader> m_reader;
    std::optional<gossip> m_gossip;
    std::unique_ptr<request_listener> m_callers;
    std::unique_ptr<request_listener> m_peers;
    std::vector<std::unique_ptr<status_server>> m_status;
    std::shared_ptr<const fleet::configuration> m_synced_config;
    std::uint64_t m_synced_generation = 0;
    readiness m_told_readiness = readiness::no_configuration;
    std::optional<base::time_point> m_ticked_at;
    bool m_has_stopped_accepting = false;
    /// When ending would last have cut something off.
    base::time_point m_busy_at{};
    base::time_point m_slow_ticked_at{};
    base::time_point m_settings_read_at{};
    base::time_point m_started_at{};
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_FRONT_DAEMON_HPP
