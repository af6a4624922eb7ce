#ifndef CHICORYLINK_WIRE_FILE_DESCRIPTOR_HPP
#define CHICORYLINK_WIRE_FILE_DESCRIPTOR_HPP

namespace chicorylink::wire {

/// @brief Owns a file descriptor and closes it.
class file_descriptor {
public:
    file_descriptor() = default;
    explicit file_descriptor(int value) : m_value(value) {}
    ~file_descriptor();
    file_descriptor(file_descriptor&& other) noexcept;
    file_descriptor& operator=(file_descriptor&& other) noexcept;
    file_descriptor(const file_descriptor&) = delete;
    file_descriptor& operator=(const file_descriptor&) = delete;

    [[nodiscard]] int get() const { return m_value; }
    [[nodiscard]] bool valid() const { return m_value >= 0; }
    void close();

private:
    int m_value = -1;
};

} // namespace chicorylink::wire

#endif // CHICORYLINK_WIRE_FILE_DESCRIPTOR_HPP
