#include "chicorylink/routing/prefix.hpp"

#include <algorithm>
#include <string>

namespace chicorylink::routing {
namespace {

std::uint64_t extend(std::uint64_t chain, std::string_view text)
{
    return base::hash_pair(chain, base::hash_name(text));
}

} // namespace

prompt_prefix make_prefix(std::uint64_t salt, base::team_id team,
                          std::span<const std::string_view> messages, std::size_t opening)
{
    prompt_prefix result;
    const auto seed = base::hash_pair(salt, team.value());
    auto session = seed;
    auto chain = seed;
    std::string block;
    for (std::size_t index = 0; index < messages.size(); ++index) {
        auto rest = messages[index];
        if (index < opening) {
            session = extend(session, rest);
            result.session = prefix_hash{session};
        }
        while (!rest.empty() && result.blocks.size() < max_prefix_blocks) {
            const auto taken = std::min(rest.size(), prefix_block_bytes - block.size());
            block.append(rest.substr(0, taken));
            rest.remove_prefix(taken);
            if (block.size() == prefix_block_bytes) {
                chain = extend(chain, block);
                result.blocks.emplace_back(chain);
                block.clear();
            }
        }
    }
    return result;
}

} // namespace chicorylink::routing
