#ifndef CHICORYLINK_WIRE_TEST_PEERS_HPP
#define CHICORYLINK_WIRE_TEST_PEERS_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/metrics.hpp"
#include "chicorylink/wire/peer_network.hpp"
#include "chicorylink/wire/peer_network_builder.hpp"

#include <chrono>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace chicorylink::wire::testing {

/// Maximum time that a test waits for a condition before it fails.
constexpr std::chrono::seconds wait_timeout{20};

/// @brief A peer network whose handlers record their calls; for tests.
class test_peer {
public:
    test_peer(const std::string& name, std::uint64_t process,
              std::optional<tls_settings> tls = std::nullopt, link_limits limits = {})
        : vm(base::id_of<base::vm_id>(name))
    {
        peer_network_builder builder{vm, base::incarnation{process}};
        builder.listen("127.0.0.1:0").metrics(counts).limits(limits).handler(make_handler());
        if (tls) {
            builder.tls(*tls);
        }
        else {
            builder.plain_text();
        }
        network = builder.build().value();
    }

    [[nodiscard]] peer_address address() const { return {vm, network->listen_address()}; }

    /// @brief Waits until a condition over the recorded calls holds; false after `wait_timeout`.
    template <class Condition>
    bool wait(Condition condition)
    {
        std::unique_lock lock{mutex};
        const auto until = std::chrono::steady_clock::now() + wait_timeout;
        while (!condition()) {
            if (changed.wait_until(lock, until) == std::cv_status::timeout) {
                return condition();
            }
        }
        return true;
    }

    /// @brief Reads the recorded calls under the lock.
    template <class Reader>
    auto inspect(Reader reader)
    {
        const std::lock_guard lock{mutex};
        return reader();
    }

    /// @brief Waits until a counter of the metrics is above zero.
    bool wait_counter(const std::string& counter_name)
    {
        const auto until = std::chrono::steady_clock::now() + wait_timeout;
        while (counts.counter(counter_name) == 0) {
            if (std::chrono::steady_clock::now() > until) {
                return false;
            }
            std::this_thread::yield();
        }
        return true;
    }

    /// @brief Returns a handler that records its calls under a label.
    stream_handler record(const std::string& label)
    {
        stream_handler handler;
        handler.on_data = [this, label](std::span<const std::uint8_t> bytes) {
            update([&] { received[label].append(bytes.begin(), bytes.end()); });
        };
        handler.on_writable = [this, label] { update([&] { ++windows[label]; }); };
        handler.on_end = [this, label] { update([&] { ended[label] = true; }); };
        handler.on_reset = [this, label](reset_reason reason) {
            update([&] { resets[label] = reason; });
        };
        handler.on_lost = [this, label] { update([&] { lost[label] = true; }); };
        return handler;
    }

    const base::vm_id vm;
    base::metrics counts;
    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::string, std::string> received;
    std::map<std::string, int> windows;
    std::map<std::string, bool> ended;
    std::map<std::string, reset_reason> resets;
    std::map<std::string, bool> lost;
    /// Inbound streams by their header.
    std::map<std::string, stream_id> opened;
    std::vector<std::string> control;
    std::vector<base::vm_id> connected;
    std::vector<base::vm_id> disconnected;
    std::vector<base::vm_id> refused;
    std::unique_ptr<peer_network> network;

private:
    template <class Change>
    void update(Change change)
    {
        const std::lock_guard lock{mutex};
        change();
        changed.notify_all();
    }

    peer_handler make_handler()
    {
        peer_handler handler;
        handler.on_control = [this](base::vm_id, base::incarnation, channel_id,
                                    std::span<const std::uint8_t> bytes) {
            update([&] { control.emplace_back(bytes.begin(), bytes.end()); });
        };
        handler.on_open = [this](base::vm_id, base::incarnation, stream_id stream,
                                 std::span<const std::uint8_t> header) {
            const std::string label{header.begin(), header.end()};
            update([&] { opened[label] = stream; });
            return record(label);
        };
        handler.on_connected = [this](base::vm_id peer, base::incarnation) {
            update([&] { connected.push_back(peer); });
        };
        handler.on_disconnected = [this](base::vm_id peer) {
            update([&] { disconnected.push_back(peer); });
        };
        handler.on_refused = [this](base::vm_id peer) { update([&] { refused.push_back(peer); }); };
        return handler;
    }
};

/// @brief The bytes of a text.
inline std::span<const std::uint8_t> bytes_of(const std::string& text)
{
    return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

} // namespace chicorylink::wire::testing

#endif // CHICORYLINK_WIRE_TEST_PEERS_HPP
