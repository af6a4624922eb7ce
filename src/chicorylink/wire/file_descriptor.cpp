#include "chicorylink/wire/file_descriptor.hpp"

#include <unistd.h>
#include <utility>

namespace chicorylink::wire {

file_descriptor::~file_descriptor()
{
    close();
}

file_descriptor::file_descriptor(file_descriptor&& other) noexcept
    : m_value(std::exchange(other.m_value, -1))
{
}

file_descriptor& file_descriptor::operator=(file_descriptor&& other) noexcept
{
    if (this != &other) {
        close();
        m_value = std::exchange(other.m_value, -1);
    }
    return *this;
}

void file_descriptor::close()
{
    if (m_value >= 0) {
        ::close(m_value);
        m_value = -1;
    }
}

} // namespace chicorylink::wire
