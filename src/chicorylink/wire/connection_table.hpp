#ifndef CHICORYLINK_WIRE_CONNECTION_TABLE_HPP
#define CHICORYLINK_WIRE_CONNECTION_TABLE_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/wire/stream_id.hpp"

#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

namespace chicorylink::wire {

struct connection;

/// @brief All connections of a process, by number, and the one to use for each peer. Thread-safe.
class connection_table {
public:
    void add(std::shared_ptr<connection> value);
    void remove(link_number number);

    /// @brief Makes a connection the one to use for a peer.
    void use(base::vm_id peer, std::shared_ptr<connection> value);

    /// @brief Stops using the current connection for a peer.
    void clear_active(base::vm_id peer);

    /// @return Null when there is none.
    [[nodiscard]] std::shared_ptr<connection> find(link_number number) const;
    [[nodiscard]] std::shared_ptr<connection> find_active(base::vm_id peer) const;

    [[nodiscard]] std::vector<std::shared_ptr<connection>> all() const;

private:
    mutable std::mutex m_mutex;
    std::unordered_map<link_number, std::shared_ptr<connection>> m_by_number;
    std::unordered_map<base::vm_id, std::shared_ptr<connection>> m_by_peer;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_CONNECTION_TABLE_HPP
