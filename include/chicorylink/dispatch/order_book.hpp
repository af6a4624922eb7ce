#ifndef CHICORYLINK_DISPATCH_ORDER_BOOK_HPP
#define CHICORYLINK_DISPATCH_ORDER_BOOK_HPP

#include "chicorylink/base/ids.hpp"
#include "chicorylink/base/units.hpp"
#include "chicorylink/dispatch/engine_order.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chicorylink::dispatch {

/// @brief The states that this VM wants its engines in, and the orders that bring them there.
///
/// Not thread-safe. Holds wishes for all targets; orders are made only for those that the caller
/// names as its own (`may_order`).
class order_book {
public:
    /// @param process_start Milliseconds since 1970 at the start of this process.
    explicit order_book(std::uint64_t process_start) : m_process_start(process_start) {}

    /// @brief States what an item of a target is to be; replaces an earlier wish.
    void want(base::target_id target, const std::string& item, const std::string& state);

    /// @brief Makes the orders that are due for a target: those not confirmed, each at most once
    /// within `repeat_after`.
    [[nodiscard]] std::vector<engine_order>
    take_due(base::target_id target, base::config_version version, base::time_point now);

    /// @brief The engine has accepted an order. Ignored when a newer wish took its place.
    void confirm(const engine_order& order);

    /// @brief The engine has refused an order as older than one that it has seen: another VM
    /// orders it. Its wishes wait until this VM is its orderer again and `want` is called.
    void superseded(base::target_id target);

    /// The shortest time between two sendings of one order.
    static constexpr base::milliseconds repeat_after{5'000};

private:
    struct wish {
        std::string state;
        bool confirmed = false;
        base::time_point next_at{};
    };

    using item_key = std::pair<base::target_id, std::string>;

    std::uint64_t m_process_start;
    std::uint64_t m_last_counter = 0;
    std::map<item_key, wish> m_wishes;
};

} // namespace chicorylink::dispatch

#endif // CHICORYLINK_DISPATCH_ORDER_BOOK_HPP
