#include "chicorylink/gateway/request_table.hpp"

namespace chicorylink::gateway {

active_request_ptr request_table::make()
{
    return std::make_shared<active_request>(routing::request_id{++m_last_id});
}

void request_table::add(const active_request_ptr& entry)
{
    auto& part = m_shards.at(entry->id.value() % shard_count);
    const std::lock_guard lock(part.mutex);
    part.requests.emplace(entry->id, entry);
}

active_request_ptr request_table::find(routing::request_id id) const
{
    const auto& part = m_shards.at(id.value() % shard_count);
    const std::lock_guard lock(part.mutex);
    const auto found = part.requests.find(id);
    return found == part.requests.end() ? nullptr : found->second;
}

void request_table::remove(routing::request_id id)
{
    auto& part = m_shards.at(id.value() % shard_count);
    const std::lock_guard lock(part.mutex);
    part.requests.erase(id);
}

std::vector<active_request_ptr> request_table::all() const
{
    std::vector<active_request_ptr> requests;
    for (const auto& part : m_shards) {
        const std::lock_guard lock(part.mutex);
        for (const auto& [id, entry] : part.requests) {
            requests.push_back(entry);
        }
    }
    return requests;
}

std::size_t request_table::size() const
{
    std::size_t count = 0;
    for (const auto& part : m_shards) {
        const std::lock_guard lock(part.mutex);
        count += part.requests.size();
    }
    return count;
}

} // namespace chicorylink::gateway
