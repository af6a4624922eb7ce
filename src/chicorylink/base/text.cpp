#include "chicorylink/base/text.hpp"

#include <algorithm>
#include <cctype>

namespace chicorylink::base {

std::string lower_case(std::string_view text)
{
    std::string lowered(text);
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lowered;
}

} // namespace chicorylink::base
