#include "chicorylink/config/current.hpp"

#include <utility>

namespace chicorylink::config {

std::shared_ptr<const rules::rulebook> current::get() const
{
    const std::lock_guard lock(m_mutex);
    return m_book;
}

bool current::set(std::shared_ptr<const rules::rulebook> book)
{
    const std::lock_guard lock(m_mutex);
    if (!book || (m_book && book->version() <= m_book->version())) {
        return false;
    }
    // The old rulebook is released outside the lock, by its last reader.
    m_book.swap(book);
    return true;
}

} // namespace chicorylink::config
