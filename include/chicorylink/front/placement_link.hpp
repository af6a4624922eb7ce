#ifndef CHICORYLINK_FRONT_PLACEMENT_LINK_HPP
#define CHICORYLINK_FRONT_PLACEMENT_LINK_HPP

#include "chicorylink/base/units.hpp"
#include "chicorylink/fleet/placement_message.hpp"
#include "chicorylink/front/datagram_socket.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/ip/udp.hpp>

namespace chicorylink::front {

struct front_core;

/// @brief A place that the coordinator reserves for a request until it learns of the request's end.
struct reserved_place {
    std::string coordinator_ip;
    std::uint64_t number = 0;
};

/// @brief The outcome of a placement query.
struct placement_result {
    /// None when the coordinator didn't answer in time or wasn't queried.
    std::optional<fleet::placement_answer> answer;
    std::string coordinator_ip;
    /// How the result came about, for the log.
    std::string_view reason;
};

/// @brief Exchanges placement messages with the placement coordinator of this VM's region, and
/// answers queries when this VM is the coordinator.
///
/// The messages are datagrams on a separate port. Losing one costs little: this VM decides by
/// itself when a query is not answered in time, and notes are sent twice.
class placement_link {
public:
    /// Called once per query; without an answer the caller of `request_placement` decides by
    /// itself.
    using handler = std::function<void(const placement_result&)>;

    placement_link(front_core& core, boost::asio::ip::udp::socket socket);

    /// @brief Sends a placement query. The handler may be called before this function returns.
    void request_placement(fleet::placement_query query, handler on_result, base::time_point now);

    /// @brief Reports that the response to the request at a place has started.
    /// @param took From sending the request to the first event.
    void report_started(const reserved_place& place, base::milliseconds took, base::time_point now);

    /// @brief Reports to the coordinator what a target stated about its times.
    void queue_statement(const fleet::target_pace& statement, base::time_point now);

    /// @brief Reports that the request at a place has ended.
    /// @param outcome None when the attempt says nothing about the target.
    /// @param took How long the request took.
    void report_ended(const reserved_place& place, std::optional<fleet::target_outcome> outcome,
                      base::milliseconds took, base::time_point now);

    /// @brief Queues a target's notice for the region's delegates, which forward it to the others.
    void queue_notice(const fleet::target_notice& notice, base::time_point now);

    /// @brief Queues what a target stated about its rate, for the region's delegates.
    void queue_limit(const fleet::limit_report& report, base::time_point now);

    /// @brief Adds tokens of a stream to what the coordinator is told next.
    void note_tokens(base::target_id target, std::uint32_t tokens,
                     std::chrono::microseconds elapsed);

    /// @brief Times out unanswered queries, and sends queued notes and notices.
    void tick(base::time_point now);

    /// @brief Sends a message to another VM of the region.
    void send(const fleet::placement_message& message, const std::string& ip);

    /// @brief Whether this VM is the coordinator of its region and was queried recently.
    [[nodiscard]] bool is_coordinator(base::time_point now);

private:
    struct pending_query {
        std::string coordinator_ip;
        base::time_point sent_at{};
        handler on_result;
    };
    struct outgoing_notes {
        std::vector<fleet::placement_note> unsent;
        /// Notes of the last message, which are sent a second time.
        std::vector<fleet::placement_note> to_resend;
        /// How long the requests took whose begin is among the unsent notes.
        std::vector<fleet::target_pace> starts;
    };

    /// Tokens that streams got, and how long they waited for them.
    struct token_sum {
        std::uint32_t tokens = 0;
        std::chrono::microseconds elapsed{0};
    };

    /// What a target said, to send with the next messages.
    template <class Content>
    struct outgoing {
        Content content;
        base::time_point queued_at{};
        int times_sent = 0;
    };

    /// @brief Whether the address belongs to a known VM of this region.
    [[nodiscard]] bool is_region_member(const std::string& ip) const;
    void expire_queries(base::time_point now);
    void send_notes(base::time_point now);
    /// @brief Logs and counts the changes of start windows.
    void log_windows(base::time_point now);
    /// @brief Moves what targets stated into a message, with its age.
    void take_statements(fleet::placement_message& message, base::time_point now);
    void apply_paces(const fleet::placement_message& message, const std::string& sender,
                     base::time_point now);
    void apply_start(const std::string& sender, const fleet::target_pace& start,
                     base::time_point now);
    void send_notices(base::time_point now);
    void send_tokens(base::time_point now);

    base::result<void> handle_message(std::span<const std::uint8_t> bytes,
                                      const boost::asio::ip::udp::endpoint& from);
    void answer_queries(const fleet::placement_message& message, const std::string& sender,
                        const boost::asio::ip::udp::endpoint& from);
    void handle_answer(const fleet::placement_answer& answer, const std::string& sender);
    void queue_note(const reserved_place& place, fleet::placement_note note, base::time_point now);
    [[nodiscard]] boost::asio::ip::udp::endpoint endpoint_of(const std::string& ip) const;
    [[nodiscard]] const std::string& coordinator_ip(base::time_point now);

    front_core& m_core;
    datagram_socket m_datagrams;
    std::string m_coordinator_ip;
    base::time_point m_coordinator_found_at{};
    std::uint64_t m_last_query_number = 0;
    std::map<std::uint64_t, pending_query> m_pending_queries;
    std::map<std::string, outgoing_notes> m_notes;
    std::vector<outgoing<fleet::target_notice>> m_notices;
    std::vector<outgoing<fleet::limit_report>> m_limits;
    /// Tokens of running streams since the last report, by target.
    std::map<base::target_id, token_sum> m_tokens;
    base::time_point m_tokens_sent_at{};
    base::target_id m_last_token_target{};
    /// The newest statement of each target about its times that the coordinator doesn't know yet.
    std::vector<outgoing<fleet::target_pace>> m_statements;
    /// What the counters contain of the coordinator's.
    std::uint64_t m_counted_held_back = 0;
    std::uint64_t m_counted_beyond = 0;
    /// Coordinators that didn't answer, and until when they are not queried.
    std::map<std::string, base::time_point> m_silent_until;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_PLACEMENT_LINK_HPP
