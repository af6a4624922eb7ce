#include "chicorylink/base/ids.hpp"

#include <array>

#include <xxhash.h>

namespace chicorylink::base {

std::uint64_t hash_name(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

std::uint64_t hash_pair(std::uint64_t a, std::uint64_t b)
{
    const std::array<std::uint64_t, 2> pair{a, b};
    return XXH3_64bits(pair.data(), sizeof(pair));
}

} // namespace chicorylink::base
