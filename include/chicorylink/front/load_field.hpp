#ifndef CHICORYLINK_FRONT_LOAD_FIELD_HPP
#define CHICORYLINK_FRONT_LOAD_FIELD_HPP

#include <cstdint>
#include <optional>
#include <string_view>

namespace chicorylink::front {

/// @brief What a target states about its load with a response.
struct load_field {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// How long work takes there at this moment; 100 means as usual. None if it does not say.
    std::optional<double> time_percent;
};

/// @brief Parses a header value `RUNNING,WAITING[,SLOTS[,TIME]]`; further figures are ignored.
/// @return None if the first two are not numbers. A third or fourth that is none is ignored.
[[nodiscard]] std::optional<load_field> parse_load_field(std::string_view text);

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_LOAD_FIELD_HPP
