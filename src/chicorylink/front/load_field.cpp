#include "chicorylink/front/load_field.hpp"

#include "chicorylink/fleet/prompt.hpp"
#include "chicorylink/front/plain_number.hpp"

#include <algorithm>

namespace chicorylink::front {
namespace {

/// Takes the text up to the next comma.
std::string_view take_figure(std::string_view& text)
{
    const auto comma = std::min(text.find(','), text.size());
    const auto figure = text.substr(0, comma);
    text.remove_prefix(std::min(comma + 1, text.size()));
    return figure;
}

} // namespace

std::optional<load_field> parse_load_field(std::string_view text)
{
    // The first two figures have the format of token counts.
    const auto second_comma = text.find(',', text.find(',') + 1);
    const auto counts = fleet::parse_token_counts(text.substr(0, second_comma));
    if (!counts) {
        return std::nullopt;
    }
    load_field load{counts->prompt_tokens, counts->answer_tokens, std::nullopt};
    if (second_comma != std::string_view::npos) {
        auto rest = text.substr(second_comma + 1);
        (void)take_figure(rest);
        const auto percent = parse_plain_number(take_figure(rest));
        // Work that takes no time is nonsense.
        if (percent && *percent > 0) {
            load.time_percent = percent;
        }
    }
    return load;
}

} // namespace chicorylink::front
