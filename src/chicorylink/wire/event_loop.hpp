#ifndef CHICORYLINK_WIRE_EVENT_LOOP_HPP
#define CHICORYLINK_WIRE_EVENT_LOOP_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/wire/connection_table.hpp"
#include "chicorylink/wire/dial_plan.hpp"
#include "chicorylink/wire/file_descriptor.hpp"
#include "chicorylink/wire/link_event.hpp"
#include "chicorylink/wire/link_role.hpp"
#include "chicorylink/wire/network_settings.hpp"
#include "chicorylink/wire/peer_handler.hpp"
#include "chicorylink/wire/wakeup_queue.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace chicorylink::base {
class metrics;
struct error;
} // namespace chicorylink::base

namespace chicorylink::wire {

class tls_context;
struct connection;

/// @brief The network thread: connects, accepts, reads, writes and calls handlers.
class event_loop {
public:
    event_loop(network_settings settings, peer_handler handler, base::metrics& metrics,
               file_descriptor listener, std::shared_ptr<const tls_context> tls);
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;
    event_loop(event_loop&&) = delete;
    event_loop& operator=(event_loop&&) = delete;

    void start();
    void set_peers(std::vector<peer_address> peers);
    void set_tls(std::shared_ptr<const tls_context> tls);

    [[nodiscard]] const network_settings& settings() const { return m_settings; }
    [[nodiscard]] const connection_table& connections() const { return m_connections; }
    [[nodiscard]] wakeup_queue& wakeups() { return m_wake; }

private:
    using connection_ptr = std::shared_ptr<connection>;

    void run();
    [[nodiscard]] int wait_time() const;
    void handle_io(std::uint64_t source, std::uint32_t ready);
    void handle_ready(const connection_ptr& link, std::uint32_t ready);
    void take_new_peers();
    void dial_due();
    void dial(const peer_address& peer);
    void accept_all();
    void finish_connect(const connection_ptr& link);
    connection_ptr make_connection(link_role role, file_descriptor socket);
    void read(const connection_ptr& link);
    void write(const connection_ptr& link);
    void dispatch(const connection_ptr& link, link_event& event);
    void dispatch_open(const connection_ptr& link, const link_event& event);
    [[nodiscard]] bool handle_hello(const connection_ptr& link, const link_event& event);
    void close_older_connections(const connection_ptr& link);
    void after_progress(const connection_ptr& link);
    void check_connections();
    void report_counts(connection& link);
    void close(const connection_ptr& link);
    void close_failed(const connection_ptr& link, const base::error& failure);
    [[nodiscard]] std::size_t unidentified_connections() const;

    network_settings m_settings;
    peer_handler m_handler;
    base::metrics& m_metrics;
    file_descriptor m_listener;
    file_descriptor m_epoll;
    wakeup_queue m_wake;
    connection_table m_connections;

    std::mutex m_inbox_mutex;
    std::optional<std::vector<peer_address>> m_new_peers;
    std::shared_ptr<const tls_context> m_tls;

    dial_plan m_plan;
    std::uint64_t m_last_number;
    base::time_point m_now;
    base::time_point m_next_check;
    std::atomic<bool> m_stop{false};
    std::thread m_thread;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_EVENT_LOOP_HPP
