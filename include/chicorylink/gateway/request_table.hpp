#ifndef CHICORYLINK_GATEWAY_REQUEST_TABLE_HPP
#define CHICORYLINK_GATEWAY_REQUEST_TABLE_HPP

#include "chicorylink/gateway/active_request.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace chicorylink::gateway {

/// @brief All requests in progress at this VM, sharded by id, with a lock per shard.
class request_table {
public:
    /// @brief Creates a request with a new id. `find` returns it only after `add`, so that no other
    /// thread sees it partly filled in.
    [[nodiscard]] active_request_ptr make();

    /// @brief Makes a request available to `find` until `remove`.
    void add(const active_request_ptr& entry);

    /// @brief The request with an id; null when it has ended.
    [[nodiscard]] active_request_ptr find(routing::request_id id) const;

    void remove(routing::request_id id);

    [[nodiscard]] std::vector<active_request_ptr> all() const;
    [[nodiscard]] std::size_t size() const;

private:
    static constexpr std::size_t shard_count = 16;

    struct shard {
        mutable std::mutex mutex;
        std::unordered_map<routing::request_id, active_request_ptr> requests;
    };

    std::atomic<std::uint64_t> m_last_id{0};
    std::array<shard, shard_count> m_shards;
};

} // namespace chicorylink::gateway

#endif // CHICORYLINK_GATEWAY_REQUEST_TABLE_HPP
