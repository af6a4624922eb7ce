#include "chicorylink/wire/connection_table.hpp"

#include "chicorylink/wire/connection.hpp"

namespace chicorylink::wire {

void connection_table::add(std::shared_ptr<connection> value)
{
    const std::lock_guard lock{m_mutex};
    const auto number = value->number;
    m_by_number.insert_or_assign(number, std::move(value));
}

void connection_table::remove(link_number number)
{
    const std::lock_guard lock{m_mutex};
    m_by_number.erase(number);
    std::erase_if(m_by_peer, [&](const auto& item) { return item.second->number == number; });
}

void connection_table::use(base::vm_id peer, std::shared_ptr<connection> value)
{
    const std::lock_guard lock{m_mutex};
    m_by_peer.insert_or_assign(peer, std::move(value));
}

void connection_table::clear_active(base::vm_id peer)
{
    const std::lock_guard lock{m_mutex};
    m_by_peer.erase(peer);
}

std::shared_ptr<connection> connection_table::find(link_number number) const
{
    const std::lock_guard lock{m_mutex};
    const auto found = m_by_number.find(number);
    return found == m_by_number.end() ? nullptr : found->second;
}

std::shared_ptr<connection> connection_table::find_active(base::vm_id peer) const
{
    const std::lock_guard lock{m_mutex};
    const auto found = m_by_peer.find(peer);
    return found == m_by_peer.end() ? nullptr : found->second;
}

std::vector<std::shared_ptr<connection>> connection_table::all() const
{
    const std::lock_guard lock{m_mutex};
    std::vector<std::shared_ptr<connection>> connections;
    connections.reserve(m_by_number.size());
    for (const auto& [number, value] : m_by_number) {
        connections.push_back(value);
    }
    return connections;
}

} // namespace chicorylink::wire
