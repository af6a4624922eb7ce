#include "chicorylink/front/retry_after.hpp"

#include "chicorylink/front/plain_number.hpp"

#include <cmath>

namespace chicorylink::front {
namespace {

constexpr double ms_per_second = 1000;

} // namespace

std::optional<base::milliseconds> parse_retry_after(std::string_view text)
{
    const auto seconds = parse_plain_number(text);
    if (!seconds) {
        return std::nullopt;
    }
    return base::milliseconds{static_cast<std::int64_t>(std::ceil(*seconds * ms_per_second))};
}

} // namespace chicorylink::front
