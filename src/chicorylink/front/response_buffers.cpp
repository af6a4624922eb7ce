#include "chicorylink/front/response_buffers.hpp"

#include <algorithm>

namespace chicorylink::front {
namespace {

/// Part of the memory that responses may hold. A buffer may take twice its content while it grows,
/// and requests go on with reduced allowances.
constexpr std::size_t memory_divisor = 8;

} // namespace

response_buffers::response_buffers(std::size_t memory_bytes)
    : m_limit(memory_bytes / memory_divisor)
{
}

void response_buffers::add(std::size_t bytes)
{
    m_held += bytes;
    m_is_full = m_is_full || m_held > m_limit;
}

void response_buffers::remove(std::size_t bytes)
{
    m_held -= std::min(bytes, m_held);
    m_is_full = m_is_full && m_held > m_limit / 2;
}

std::size_t response_buffers::allowance() const
{
    return m_is_full ? reduced_allowance : usual_allowance;
}

} // namespace chicorylink::front
