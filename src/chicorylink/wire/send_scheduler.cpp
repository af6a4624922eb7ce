#include "chicorylink/wire/send_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace chicorylink::wire {
namespace {

bool may_send(std::size_t pending, std::uint64_t credit, bool end)
{
    return pending > 0 ? credit > 0 : end;
}

} // namespace

void send_scheduler::push_control(std::vector<std::uint8_t> encoded)
{
    m_control_bytes += encoded.size();
    auto& lane = encoded.size() > chunk_bytes ? m_large_control : m_control;
    lane.push_back(std::move(encoded));
}

void send_scheduler::add_stream(stream_number stream, std::uint64_t credit)
{
    m_streams[stream].credit = credit;
}

void send_scheduler::push_data(stream_number stream, std::span<const std::uint8_t> data)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end() || data.empty()) {
        return;
    }
    auto& queue = found->second;
    queue.bytes.insert(queue.bytes.end(), data.begin(), data.end());
    m_data_bytes += data.size();
    enter_lane(stream, queue);
}

void send_scheduler::push_end(stream_number stream)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) {
        return;
    }
    found->second.end = true;
    enter_lane(stream, found->second);
}

void send_scheduler::add_credit(stream_number stream, std::uint64_t credit)
{
    const auto found = m_streams.find(stream);
    if (found == m_streams.end()) {
        return;
    }
    found->second.credit += credit;
    enter_lane(stream, found->second);
}

void send_scheduler::drop(stream_number stream)
{
    m_data_bytes -= pending(stream);
    m_streams.erase(stream);
}

std::size_t send_scheduler::pending(stream_number stream) const
{
    const auto found = m_streams.find(stream);
    return found == m_streams.end() ? 0 : found->second.bytes.size() - found->second.consumed;
}

std::optional<outgoing_frame> send_scheduler::next()
{
    if (!m_control.empty()) {
        outgoing_frame frame{.bytes = std::move(m_control.front())};
        m_control.pop_front();
        m_control_bytes -= frame.bytes.size();
        return frame;
    }
    if (m_urgent_in_row < urgent_run) {
        if (auto frame = next_urgent()) {
            ++m_urgent_in_row;
            return frame;
        }
    }
    m_urgent_in_row = 0;
    if (auto frame = next_bulk()) {
        return frame;
    }
    return next_urgent();
}

std::optional<outgoing_frame> send_scheduler::next_urgent()
{
    while (!m_urgent.empty()) {
        const auto number = m_urgent.front();
        m_urgent.pop_front();
        const auto found = m_streams.find(number);
        if (found != m_streams.end()) {
            return take_chunk(number, found->second);
        }
    }
    return std::nullopt;
}

std::optional<outgoing_frame> send_scheduler::next_bulk()
{
    m_large_control_turn = !m_large_control_turn;
    if (!m_large_control.empty() && (m_large_control_turn || m_bulk.empty())) {
        outgoing_frame frame{.bytes = std::move(m_large_control.front())};
        m_large_control.pop_front();
        m_control_bytes -= frame.bytes.size();
        return frame;
    }
    while (!m_bulk.empty()) {
        const auto number = m_bulk.front();
        m_bulk.pop_front();
        const auto found = m_streams.find(number);
        if (found != m_streams.end()) {
            return take_chunk(number, found->second);
        }
    }
    return std::nullopt;
}

outgoing_frame send_scheduler::take_chunk(stream_number number, stream_queue& stream)
{
    stream.in_lane = false;
    const auto waiting = stream.bytes.size() - stream.consumed;
    if (waiting == 0) {
        stream.end = false;
        return {.type = outgoing_frame::content::end, .stream = number};
    }
    const auto limit = stream.sent < urgent_bytes ? urgent_bytes : chunk_bytes;
    const auto size = std::min({waiting, limit, static_cast<std::size_t>(stream.credit)});
    const auto first = stream.bytes.begin() + static_cast<std::ptrdiff_t>(stream.consumed);
    outgoing_frame frame{.type = outgoing_frame::content::chunk, .stream = number};
    frame.bytes.assign(first, first + static_cast<std::ptrdiff_t>(size));
    stream.consumed += size;
    stream.credit -= size;
    stream.sent += size;
    m_data_bytes -= size;
    if (stream.consumed == stream.bytes.size()) {
        stream.bytes.clear();
        stream.consumed = 0;
    }
    else if (stream.consumed >= stream.bytes.size() / 2) {
        stream.bytes.erase(stream.bytes.begin(),
                           stream.bytes.begin() + static_cast<std::ptrdiff_t>(stream.consumed));
        stream.consumed = 0;
    }
    enter_lane(number, stream);
    return frame;
}

void send_scheduler::enter_lane(stream_number number, stream_queue& stream)
{
    const auto waiting = stream.bytes.size() - stream.consumed;
    if (stream.in_lane || !may_send(waiting, stream.credit, stream.end)) {
        return;
    }
    const bool urgent = stream.sent < urgent_bytes || waiting < urgent_bytes;
    (urgent ? m_urgent : m_bulk).push_back(number);
    stream.in_lane = true;
}

} // namespace chicorylink::wire
