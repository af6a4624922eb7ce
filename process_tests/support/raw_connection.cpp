#include "raw_connection.hpp"

#include <array>
#include <fcntl.h>
#include <poll.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace chicorylink::process_tests {
namespace {

using clock = std::chrono::steady_clock;

constexpr std::string_view status_line_start = "HTTP/1.1 ";
constexpr std::string_view head_end = "\r\n\r\n";
constexpr std::string_view last_chunk = "\r\n0\r\n\r\n";

/// @brief The value of a field, with its name spelled as this project sends it.
std::string_view field_of(std::string_view head, const std::string& name)
{
    const auto line = "\r\n" + name + ": ";
    const auto at = head.find(line);
    if (at == std::string_view::npos) {
        return {};
    }
    const auto begin = at + line.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

/// @brief The size of the first response in `bytes`; zero if it isn't whole.
std::size_t size_of_response(std::string_view bytes)
{
    const auto end = bytes.find(head_end);
    if (end == std::string_view::npos) {
        return 0;
    }
    const auto head = bytes.substr(0, end + head_end.size());
    const auto length = field_of(head, "Content-Length");
    if (!length.empty()) {
        const auto size = head.size() + std::stoul(std::string{length});
        return bytes.size() >= size ? size : 0;
    }
    const auto chunks_end = bytes.find(last_chunk, end);
    return chunks_end == std::string_view::npos ? 0 : chunks_end + last_chunk.size();
}

} // namespace

double raw_reply::retry_after_s() const
{
    const auto value = field_of(bytes, "Retry-After");
    return value.empty() ? 0 : std::stod(std::string{value});
}

raw_connection::raw_connection(const std::string& ip, int port)
{
    boost::system::error_code problem;
    m_socket.open(boost::asio::ip::tcp::v4(), problem);
    // A program that the test starts must not keep the connection open.
    ::fcntl(m_socket.native_handle(), F_SETFD, FD_CLOEXEC);
    m_socket.connect(
        {boost::asio::ip::make_address(ip), static_cast<boost::asio::ip::port_type>(port)},
        problem);
    m_is_open = !problem;
    if (m_is_open) {
        m_socket.set_option(boost::asio::ip::tcp::no_delay(true), problem);
        m_local_port = m_socket.local_endpoint(problem).port();
    }
}

bool raw_connection::send(std::string_view bytes)
{
    boost::system::error_code problem;
    boost::asio::write(m_socket, boost::asio::buffer(bytes), problem);
    return !problem;
}

bool raw_connection::has_news()
{
    pollfd watched{m_socket.native_handle(), POLLIN, 0};
    return !m_received.empty() || ::poll(&watched, 1, 0) > 0;
}

std::string raw_connection::read_some(clock::time_point until)
{
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(until - clock::now());
    pollfd watched{m_socket.native_handle(), POLLIN, 0};
    if (left.count() <= 0 || ::poll(&watched, 1, static_cast<int>(left.count())) <= 0) {
        return "no response in time";
    }
    constexpr std::size_t block_bytes = 4096;
    std::array<char, block_bytes> block{};
    boost::system::error_code problem;
    const auto count = m_socket.read_some(boost::asio::buffer(block), problem);
    m_received.append(block.data(), count);
    return problem ? problem.message() : std::string{};
}

raw_reply raw_connection::read(std::chrono::milliseconds timeout)
{
    const auto until = clock::now() + timeout;
    raw_reply result;
    if (!m_is_open) {
        result.problem = "no connection";
        return result;
    }
    auto size = size_of_response(m_received);
    while (size == 0 && result.problem.empty()) {
        result.problem = read_some(until);
        size = size_of_response(m_received);
    }
    result.complete = size > 0;
    if (result.complete) {
        result.problem.clear();
    }
    result.bytes = result.complete ? m_received.substr(0, size) : m_received;
    m_received.erase(0, result.bytes.size());
    constexpr std::size_t status_digits = 3;
    if (result.bytes.starts_with(status_line_start) &&
        result.bytes.size() >= status_line_start.size() + status_digits) {
        result.status = std::stoi(result.bytes.substr(status_line_start.size(), status_digits));
    }
    return result;
}

} // namespace chicorylink::process_tests
