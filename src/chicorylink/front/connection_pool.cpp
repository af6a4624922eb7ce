#include "chicorylink/front/connection_pool.hpp"

#include "chicorylink/front/endpoint.hpp"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

namespace chicorylink::front {
namespace {

/// Connections are discarded this long before the remote end closes them, so that no request is
/// sent while the close is in transit.
constexpr base::milliseconds close_margin{700};

} // namespace

connection_pool::~connection_pool()
{
    for (auto& [address, entry] : m_entries) {
        for (auto& connection : entry.idle) {
            connection.channel->close();
        }
    }
}

std::shared_ptr<tcp_channel> connection_pool::take_idle(const std::string& address,
                                                        base::milliseconds max_idle,
                                                        base::time_point now)
{
    const auto found = m_entries.find(address);
    if (found == m_entries.end()) {
        return nullptr;
    }
    auto& idle = found->second.idle;
    // The last entry was used most recently, so it is the most likely to be alive.
    if (idle.empty() || now - idle.back().since > max_idle || now >= idle.back().until ||
        !idle.back().channel->is_open()) {
        return nullptr;
    }
    auto channel = std::move(idle.back().channel);
    idle.pop_back();
    return channel;
}

void connection_pool::open(const std::string& address, base::milliseconds limit,
                           connect_handler done)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint) {
        boost::asio::post(m_loop, [done = std::move(done)] { done(nullptr, "not an address"); });
        return;
    }
    ++m_entries[address].open;
    tcp_channel::connect(m_loop, *endpoint, limit,
                         [this, address, done = std::move(done)](
                             std::shared_ptr<tcp_channel> channel, const std::string& problem) {
                             if (!channel) {
                                 note_closed(address);
                             }
                             done(std::move(channel), problem);
                         });
}

void connection_pool::put_idle(const std::string& address,
                               const std::shared_ptr<tcp_channel>& channel,
                               base::milliseconds idle_timeout, base::time_point now)
{
    if (idle_timeout <= close_margin || !channel->is_open()) {
        channel->close();
        note_closed(address);
        return;
    }
    m_entries[address].idle.push_back({channel, now, now + idle_timeout - close_margin});
    const auto* key = channel.get();
    // Bytes received on an idle connection belong to no request.
    channel->start({[this, address, key](std::string_view) { remove(address, key); },
                    [this, address, key](channel_end) { remove(address, key); },
                    {}});
}

void connection_pool::remove(const std::string& address, const tcp_channel* channel)
{
    auto& idle = m_entries[address].idle;
    const auto found = std::find_if(idle.begin(), idle.end(), [&](const idle_connection& entry) {
        return entry.channel.get() == channel;
    });
    if (found != idle.end()) {
        const auto closed = std::move(found->channel);
        idle.erase(found);
        closed->close();
        note_closed(address);
    }
}

void connection_pool::note_closed(const std::string& address)
{
    auto& entry = m_entries[address];
    entry.open -= std::min<std::size_t>(entry.open, 1);
}

std::size_t connection_pool::open_count(const std::string& address) const
{
    const auto found = m_entries.find(address);
    return found == m_entries.end() ? 0 : found->second.open;
}

bool connection_pool::has_idle(const std::string& address) const
{
    const auto found = m_entries.find(address);
    return found != m_entries.end() && !found->second.idle.empty();
}

void connection_pool::close_idle(const std::string& address)
{
    const auto found = m_entries.find(address);
    if (found == m_entries.end()) {
        return;
    }
    for (auto& connection : std::exchange(found->second.idle, {})) {
        connection.channel->close();
        note_closed(address);
    }
}

void connection_pool::tick(base::time_point now)
{
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        auto& idle = it->second.idle;
        const auto expired =
            std::partition(idle.begin(), idle.end(), [&](const idle_connection& connection) {
                return now < connection.until;
            });
        const auto count = static_cast<std::size_t>(std::distance(expired, idle.end()));
        for (auto connection = expired; connection != idle.end(); ++connection) {
            connection->channel->close();
        }
        idle.erase(expired, idle.end());
        it->second.open -= std::min(it->second.open, count);
        if (it->second.open == 0 && idle.empty()) {
            it = m_entries.erase(it);
        }
        else {
            ++it;
        }
    }
}

} // namespace chicorylink::front
