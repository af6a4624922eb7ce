#include "chicorylink/platform/header_list.hpp"

#include <algorithm>

namespace chicorylink::platform {

bool has_multiple_lengths(const header_list& headers)
{
    return std::count_if(headers.begin(), headers.end(), [](const auto& field) {
               return field.first == "content-length" || field.first == "transfer-encoding";
           }) > 1;
}

} // namespace chicorylink::platform
