#include "chicorylink/front/front_daemon.hpp"

#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/front/endpoint.hpp"
#include "chicorylink/front/exchange.hpp"
#include "chicorylink/front/response_buffers.hpp"

#include <algorithm>
#include <csignal>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::front {
namespace {

using tcp = boost::asio::ip::tcp;
using udp = boost::asio::ip::udp;

constexpr int listen_backlog = 1024;

/// How often deadlines, silent targets and due heartbeats are checked.
constexpr base::milliseconds tick_interval{25};
/// How often idle connections are checked.
constexpr base::milliseconds slow_tick_interval{250};
/// How often the settings file is read again without a signal.
constexpr base::milliseconds settings_interval{2000};

/// A tick this late (20 tick intervals) means that the process was paused or got no CPU time.
constexpr base::milliseconds pause_threshold{500};

/// A stopping process exits after this long without requests or responses in progress: requests
/// still in the system's buffers arrive within that time.
constexpr base::milliseconds quiet_time{150};

/// Callers who still come are refused for this long after the last request has ended. They must not
/// delay the restart of the VM further.
constexpr base::milliseconds refusal_time{2000};

/// How long the process stays at most after it has ended the requests in progress, until the last
/// responses have left it.
constexpr base::milliseconds flush_time{200};

base::result<tcp::acceptor> open_acceptor(boost::asio::io_context& loop, const std::string& address)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint) {
        return base::fail(base::error_kind::invalid_setting,
                          fmt::format("'{}' is not IP:port", address), "correct the settings");
    }
    tcp::acceptor acceptor(loop);
    boost::system::error_code problem;
    acceptor.open(endpoint->protocol(), problem);
    if (!problem) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), problem);
    }
    if (!problem) {
        acceptor.bind(*endpoint, problem);
    }
    if (!problem) {
        acceptor.listen(listen_backlog, problem);
    }
    if (problem) {
        return base::fail(base::error_kind::invalid_setting,
                          fmt::format("can't listen on {}: {}", address, problem.message()),
                          "use an address of this VM and a free port");
    }
    return acceptor;
}

base::result<udp::socket> open_datagrams(boost::asio::io_context& loop, const std::string& address)
{
    const auto endpoint = parse_endpoint(address);
    udp::socket socket(loop);
    boost::system::error_code problem;
    socket.open(udp::v4(), problem);
    if (!problem && endpoint) {
        socket.bind({endpoint->address(), endpoint->port()}, problem);
    }
    if (problem || !endpoint) {
        return base::fail(base::error_kind::invalid_setting,
                          fmt::format("can't bind a UDP socket to {}: {}", address,
                                      problem ? problem.message() : "not IP:port"),
                          "use a free port");
    }
    return socket;
}

} // namespace

front_daemon::front_daemon(front_settings settings, const platform_protocol& protocol,
                           settings_source reload)
    : m_loop(1), m_core(m_loop, std::move(settings), protocol, base::boot_now()),
      m_reload(std::move(reload)), m_signals(m_loop, SIGTERM, SIGINT, SIGHUP), m_timer(m_loop),
      m_started_at(base::boot_now())
{
    ::fcntl(STDOUT_FILENO, F_SETFL, ::fcntl(STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

base::result<std::unique_ptr<front_daemon>> front_daemon::start(front_settings settings,
                                                                const platform_protocol& protocol,
                                                                settings_source reload)
{
    std::unique_ptr<front_daemon> daemon(
        new front_daemon(std::move(settings), protocol, std::move(reload)));
    BOOST_LEAF_CHECK(daemon->listen());
    return daemon;
}

base::result<void> front_daemon::listen()
{
    const auto& settings = m_core.settings;
    const auto peer_address = fmt::format("{}:{}", settings.self.ip, settings.peer_port);
    BOOST_LEAF_AUTO(callers, open_acceptor(m_loop, settings.callers_address));
    BOOST_LEAF_AUTO(peers, open_acceptor(m_loop, peer_address));
    BOOST_LEAF_AUTO(ready, open_acceptor(m_loop, settings.ready_address));
    BOOST_LEAF_AUTO(directory, open_acceptor(m_loop, settings.directory_address));
    BOOST_LEAF_AUTO(control, open_acceptor(m_loop, settings.control_address));
    BOOST_LEAF_AUTO(datagrams, open_datagrams(m_loop, peer_address));
    BOOST_LEAF_AUTO(
        placement_datagrams,
        open_datagrams(m_loop, fmt::format("{}:{}", settings.self.ip, settings.placement_port())));
    m_core.placements.emplace(m_core, std::move(placement_datagrams));
    m_reader.emplace(m_core, [this] {
        const auto now = base::boot_now();
        sync_state(now);
        if (m_core.members.is_delegate(now)) {
            m_gossip->announce(now);
        }
    });
    m_gossip.emplace(m_core, std::move(datagrams),
                     [this](const fleet::heartbeat& message) { m_reader->on_heartbeat(message); });
    m_callers =
        std::make_unique<request_listener>(m_core, std::move(callers), connection_side::caller);
    m_peers = std::make_unique<request_listener>(m_core, std::move(peers), connection_side::peer);
    const auto serve = [this](tcp::acceptor acceptor, status_server::handler respond) {
        m_status_servers.push_back(
            std::make_unique<status_server>(m_loop, std::move(acceptor), std::move(respond)));
    };
    serve(std::move(ready), [this](const message_head& head) { return respond_ready(head); });
    serve(std::move(directory),
          [this](const message_head& head) { return respond_directory(head); });
    serve(std::move(control), [this](const message_head& head) { return respond_control(head); });
    return {};
}

void front_daemon::run()
{
    write_log(m_core, log_event(m_core, "started")
                          .add("callers", m_core.settings.callers_address)
                          .add("region", m_core.settings.self.region.text())
                          .add("data_center", m_core.settings.self.data_center.text())
                          .add("run", m_core.settings.self.run.value())
                          .add("first_start", m_core.settings.start == fleet::fleet_start::first));
    m_reader->start();
    wait_for_signal();
    schedule_tick();
    // An exception leaves run(); the loop is entered again for the remaining work.
    while (!m_loop.stopped()) {
        run_guarded(m_core, "loop", [this] { m_loop.run(); });
    }
    write_log(m_core, log_event(m_core, "stopped"));
    m_core.log.flush();
}

void front_daemon::wait_for_signal()
{
    m_signals.async_wait([this](boost::system::error_code problem, int signal) {
        if (problem) {
            return;
        }
        if (signal == SIGHUP) {
            reload_settings();
        }
        else {
            begin_shutdown();
        }
        wait_for_signal();
    });
}

void front_daemon::begin_shutdown()
{
    if (m_core.leaving_since) {
        return;
    }
    const auto now = base::boot_now();
    // The platform counts from when it sent the signal. It may have waited since the tick before
    // the last one, since a late tick is handled before it.
    m_core.leaving_since = std::clamp(m_previous_tick_at.value_or(now), now - pause_threshold, now);
    const auto delay = std::chrono::duration_cast<base::milliseconds>(now - *m_core.leaving_since);
    write_log(m_core, log_event(m_core, "leaving")
                          .add("requests", std::uint64_t{m_core.exchanges.size()})
                          .add("delay_ms", delay.count()));
    m_gossip->announce(now);
}

void front_daemon::reload_settings()
{
    m_settings_read_at = base::boot_now();
    base::leaf::try_handle_all(
        [&]() -> base::result<void> {
            BOOST_LEAF_AUTO(reloaded, m_reload());
            m_core.members.set_seeds_and_regions(reloaded.seed_ips, region_names(reloaded));
            if (reloaded.seed_ips != m_core.settings.seed_ips) {
                write_log(m_core, log_event(m_core, "settings_reloaded").add("changed", "seeds"));
            }
            m_core.settings.seed_ips = reloaded.seed_ips;
            m_core.settings.regions = reloaded.regions;
            m_core.settings.bounds = reloaded.bounds;
            m_core.retries.set_bound(reloaded.bounds.retries);
            return {};
        },
        [&](const base::error& problem) {
            write_log(
                m_core,
                log_event(m_core, "settings_rejected").add("reason", base::describe(problem)));
        },
        [] {});
}

void front_daemon::schedule_tick()
{
    m_timer.expires_after(tick_interval);
    m_timer.async_wait([this](boost::system::error_code stopped) {
        if (!stopped) {
            tick();
        }
    });
}

bool front_daemon::detect_pause(base::time_point now)
{
    const auto last_tick = std::exchange(m_last_tick_at, now);
    m_previous_tick_at = last_tick;
    if (!last_tick || now - *last_tick < pause_threshold) {
        return false;
    }
    m_core.resumed_at = now;
    m_core.counters.add("pauses_total");
    write_log(m_core,
              log_event(m_core, "process_paused")
                  .add("paused_ms",
                       std::chrono::duration_cast<base::milliseconds>(now - *last_tick).count()));
    return true;
}

void front_daemon::tick()
{
    const auto now = base::boot_now();
    run_guarded(m_core, "tick", [&] { run_tick(now); });
    m_core.log.flush();
    const auto end_at = end_of_requests(m_core);
    if (end_at && now >= *end_at && !m_core.has_ended_requests) {
        run_guarded(m_core, "end_requests", [&] { end_requests(now); });
    }
    if (can_exit(now)) {
        const auto answer_queries = [this] {
            for (const auto& server : m_status_servers) {
                server->answer_arrived(m_loop);
            }
        };
        run_guarded(m_core, "exit", [&] {
            // What is read only in part now is refused.
            m_core.has_ended_requests = true;
            m_callers->read_arrived();
            m_peers->read_arrived();
            answer_queries();
        });
        // Requests that were read behind others, and connections that the loop has accepted, are
        // handled by tasks posted before this one.
        boost::asio::post(m_loop, [this, now, answer_queries] {
            run_guarded(m_core, "exit", answer_queries);
            m_callers->close_all(now);
            m_peers->close_all(now);
            m_loop.stop();
        });
        return;
    }
    schedule_tick();
}

void front_daemon::end_requests(base::time_point now)
{
    m_core.has_ended_requests = true;
    write_log(m_core, log_event(m_core, "ending_requests")
                          .add("requests", std::uint64_t{m_core.exchanges.size()}));
    for (auto* active : std::vector<exchange*>(m_core.exchanges.begin(), m_core.exchanges.end())) {
        active->on_stop(now);
    }
    m_callers->refuse_unfinished(now);
    m_peers->refuse_unfinished(now);
}

void front_daemon::run_tick(base::time_point now)
{
    const bool was_paused = detect_pause(now);
    if (was_paused) {
        m_gossip->receive_pending();
    }
    for (const auto& change : m_core.state.tick(now)) {
        write_log(
            m_core,
            log_event(m_core, change.event).add("name", change.name).add("detail", change.detail));
    }
    sync_state(now);
    if (!was_paused) {
        // After a pause, responses that have arrived are read before any request times out.
        tick_exchanges(now);
    }
    relieve_request_memory(m_core, now);
    m_core.placements->tick(now);
    m_gossip->tick(now);
    m_reader->tick(now);
    if (now - m_last_slow_tick_at >= slow_tick_interval) {
        slow_tick(now);
    }
}

void front_daemon::tick_exchanges(base::time_point now)
{
    const std::vector<exchange*> running(m_core.exchanges.begin(), m_core.exchanges.end());
    for (auto* active : running) {
        if (m_core.exchanges.contains(active)) {
            run_guarded(m_core, "exchange", [&] { active->tick(now); });
        }
    }
}

void front_daemon::slow_tick(base::time_point now)
{
    m_last_slow_tick_at = now;
    update_quarantine(m_core, now);
    const auto fleet_size = m_core.members.size(now);
    m_core.quota.set_fleet(fleet_size.known, fleet_size.live, now);
    m_core.connections.tick(now);
    m_callers->tick(now);
    m_peers->tick(now);
    for (const auto& server : m_status_servers) {
        server->tick(now);
    }
    log_readiness_change(now);
    log_buffers_change();
    if (now - m_settings_read_at >= settings_interval) {
        reload_settings();
    }
}

void front_daemon::sync_state(base::time_point now)
{
    const auto& config = m_core.state.config();
    const bool new_config = config != m_synced_config;
    if (new_config && config) {
        m_core.quota.set_teams(config->teams(), now);
    }
    if (new_config || m_core.state.generation() != m_synced_generation) {
        m_core.pool.sync(m_core.state, m_core.settings.self.region, m_core.settings.regions, now);
        m_synced_config = config;
        m_synced_generation = m_core.state.generation();
    }
}

void front_daemon::log_buffers_change()
{
    const auto& buffers = *m_core.response_bytes;
    m_core.counters.set("response_bytes_held", static_cast<double>(buffers.held()));
    if (std::exchange(m_logged_full_buffers, buffers.is_full()) != buffers.is_full()) {
        write_log(m_core, log_event(m_core, buffers.is_full() ? "response_buffers_full"
                                                              : "response_buffers_freed")
                              .add("held_bytes", std::uint64_t{buffers.held()})
                              .add("limit_bytes", std::uint64_t{buffers.limit()})
                              .add("requests", std::uint64_t{m_core.exchanges.size()}));
    }
}

void front_daemon::log_readiness_change(base::time_point now)
{
    const auto current = readiness_of(m_core, now);
    if (current != m_logged_readiness) {
        m_logged_readiness = current;
        write_log(m_core, log_event(m_core, "readiness").add("state", to_string(current)));
    }
}

bool front_daemon::can_exit(base::time_point now)
{
    if (!m_core.leaving_since) {
        return false;
    }
    if (accepts_new_requests(m_core, now) || !m_core.exchanges.empty()) {
        m_last_request_at = now;
    }
    if (m_last_request_at == now || m_callers->is_busy(now) || m_peers->is_busy(now)) {
        m_last_busy_at = now;
    }
    const bool is_quiet = now - m_last_busy_at >= quiet_time;
    const bool has_refused_long = now - m_last_request_at >= refusal_time;
    // Until then callers who still come are refused and told to return: closing the listener resets
    // connections whose caller has sent a request while the connection is being set up.
    if ((is_quiet || has_refused_long || m_core.has_ended_requests) &&
        !std::exchange(m_has_stopped_accepting, true) &&
        m_callers->stop_accepting() + m_peers->stop_accepting() > 0) {
        m_last_busy_at = now;
        return false;
    }
    return is_quiet || now >= *end_of_requests(m_core) + flush_time;
}

} // namespace chicorylink::front
