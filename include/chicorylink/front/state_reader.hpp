#ifndef CHICORYLINK_FRONT_STATE_READER_HPP
#define CHICORYLINK_FRONT_STATE_READER_HPP

#include "chicorylink/base/error.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/heartbeat.hpp"
#include "chicorylink/fleet/published_state.hpp"
#include "chicorylink/fleet/roster.hpp"
#include "chicorylink/fleet/store_revision.hpp"
#include "chicorylink/front/http_get_client.hpp"
#include "chicorylink/front/platform_protocol.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/steady_timer.hpp>

namespace chicorylink::front {

struct front_core;
struct item_copy;
struct item_copy_query;

/// @brief Keeps this VM's copy of the store up to date.
///
/// Each VM reads a snapshot at its start. After that, only the delegates of a region watch the
/// store. The other VMs copy changes from a VM whose heartbeat announces newer items, and the
/// delegates' heartbeats confirm their configuration. A VM whose configuration nobody confirms
/// watches the store itself.
class state_reader {
public:
    /// @param on_change Called when this VM's copy of the published items has changed.
    state_reader(front_core& core, std::function<void()> on_change);

    void start();

    /// @brief Handles another VM's heartbeat: confirms the configuration or copies newer items.
    void on_heartbeat(const fleet::heartbeat& message);

    /// @brief Starts a watch if this VM has to watch the store, and copies from a peer when the
    /// configuration has been unconfirmed for too long.
    void tick(base::time_point now);

private:
    /// @brief How long the store may hold this VM's watch; none when this VM needs no watch.
    [[nodiscard]] std::optional<base::milliseconds> watch_time(base::time_point now) const;
    /// @brief The VM whose configuration was confirmed most recently; null when none is recent
    /// enough.
    [[nodiscard]] const std::pair<const std::string, fleet::member>*
    confirmed_peer(base::time_point now) const;
    /// @brief Reads a response of the store; revisions of one that states no era get the known one.
    [[nodiscard]] base::result<store_response> read_response(const read_result& result) const;
    void read_snapshot(const std::string& after);
    void on_snapshot_page(const read_result& result);
    void add_page(store_response page, base::time_point sent_at);
    void watch_if_due();
    void on_watch(const read_result& result);
    /// @brief Delays the next call to the store.
    void delay_next_call(base::milliseconds delay);
    void retry_later(const read_result& result);
    void on_store_response(const store_response& response);
    /// @brief Records when a heartbeat's sender knew the store to answer.
    void note_contact(const fleet::heartbeat& message);
    void copy_from(const std::string& ip, const item_copy_query& query);
    void on_copy(const read_result& result);
    /// @brief The VM that was last asked for a copy.
    [[nodiscard]] std::string peer_ip() const;
    /// @brief Logs a copy with items that are newer than the revision up to which it is complete.
    void note_copy(const item_copy& copy);
    void report_changes(const std::vector<fleet::applied_change>& changes, std::string_view source);

    front_core& m_core;
    std::function<void()> m_on_change;
    http_get_client m_store;
    std::unique_ptr<http_get_client> m_peer;
    boost::asio::steady_timer m_delay_timer;
    std::vector<fleet::published_item> m_page_items;
    /// Revision of the first page: a watch from there finds changes that later pages missed.
    fleet::store_revision m_snapshot_as_of;
    base::time_point m_snapshot_sent_at{};
    /// Zero when a snapshot has to be read before the next watch.
    fleet::store_revision m_watch_from;
    base::milliseconds m_retry_delay{0};
    std::optional<base::time_point> m_last_response_at;
    base::time_point m_copied_at{};
    bool m_is_store_lost = false;
    bool m_is_delayed = false;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_STATE_READER_HPP
