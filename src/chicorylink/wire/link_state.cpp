#include "chicorylink/wire/link_state.hpp"

#include "chicorylink/wire/frame_codec.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace chicorylink::wire {
namespace {

/// Credit is returned once one of this many equal parts of the window was consumed.
constexpr std::uint64_t window_update_divisor = 4;

base::leaf::error_id protocol_error(std::string message)
{
    return base::fail(base::error_kind::invalid_message, std::move(message),
                      "run the same version on all VMs");
}

std::vector<std::uint8_t> copy(std::span<const std::uint8_t> bytes)
{
    return {bytes.begin(), bytes.end()};
}

} // namespace

link_state::link_state(link_role role, base::vm_id self, base::incarnation process,
                       const link_limits& limits, base::time_point now)
    : m_role(role), m_self(self), m_process(process), m_limits(limits),
      m_reader(limits.frame_bytes), m_created(now), m_received_at(now), m_sent_at(now)
{
    if (role == link_role::dialer) {
        push_hello();
    }
}

base::result<void> link_state::receive(std::span<const std::uint8_t> bytes, base::time_point now,
                                       std::vector<link_event>& events)
{
    m_received_at = now;
    return m_reader.read(
        bytes, [&](std::span<const std::uint8_t> body) { return handle_frame(body, events); });
}

base::result<void> link_state::handle_frame(std::span<const std::uint8_t> body,
                                            std::vector<link_event>& events)
{
    BOOST_LEAF_AUTO(value, decode_frame(body));
    if (value.kind == frame_kind::hello) {
        return handle_hello(value, events);
    }
    if (!m_established) {
        return protocol_error("a peer sent a frame before its hello was answered");
    }
    if (value.sender != m_peer_process) {
        ++m_counts.other_incarnation;
        return {};
    }
    switch (value.kind) {
    case frame_kind::control:
        events.push_back({.type = link_event::content::control,
                          .channel = value.channel,
                          .payload = copy(value.payload)});
        return {};
    case frame_kind::open:
        return handle_open(value, events);
    case frame_kind::data:
        return handle_data(value, events);
    case frame_kind::window:
        if (value.credit > m_limits.stream_window) {
            return protocol_error("a peer gave more credit than a window");
        }
        m_scheduler.add_credit(value.stream, value.credit);
        return {};
    case frame_kind::end:
        handle_end(value, events);
        return {};
    case frame_kind::reset:
        handle_reset(value, events);
        return {};
    case frame_kind::hello:
    case frame_kind::ping:
        return {};
    }
    return {};
}

base::result<void> link_state::handle_hello(const frame& value, std::vector<link_event>& events)
{
    if (m_hello_received) {
        return protocol_error("a peer sent a second hello");
    }
    if (value.version != protocol_version) {
        return protocol_error(fmt::format("a peer speaks protocol version {} in place of {}",
                                          value.version, protocol_version));
    }
    m_hello_received = true;
    m_peer_process = value.sender;
    m_established = m_role == link_role::dialer;
    events.push_back({.type = link_event::content::hello, .vm = value.vm, .process = value.sender});
    return {};
}

base::result<void> link_state::handle_open(const frame& value, std::vector<link_event>& events)
{
    if (m_role == link_role::dialer) {
        return protocol_error("a peer opened a stream on a connection that it did not open");
    }
    if (value.stream <= m_last_opened) {
        ++m_counts.repeated_open;
        return {};
    }
    m_last_opened = value.stream;
    if (m_streams.size() >= m_limits.streams) {
        ++m_counts.refused_open;
        push({.kind = frame_kind::reset,
              .stream = value.stream,
              .reason = reset_reason::overloaded});
        return {};
    }
    add_stream(value.stream);
    events.push_back({.type = link_event::content::opened,
                      .stream = value.stream,
                      .payload = copy(value.payload)});
    return {};
}

base::result<void> link_state::handle_data(const frame& value, std::vector<link_event>& events)
{
    const auto found = m_streams.find(value.stream);
    if (found == m_streams.end() || found->second.end_received) {
        ++m_counts.unknown_stream;
        return {};
    }
    if (value.payload.size() > found->second.receivable) {
        return protocol_error("a peer sent more bytes of a stream than its window allows");
    }
    found->second.receivable -= value.payload.size();
    events.push_back({.type = link_event::content::data,
                      .stream = value.stream,
                      .payload = copy(value.payload)});
    return {};
}

void link_state::handle_end(const frame& value, std::vector<link_event>& events)
{
    const auto found = m_streams.find(value.stream);
    if (found == m_streams.end() || found->second.end_received) {
        ++m_counts.unknown_stream;
        return;
    }
    found->second.end_received = true;
    events.push_back({.type = link_event::content::ended, .stream = value.stream});
    close_if_finished(value.stream);
}

void link_state::handle_reset(const frame& value, std::vector<link_event>& events)
{
    if (!has(value.stream)) {
        ++m_counts.unknown_stream;
        return;
    }
    m_scheduler.drop(value.stream);
    m_streams.erase(value.stream);
    events.push_back(
        {.type = link_event::content::reset, .stream = value.stream, .reason = value.reason});
}

void link_state::accept_peer()
{
    m_established = true;
    push_hello();
}

bool link_state::send_control(channel_id channel, std::span<const std::uint8_t> message)
{
    const auto size = message.size() + envelope_bytes;
    if (!m_established || size > m_limits.frame_bytes ||
        m_scheduler.control_bytes() + size > m_limits.control_buffer) {
        return false;
    }
    push({.kind = frame_kind::control, .channel = channel, .payload = message});
    return true;
}

std::optional<stream_number> link_state::open(std::span<const std::uint8_t> header)
{
    const auto size = header.size() + envelope_bytes;
    if (!m_established || m_role != link_role::dialer || size > send_scheduler::chunk_bytes ||
        m_streams.size() >= m_limits.streams ||
        m_scheduler.control_bytes() + size > m_limits.control_buffer) {
        return std::nullopt;
    }
    m_last_opened = stream_number{m_last_opened.value() + 1};
    add_stream(m_last_opened);
    push({.kind = frame_kind::open, .stream = m_last_opened, .payload = header});
    return m_last_opened;
}

send_result link_state::send(stream_number stream, std::span<const std::uint8_t> data)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end() || found->second.finishing) {
        return send_result::closed;
    }
    if (!has_room(stream)) {
        if (!found->second.was_full) {
            found->second.was_full = true;
            m_full.push_back(stream);
        }
        return send_result::full;
    }
    m_scheduler.push_data(stream, data);
    return send_result::queued;
}

void link_state::finish(stream_number stream)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end() || found->second.finishing) {
        return;
    }
    found->second.finishing = true;
    m_scheduler.push_end(stream);
}

void link_state::reset(stream_number stream, reset_reason reason)
{
    if (m_streams.erase(stream) == 0) {
        return;
    }
    m_scheduler.drop(stream);
    push({.kind = frame_kind::reset, .stream = stream, .reason = reason});
}

void link_state::consume(stream_number stream, std::size_t byte_count)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end() || found->second.end_received) {
        return;
    }
    auto& state = found->second;
    state.consumed += byte_count;
    if (state.consumed < m_limits.stream_window / window_update_divisor) {
        return;
    }
    state.receivable += state.consumed;
    push({.kind = frame_kind::window, .stream = stream, .credit = state.consumed});
    state.consumed = 0;
}

std::vector<stream_number> link_state::open_streams() const
{
    std::vector<stream_number> numbers;
    numbers.reserve(m_streams.size());
    for (const auto& [number, state] : m_streams) {
        numbers.push_back(number);
    }
    return numbers;
}

void link_state::take_output(std::vector<std::uint8_t>& out, std::size_t wanted,
                             base::time_point now)
{
    while (out.size() < wanted) {
        const auto item = m_scheduler.next();
        if (!item) {
            return;
        }
        m_sent_at = now;
        switch (item->type) {
        case outgoing_frame::content::encoded:
            out.insert(out.end(), item->bytes.begin(), item->bytes.end());
            break;
        case outgoing_frame::content::chunk:
            append_frame(out, {.kind = frame_kind::data,
                               .sender = m_process,
                               .stream = item->stream,
                               .payload = item->bytes});
            break;
        case outgoing_frame::content::end:
            append_frame(out,
                         {.kind = frame_kind::end, .sender = m_process, .stream = item->stream});
            m_streams.at(item->stream).end_sent = true;
            close_if_finished(item->stream);
            break;
        }
    }
}

std::vector<stream_number> link_state::take_writable()
{
    std::vector<stream_number> writable;
    std::erase_if(m_full, [&](stream_number stream) {
        const auto found = m_streams.find(stream);
        if (found == m_streams.end()) {
            return true;
        }
        if (!has_room(stream)) {
            return false;
        }
        found->second.was_full = false;
        writable.push_back(stream);
        return true;
    });
    return writable;
}

std::vector<stream_number> link_state::take_finished()
{
    return std::exchange(m_finished, {});
}

bool link_state::check_time(base::time_point now)
{
    if (!m_established) {
        return now - m_created < m_limits.handshake_timeout;
    }
    if (now - m_received_at >= m_limits.dead_after) {
        return false;
    }
    if (now - m_sent_at >= m_limits.ping_interval) {
        m_sent_at = now;
        push({.kind = frame_kind::ping});
    }
    return true;
}

base::time_point link_state::next_check() const
{
    if (!m_established) {
        return m_created + m_limits.handshake_timeout;
    }
    return std::min(m_received_at + m_limits.dead_after, m_sent_at + m_limits.ping_interval);
}

void link_state::push(frame value)
{
    value.sender = m_process;
    std::vector<std::uint8_t> encoded;
    append_frame(encoded, value);
    m_scheduler.push_control(std::move(encoded));
}

void link_state::push_hello()
{
    push({.kind = frame_kind::hello, .vm = m_self, .version = protocol_version});
}

bool link_state::has_room(stream_number stream) const
{
    return m_scheduler.pending(stream) < m_limits.stream_buffer &&
           m_scheduler.data_bytes() < m_limits.link_buffer;
}

void link_state::add_stream(stream_number stream)
{
    m_streams[stream].receivable = m_limits.stream_window;
    m_scheduler.add_stream(stream, m_limits.stream_window);
}

void link_state::close_if_finished(stream_number stream)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end() || !found->second.end_sent || !found->second.end_received) {
        return;
    }
    m_streams.erase(found);
    m_scheduler.drop(stream);
    m_finished.push_back(stream);
}

} // namespace chicorylink::wire
