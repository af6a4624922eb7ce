#include "request_crowd.hpp"

#include <array>
#include <string_view>
#include <thread>
#include <utility>

namespace chicorylink::process_tests {
namespace {

using error_code = boost::system::error_code;

/// Bytes of repeated pieces in one block.
constexpr std::size_t block_bytes = 32UL * 1024;

/// Most bytes that one connection sends in its turn, so that all of them grow together.
constexpr std::size_t turn_bytes = 64UL * 1024;

} // namespace

request_crowd::member::member(boost::asio::io_context& loop, crowd_message to_send)
    : socket(loop), message(std::move(to_send))
{
    while (!message.piece.empty() && block.size() < block_bytes) {
        block += message.piece;
    }
    if (!message.piece.empty()) {
        message.repeated_bytes -= message.repeated_bytes % message.piece.size();
    }
}

std::size_t request_crowd::member::total() const
{
    return message.begin.size() + message.repeated_bytes + message.end.size();
}

std::string_view request_crowd::member::next() const
{
    auto at = sent_bytes;
    if (at < message.begin.size()) {
        return std::string_view{message.begin}.substr(at);
    }
    at -= message.begin.size();
    if (at < message.repeated_bytes) {
        return std::string_view{block}.substr(at % block.size(), message.repeated_bytes - at);
    }
    return std::string_view{message.end}.substr(at - message.repeated_bytes);
}

void request_crowd::add(crowd_message message)
{
    auto& added = m_members.emplace_back(m_loop, std::move(message));
    added.socket.open(m_to.protocol());
    added.socket.connect(m_to);
    added.socket.non_blocking(true);
}

std::size_t request_crowd::send_some(member& sender)
{
    std::size_t taken = 0;
    error_code problem;
    while (!problem && taken < turn_bytes && sender.sent_bytes < sender.total()) {
        const auto count = sender.socket.write_some(
            boost::asio::buffer(sender.next().data(), sender.next().size()), problem);
        taken += count;
        sender.sent_bytes += count;
    }
    // A response is read and dropped, as callers read theirs.
    std::array<char, 4096> response{};
    error_code read_problem;
    while (!read_problem) {
        (void)sender.socket.read_some(boost::asio::buffer(response), read_problem);
    }
    const auto is_fatal = [](const error_code& found) {
        return found && found != boost::asio::error::would_block;
    };
    sender.ended = is_fatal(problem) || is_fatal(read_problem);
    return taken;
}

void request_crowd::send_until_quiet(std::chrono::milliseconds quiet_time,
                                     std::chrono::seconds limit)
{
    const auto start = std::chrono::steady_clock::now();
    auto progress_at = start;
    for (auto now = start; now - start < limit && now - progress_at < quiet_time;
         now = std::chrono::steady_clock::now()) {
        std::size_t taken = 0;
        bool is_pending = false;
        for (auto& sender : m_members) {
            if (!sender.ended) {
                taken += send_some(sender);
                is_pending = is_pending || (!sender.ended && sender.sent_bytes < sender.total());
            }
        }
        if (taken > 0) {
            progress_at = now;
        }
        else if (!is_pending) {
            return;
        }
        else {
            std::this_thread::sleep_for(std::chrono::milliseconds{5});
        }
    }
}

} // namespace chicorylink::process_tests
