#ifndef CHICORYLINK_RULES_QUANTITY_FORMAT_HPP
#define CHICORYLINK_RULES_QUANTITY_FORMAT_HPP

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace chicorylink::rules {

/// @brief A unit suffix and its factor in base units.
struct unit {
    std::string_view suffix;
    std::int64_t factor = 1;
};

/// @brief The format of a quantity: its units, its bounds in base units and an example.
struct quantity_format {
    std::span<const unit> units;
    std::int64_t min_value = 0;
    std::int64_t max_value = 0;
    std::string_view example;
};

inline constexpr std::int64_t max_milliseconds = 24LL * 60 * 60 * 1000;
inline constexpr std::int64_t max_tokens = 1'000'000'000'000;
inline constexpr std::int64_t bytes_per_kilobit = 125;
inline constexpr std::int64_t bytes_per_megabit = 125'000;
inline constexpr std::int64_t bytes_per_gigabit = 125'000'000;

inline constexpr std::array<unit, 2> duration_units{{{"ms", 1}, {"s", 1000}}};
inline constexpr std::array<unit, 2> token_rate_units{{{"/s", 1}, {"tokens/s", 1}}};
inline constexpr std::array<unit, 2> token_units{{{"", 1}, {"tokens", 1}}};
inline constexpr std::array<unit, 6> link_rate_units{{{"kbit", bytes_per_kilobit},
                                                      {"Mbit", bytes_per_megabit},
                                                      {"Gbit", bytes_per_gigabit},
                                                      {"kbit/s", bytes_per_kilobit},
                                                      {"Mbit/s", bytes_per_megabit},
                                                      {"Gbit/s", bytes_per_gigabit}}};
inline constexpr std::array<unit, 1> count_units{{{"", 1}}};

inline constexpr quantity_format deadline_format{duration_units, 1, max_milliseconds, "30s"};
inline constexpr quantity_format duration_format{duration_units, 0, max_milliseconds, "55ms"};
inline constexpr quantity_format token_rate_format{token_rate_units, 1, max_tokens, "2000/s"};
inline constexpr quantity_format token_format{token_units, 1, max_tokens, "40000"};
inline constexpr quantity_format link_rate_format{link_rate_units, bytes_per_kilobit,
                                                  10'000 * bytes_per_gigabit, "2Gbit"};
inline constexpr quantity_format team_weight_format{count_units, 1, 1000, "1"};
inline constexpr quantity_format slots_format{count_units, 1, 100'000, "8"};
inline constexpr quantity_format policy_weight_format{count_units, 0, 10'000, "100"};

/// @brief A parsed number in base units, or an error message.
struct parsed_quantity {
    std::int64_t value = 0;
    /// Empty when the text is valid.
    std::string error;
};

/// @brief Parses an integer with its unit; overflow and values out of bounds are errors.
[[nodiscard]] parsed_quantity parse_quantity(std::string_view text, const quantity_format& format);

/// @brief Formats a number with the largest unit that divides it.
[[nodiscard]] std::string format_quantity(std::int64_t value, const quantity_format& format);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_QUANTITY_FORMAT_HPP
