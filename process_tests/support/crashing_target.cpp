#include "crashing_target.hpp"

#include <algorithm>
#include <cstddef>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::process_tests {
namespace {

using http_exchange = scripted_target::http_exchange;
using std::chrono::milliseconds;

/// From the arrival of a deadly request to the begin of its answer.
constexpr milliseconds time_to_answer{100};

/// The work for an answer that is not streamed.
constexpr milliseconds plain_work_time{30};

/// Between the two halves of an event, so that a crash may come inside one.
constexpr milliseconds half_event_pause{20};

/// Each run with a number of this multiple keeps the name of the one before.
constexpr int runs_per_kept_name = 3;

bool begin_event(http_exchange& exchange, int number)
{
    return exchange.send(http_exchange::chunk(fmt::format("id: {}\nda", number)));
}

bool send_event(http_exchange& exchange, int number)
{
    return begin_event(exchange, number) && exchange.pause(half_event_pause) &&
           exchange.send(http_exchange::chunk(fmt::format("ta: {}\n\n", number)));
}

bool send_stream_head(http_exchange& exchange)
{
    return exchange.send(exchange.head("Content-Type: text/event-stream\r\n"
                                       "Transfer-Encoding: chunked\r\n"));
}

bool is_streamed(const http_exchange& exchange)
{
    return exchange.path().starts_with("/stream/");
}

int first_event(const http_exchange& exchange)
{
    const auto last = exchange.header("Last-Event-Id");
    return last.empty() ? 1 : std::stoi(last) + 1;
}

} // namespace

bool has_shared_part(const std::string& prompt_parts, std::string_view part)
{
    const auto last = prompt_parts.rfind(',');
    return last != std::string::npos &&
           ("," + prompt_parts.substr(0, last)).find(fmt::format(",{}:", part)) !=
               std::string::npos;
}

crashing_target::crashing_target(std::string name, std::string ip, unsigned short port,
                                 predicate is_deadly, on_restart restarted)
    : m_name(std::move(name)), m_ip(std::move(ip)), m_port(port), m_is_deadly(std::move(is_deadly)),
      m_restarted(std::move(restarted)), m_run{fmt::format("{}-1", m_name), 1}, m_target(listen()),
      m_restarting([this] { restart_after_crashes(); })
{
}

crashing_target::~crashing_target()
{
    {
        const std::lock_guard lock(m_mutex);
        m_is_ending = true;
    }
    m_changed.notify_all();
    m_restarting.join();
}

std::unique_ptr<scripted_target> crashing_target::listen()
{
    return std::make_unique<scripted_target>(
        [this](http_exchange& exchange) { return respond(exchange); }, m_ip, m_port);
}

bool crashing_target::begin_crash()
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_is_crashing) {
            return false;
        }
        m_is_crashing = true;
    }
    m_changed.notify_all();
    return true;
}

void crashing_target::crash()
{
    begin_crash();
}

void crashing_target::restart_after_crashes()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] { return m_is_crashing || m_is_ending; });
        lock.unlock();
        // Closes the port and all connections.
        m_target.reset();
        lock.lock();
        if (m_changed.wait_for(lock, down_time, [this] { return m_is_ending; })) {
            return;
        }
        const auto ended = m_run;
        ++m_run.number;
        if (m_run.number % runs_per_kept_name != 0) {
            m_run.name = fmt::format("{}-{}", m_name, m_run.number);
        }
        const auto next = m_run;
        lock.unlock();
        m_restarted(ended, next);
        m_target = listen();
        lock.lock();
        m_is_crashing = false;
    }
}

bool crashing_target::respond(http_exchange& exchange)
{
    if (const auto expected = exchange.header("X-Chicorylink-Expect-Instance");
        !expected.empty() && expected != current_run().name) {
        return exchange.send(exchange.response("", "X-Chicorylink-Not-Run: 1\r\n", 421));
    }
    if (m_is_deadly(exchange)) {
        return crash_on(exchange);
    }
    return is_streamed(exchange)
               ? stream(exchange)
               : exchange.pause(plain_work_time) && exchange.send(exchange.response("done"));
}

bool crashing_target::crash_on(http_exchange& exchange)
{
    std::size_t number = 0;
    {
        const std::lock_guard lock(m_mutex);
        m_deadly_arrivals.push_back({clock::now(), exchange.id()});
        number = m_deadly_arrivals.size();
    }
    if (!exchange.pause(time_to_answer)) {
        return false;
    }
    // By turns the caller has no answer yet, a head, and an event and a half of the stream.
    const auto first = first_event(exchange);
    if (is_streamed(exchange) && number % 3 != 0) {
        send_stream_head(exchange);
    }
    if (is_streamed(exchange) && number % 3 == 2) {
        send_event(exchange, first);
        begin_event(exchange, first + 1);
    }
    if (begin_crash()) {
        const std::lock_guard lock(m_mutex);
        m_deadly_crashes.push_back(clock::now());
    }
    return false;
}

bool crashing_target::stream(http_exchange& exchange)
{
    const int cut_each = m_cut_each;
    const bool is_cut = ++m_answers % std::max(cut_each, 1) == 0 && cut_each > 0;
    if (!exchange.pause(event_interval) || !send_stream_head(exchange)) {
        return false;
    }
    const auto first = first_event(exchange);
    for (int number = first; number <= events; ++number) {
        if (is_cut && number == first + 1) {
            return begin_event(exchange, number) && false;
        }
        if (!send_event(exchange, number) || !exchange.pause(event_interval - half_event_pause)) {
            return false;
        }
    }
    return exchange.send("0\r\n\r\n");
}

crashing_target::run crashing_target::current_run()
{
    const std::lock_guard lock(m_mutex);
    return m_run;
}

std::vector<crashing_target::arrival> crashing_target::deadly_arrivals()
{
    const std::lock_guard lock(m_mutex);
    return m_deadly_arrivals;
}

std::vector<crashing_target::clock::time_point> crashing_target::deadly_crashes()
{
    const std::lock_guard lock(m_mutex);
    return m_deadly_crashes;
}

} // namespace chicorylink::process_tests
