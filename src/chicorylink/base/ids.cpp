#include "chicorylink/base/ids.hpp"

#include <array>
#include <cmath>

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

double rendezvous_rank(std::uint64_t hash, double weight)
{
    // 2^64: one more than the largest hash.
    constexpr double hash_range = 18446744073709551616.0;
    const double uniform = (static_cast<double>(hash) + 1) / hash_range;
    return -weight / std::log(uniform);
}

} // namespace chicorylink::base
