#include "chicorylink/front/connection_pool.hpp"

#include "chicorylink/front/endpoint.hpp"

#include <algorithm>
#include <utility>

namespace chicorylink::front {
namespace {

/// A connection is given up so long before the other side closes it, so that no request crosses
/// the close.
constexpr base::milliseconds safety_margin{700};

} // namespace

connection_pool::~connection_pool()
{
    for (auto& [address, entry] : m_places) {
        for (auto& connection : entry.idle) {
            connection.channel->close();
        }
    }
}

std::shared_ptr<tcp_channel> connection_pool::take_kept(const std::string& address,
                                                        base::milliseconds max_idle,
                                                        base::time_point now)
{
    const auto found = m_places.find(address);
    if (found == m_places.end()) {
        return nullptr;
    }
    auto& idle = found->second.idle;
    // The last one was used last, so it is the most likely to be alive.
    if (idle.empty() || now - idle.back().since > max_idle || now >= idle.back().until ||
        !idle.back().channel->is_open()) {
        return nullptr;
    }
    auto channel = std::move(idle.back().channel);
    idle.pop_back();
    return channel;
}

void connection_pool::open(const std::string& address, base::milliseconds limit, connected done)
{
    const auto endpoint = parse_endpoint(address);
    if (!endpoint) {
        done(nullptr, "not an address");
        return;
    }
    ++m_places[address].open;
    tcp_channel::connect(m_loop, *endpoint, limit,
                         [this, address, done = std::move(done)](
                             std::shared_ptr<tcp_channel> channel, const std::string& problem) {
                             if (!channel) {
                                 forget(address);
                             }
                             done(std::move(channel), problem);
                         });
}

void connection_pool::keep(const std::string& address, const std::shared_ptr<tcp_channel>& channel,
                           base::milliseconds keep_time, base::time_point now)
{
    if (keep_time <= safety_margin || !channel->is_open()) {
        channel->close();
        forget(address);
        return;
    }
    m_places[address].idle.push_back({channel, now, now + keep_time - safety_margin});
    const auto* key = channel.get();
    // Bytes that come while nothing was asked belong to no request.
    channel->start({[this, address, key](std::string_view) { remove(address, key); },
                    [this, address, key](channel_end) { remove(address, key); },
                    {}});
}

void connection_pool::remove(const std::string& address, const tcp_channel* channel)
{
    auto& idle = m_places[address].idle;
    const auto found = std::find_if(idle.begin(), idle.end(), [&](const kept& entry) {
        return entry.channel.get() == channel;
    });
    if (found != idle.end()) {
        const auto closed = std::move(found->channel);
        idle.erase(found);
        closed->close();
        forget(address);
    }
}

void connection_pool::forget(const std::string& address)
{
    auto& entry = m_places[address];
    entry.open -= std::min<std::size_t>(entry.open, 1);
}

std::size_t connection_pool::open_count(const std::string& address) const
{
    const auto found = m_places.find(address);
    return found == m_places.end() ? 0 : found->second.open;
}

bool connection_pool::has_kept(const std::string& address) const
{
    const auto found = m_places.find(address);
    return found != m_places.end() && !found->second.idle.empty();
}

void connection_pool::drop(const std::string& address)
{
    const auto found = m_places.find(address);
    if (found == m_places.end()) {
        return;
    }
    for (auto& connection : std::exchange(found->second.idle, {})) {
        connection.channel->close();
        forget(address);
    }
}

void connection_pool::tick(base::time_point now)
{
    for (auto place_entry = m_places.begin(); place_entry != m_places.end();) {
        auto& idle = place_entry->second.idle;
        const auto old = std::partition(idle.begin(), idle.end(), [&](const kept& connection) {
            return now < connection.until;
        });
        const auto count = static_cast<std::size_t>(std::distance(old, idle.end()));
        for (auto connection = old; connection != idle.end(); ++connection) {
            connection->channel->close();
        }
        idle.erase(old, idle.end());
        place_entry->second.open -= std::min(place_entry->second.open, count);
        if (place_entry->second.open == 0 && idle.empty()) {
            place_entry = m_places.erase(place_entry);
        }
        else {
            ++place_entry;
        }
    }
}

} // namespace chicorylink::front
