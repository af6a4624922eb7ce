#include "chicorylink/front/http_get_client.hpp"

#include "chicorylink/base/boot_clock.hpp"
#include "chicorylink/front/endpoint.hpp"
#include "chicorylink/front/tcp_channel.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>
#include <fmt/format.h>

namespace chicorylink::front {
namespace {

constexpr std::size_t max_head_bytes = 8UL * 1024;
/// Larger than the store's largest page including its encoding.
constexpr std::uint64_t max_body_bytes = 4UL * 1024 * 1024;

/// How long a body may take in all, and between two pieces. The largest one takes over three
/// seconds on a link of 10 Mbit/s.
constexpr base::milliseconds max_body_time{4000};
constexpr base::milliseconds max_body_pause{800};

} // namespace

http_get_client::http_get_client(boost::asio::io_context& loop, std::string address)
    : m_loop(loop), m_timer(loop), m_address(std::move(address))
{
}

http_get_client::~http_get_client()
{
    *m_alive = false;
    close();
}

void http_get_client::close()
{
    if (const auto channel = std::exchange(m_channel, nullptr)) {
        channel->close();
    }
}

void http_get_client::get(std::string_view target, base::milliseconds limit, completion on_done)
{
    m_on_done = std::move(on_done);
    m_sent_at = base::boot_now();
    m_body_begun_at = std::nullopt;
    const auto request_number = ++m_request_number;
    m_parser =
        std::make_unique<message_parser>(message_kind::response, max_head_bytes, max_body_bytes);
    set_time_limit(limit);
    const auto bytes = fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\n\r\n", target, m_address);
    if (m_channel && m_channel->is_open()) {
        send(bytes);
        return;
    }
    const auto endpoint = parse_endpoint(m_address);
    if (!endpoint) {
        boost::asio::post(m_loop, [this, alive = m_alive] {
            if (*alive && m_on_done) {
                complete({0, {}, "not an IP:port address", false, m_sent_at, {}});
            }
        });
        return;
    }
    tcp_channel::connect(
        m_loop, *endpoint, limit,
        [this, alive = m_alive, request_number, bytes](const std::shared_ptr<tcp_channel>& channel,
                                                       const std::string& problem) {
            if (!*alive || request_number != m_request_number || !m_on_done) {
                if (channel) {
                    channel->close();
                }
                return;
            }
            if (!channel) {
                complete({0, {}, problem, false, m_sent_at, {}});
                return;
            }
            m_channel = channel;
            m_channel->start(
                {[this](std::string_view data) { on_data(data); },
                 [this](channel_end) {
                     if (m_on_done) {
                         complete({0, {}, "the connection ended", false, m_sent_at, {}});
                     }
                     else {
                         m_channel = nullptr;
                     }
                 },
                 {}});
            send(bytes);
        });
}

void http_get_client::set_time_limit(base::milliseconds limit)
{
    m_timer.expires_after(limit);
    m_timer.async_wait(
        [this, alive = m_alive, number = m_request_number](boost::system::error_code stopped) {
            if (!stopped && *alive && number == m_request_number && m_on_done) {
                complete({0, {}, "no answer in time", false, m_sent_at, {}});
            }
        });
}

void http_get_client::send(const std::string& bytes)
{
    m_channel->send(bytes);
}

void http_get_client::on_data(std::string_view bytes)
{
    if (!m_on_done) {
        close();
        return;
    }
    m_parser->feed(bytes);
    if (m_parser->problem() != parse_problem::none) {
        complete({0, {}, "the answer is not HTTP or is too large", true, m_sent_at, {}});
        return;
    }
    if (m_parser->is_complete()) {
        auto body = m_parser->take_body();
        // Further bytes belong to no request.
        if (!m_parser->head().keep_alive || !m_parser->take_remaining().empty()) {
            close();
        }
        complete({m_parser->head().status,
                  std::move(body),
                  {},
                  false,
                  m_sent_at,
                  m_parser->head().fields});
        return;
    }
    if (m_parser->has_head()) {
        const auto now = base::boot_now();
        const auto begun_at = m_body_begun_at.value_or(now);
        m_body_begun_at = begun_at;
        const auto left =
            std::chrono::duration_cast<base::milliseconds>(begun_at + max_body_time - now);
        set_time_limit(std::clamp(left, base::milliseconds{0}, max_body_pause));
    }
}

void http_get_client::complete(const read_result& result)
{
    m_timer.cancel();
    if (result.status == 0) {
        close();
    }
    const auto on_done = std::exchange(m_on_done, nullptr);
    on_done(result);
}

} // namespace chicorylink::front
