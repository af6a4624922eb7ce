#ifndef CHICORYLINK_FRONT_STATE_READER_HPP
#define CHICORYLINK_FRONT_STATE_READER_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/heartbeat.hpp"
#include "chicorylink/fleet/published_state.hpp"
#include "chicorylink/fleet/roster.hpp"
#include "chicorylink/front/outer_protocol.hpp"
#include "chicorylink/front/reader_client.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>

namespace chicorylink::front {

struct front_core;

/// @brief Keeps the mirror of the store up to date.
///
/// Each VM reads a snapshot at its start. After that only the delegates of a region watch the
/// store; the other VMs copy what changed from a VM whose heartbeat tells of newer items, and have
/// their configuration confirmed by the delegates' heartbeats. A VM that nobody confirms watches
/// the store itself.
class state_reader {
public:
    /// @param on_change Called when published items changed here.
    state_reader(front_core& core, std::function<void()> on_change);

    void start();

    /// @brief Another VM told of its configuration and items.
    void on_heartbeat(const fleet::heartbeat& message);

    /// @brief Begins to watch when that falls to this VM, and takes a copy from a peer when the
    /// store has been silent for long.
    void tick(base::time_point now);

private:
    /// How long the store may hold a watch of this VM; none when others watch for it.
    [[nodiscard]] std::optional<base::milliseconds> watch_time(base::time_point now) const;
    /// @brief The VM whose configuration was proved to be the newest one last; none that is fresh.
    [[nodiscard]] const std::pair<const std::string, fleet::member>*
    confirmed_peer(base::time_point now) const;
    void read_snapshot(const std::string& after);
    void on_snapshot_page(const read_result& result);
    void take_page(store_answer page, base::time_point sent_at);
    void watch_if_due();
    void on_watch(const read_result& result);
    /// @brief Makes the next call to the store after a time.
    void pause(base::milliseconds time);
    void retry_later(const read_result& result);
    void note_answer();
    void copy_from(const std::string& ip, std::uint64_t after);
    void on_copy(const read_result& result);
    void note_changes(const std::vector<fleet::applied_change>& changes, std::string_view source);

    front_core& m_core;
    std::function<void()> m_on_change;
    reader_client m_store;
    std::unique_ptr<reader_client> m_peer;
    boost::asio::steady_timer m_pause;
    std::vector<fleet::published_item> m_page_items;
    /// Of the first page: changes that later pages missed are found by a watch from there.
    std::uint64_t m_snapshot_as_of = 0;
    base::time_point m_snapshot_sent_at{};
    std::uint64_t m_watch_from = 0;
    base::milliseconds m_retry_after{0};
    std::optional<base::time_point> m_answered_at;
    base::time_point m_copied_at{};
    bool m_is_lost = false;
    bool m_is_pausing = false;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_STATE_READER_HPP
