#include "chicorylink/front/request_fingerprint.hpp"

#include "chicorylink/base/ids.hpp"
#include "chicorylink/fleet/team.hpp"
#include "chicorylink/front/incoming_request.hpp"

#include <string_view>

namespace chicorylink::front {

std::uint64_t request_fingerprint(const incoming_request& request, const fleet::team* team,
                                  const std::optional<fleet::prompt>& prompt)
{
    const auto* host = find_field(request.head.fields, "Host");
    auto hash = base::hash_name(request.head.method);
    for (const std::string_view text :
         {host == nullptr ? std::string_view{} : std::string_view{*host},
          std::string_view{request.head.target},
          team == nullptr ? std::string_view{} : std::string_view{team->name.text()},
          std::string_view{request.body}}) {
        hash = base::hash_pair(hash, base::hash_name(text));
    }
    if (prompt) {
        for (const auto part : fleet::shared_part_ids(*prompt)) {
            hash = base::hash_pair(hash, part.value());
        }
    }
    return hash;
}

} // namespace chicorylink::front
