#ifndef CHICORYLINK_RULES_QUANTITY_FORMAT_HPP
#define CHICORYLINK_RULES_QUANTITY_FORMAT_HPP

#include <array>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace chicorylink::rules {

/// @brief A unit that a number may be written in, and how many base units it is worth.
struct unit {
    std::string_view suffix;
    std::int64_t factor = 1;
};

/// @brief The way one sort of number is written: its units, bounds (in base units) and an example.
struct quantity_format {
    std::span<const unit> units;
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
    std::string_view example;
};

inline constexpr std::int64_t longest_milliseconds = 24LL * 60 * 60 * 1000;
inline constexpr std::int64_t most_tokens = 1'000'000'000'000;
inline constexpr std::int64_t bytes_in_kilobit = 125;
inline constexpr std::int64_t bytes_in_megabit = 125'000;
inline constexpr std::int64_t bytes_in_gigabit = 125'000'000;

inline constexpr std::array<unit, 2> duration_units{{{"ms", 1}, {"s", 1000}}};
inline constexpr std::array<unit, 2> token_rate_units{{{"/s", 1}, {"tokens/s", 1}}};
inline constexpr std::array<unit, 2> token_units{{{"", 1}, {"tokens", 1}}};
inline constexpr std::array<unit, 6> link_rate_units{{{"kbit", bytes_in_kilobit},
                                                      {"Mbit", bytes_in_megabit},
                                                      {"Gbit", bytes_in_gigabit},
                                                      {"kbit/s", bytes_in_kilobit},
                                                      {"Mbit/s", bytes_in_megabit},
                                                      {"Gbit/s", bytes_in_gigabit}}};
inline constexpr std::array<unit, 1> count_units{{{"", 1}}};

inline constexpr quantity_format deadline_format{duration_units, 1, longest_milliseconds, "30s"};
inline constexpr quantity_format duration_format{duration_units, 0, longest_milliseconds, "55ms"};
inline constexpr quantity_format token_rate_format{token_rate_units, 1, most_tokens, "2000/s"};
inline constexpr quantity_format token_format{token_units, 1, most_tokens, "40000"};
inline constexpr quantity_format link_rate_format{link_rate_units, bytes_in_kilobit,
                                                  10'000 * bytes_in_gigabit, "2Gbit"};
inline constexpr quantity_format team_weight_format{count_units, 1, 1000, "1"};
inline constexpr quantity_format slots_format{count_units, 1, 100'000, "8"};
inline constexpr quantity_format policy_weight_format{count_units, 0, 10'000, "100"};

/// @brief A number in base units, or what is wrong with its text.
struct quantity_reading {
    std::int64_t value = 0;
    /// Empty when the text is right.
    std::string fault;
};

/// @brief Reads a whole number with its unit; overflow and values out of bounds are faults.
[[nodiscard]] quantity_reading read_quantity(std::string_view text, const quantity_format& format);

/// @brief Writes a number with the largest unit that divides it.
[[nodiscard]] std::string write_quantity(std::int64_t value, const quantity_format& format);

} // namespace chicorylink::rules

#endif // CHICORYLINK_RULES_QUANTITY_FORMAT_HPP
