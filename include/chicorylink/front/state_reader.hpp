#ifndef CHICORYLINK_FRONT_STATE_READER_HPP
#define CHICORYLINK_FRONT_STATE_READER_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/heartbeat.hpp"
#include "chicorylink/fleet/published_state.hpp"
#include "chicorylink/front/outer_protocol.hpp"
#include "chicorylink/front/reader_client.hpp"

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/steady_timer.hpp>

namespace chicorylink::front {

struct front_core;

/// @brief Keeps the mirror of the store up to date: a snapshot, then one watch after the other.
///
/// While the store does not answer here, a copy is taken from a VM that it answers.
class state_reader {
public:
    explicit state_reader(front_core& core);

    void start();

    /// @brief Another VM told of its configuration.
    void on_heartbeat(const fleet::heartbeat& message, base::time_point now);

    /// @brief Takes a copy from a peer when the store has been silent for long.
    void tick(base::time_point now);

private:
    void read_snapshot(const std::string& after);
    void on_snapshot_page(const read_result& result);
    void watch();
    void on_watch(const read_result& result);
    void retry_later(const read_result& result);
    void note_answer();
    void copy_from(const std::string& ip);
    void on_copy(const read_result& result);
    void log_changes(const std::vector<fleet::applied_change>& changes, std::string_view source);

    front_core& m_core;
    reader_client m_store;
    std::unique_ptr<reader_client> m_peer;
    boost::asio::steady_timer m_retry;
    std::vector<fleet::published_item> m_page_items;
    /// Of the first page: changes that later pages missed are found by a watch from there.
    std::uint64_t m_snapshot_as_of = 0;
    base::time_point m_snapshot_sent_at{};
    std::uint64_t m_watch_from = 0;
    base::milliseconds m_retry_after{0};
    std::optional<base::time_point> m_answered_at;
    base::time_point m_copied_at{};
    bool m_is_lost = false;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_STATE_READER_HPP
