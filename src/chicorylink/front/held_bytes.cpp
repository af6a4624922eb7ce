#include "chicorylink/front/held_bytes.hpp"

#include "chicorylink/front/byte_account.hpp"

#include <utility>

namespace chicorylink::front {

held_bytes::held_bytes(std::shared_ptr<byte_account> all) : m_all(std::move(all)) {}

held_bytes::~held_bytes()
{
    m_all->remove(m_bytes);
}

void held_bytes::set(std::size_t bytes)
{
    if (bytes > m_bytes) {
        m_all->add(bytes - m_bytes);
    }
    else {
        m_all->remove(m_bytes - bytes);
    }
    m_bytes = bytes;
}

} // namespace chicorylink::front
