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

/// @brief A place that a desk keeps for a request until it is told that the request has ended.
struct reserved_place {
    std::string desk_ip;
    std::uint64_t number = 0;
};

/// @brief What a desk said of a request.
struct placement_advice {
    /// None when the desk did not answer.
    std::optional<fleet::placement_answer> answer;
    std::string desk_ip;
    /// How the advice came about, for the log.
    std::string_view reason;
};

/// @brief Asks the placement desk of this VM's region, and is the desk when it is this VM's turn.
///
/// Datagrams on a port of their own. A lost one costs little: an ask that is not answered in time
/// is decided here, and notes are sent twice.
class placement_link {
public:
    /// Called once; without an answer the caller decides by itself.
    using handler = std::function<void(const placement_advice&)>;

    placement_link(front_core& core, boost::asio::ip::udp::socket socket);

    /// @brief Asks for a place; the handler may be called before this function returns.
    void ask(fleet::placement_ask ask, handler on_advice, base::time_point now);

    /// @brief The request at a place began to be answered.
    void note_begun(const reserved_place& place, base::time_point now);

    /// @brief The request left its place.
    void note_ended(const reserved_place& place, std::optional<fleet::target_outcome> outcome,
                    base::milliseconds took, base::time_point now);

    /// @brief Tells the region's delegates what a target asked of this VM; they tell the others.
    void tell(const fleet::target_notice& notice, base::time_point now);

    /// @brief Gives up asks that wait too long and sends notes.
    void tick(base::time_point now);

    /// @brief Whether this VM is the desk of its region and was asked of late.
    [[nodiscard]] bool is_desk(base::time_point now);

private:
    struct waiting_ask {
        std::string desk_ip;
        base::time_point asked_at{};
        handler on_advice;
    };
    struct outgoing_notes {
        std::vector<fleet::placement_note> fresh;
        /// Those of the last message, which are told once more.
        std::vector<fleet::placement_note> told;
    };

    /// A notice that is told with the next messages.
    struct outgoing_notice {
        fleet::target_notice notice;
        base::time_point noted_at{};
        int times_told = 0;
    };

    /// @brief Whether a VM of this region sends from an address.
    [[nodiscard]] bool is_near(const std::string& ip) const;
    void give_up_asks(base::time_point now);
    void send_notes();
    void send_notices(base::time_point now);

    base::result<void> take_message(std::span<const std::uint8_t> bytes,
                                    const boost::asio::ip::udp::endpoint& from);
    void take_asks(const fleet::placement_message& message, const std::string& sender,
                   const boost::asio::ip::udp::endpoint& from);
    void take_answer(const fleet::placement_answer& answer, const std::string& sender);
    void note(const reserved_place& place, fleet::placement_note note, base::time_point now);
    [[nodiscard]] boost::asio::ip::udp::endpoint endpoint_of(const std::string& ip) const;
    [[nodiscard]] const std::string& desk_ip(base::time_point now);

    front_core& m_core;
    datagram_socket m_datagrams;
    std::string m_desk_ip;
    base::time_point m_desk_found_at{};
    std::uint64_t m_last_number = 0;
    std::map<std::uint64_t, waiting_ask> m_waiting;
    std::map<std::string, outgoing_notes> m_notes;
    std::vector<outgoing_notice> m_notices;
    /// Desks that did not answer are not asked until then.
    std::map<std::string, base::time_point> m_silent_until;
};

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_PLACEMENT_LINK_HPP
