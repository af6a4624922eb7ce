#include "raw_exchange.hpp"

#include <array>

#include <boost/asio/ip/tcp.hpp>

namespace chicorylink::process_tests {
namespace {

constexpr std::string_view status_line_start = "HTTP/1.1 ";

} // namespace

int raw_response::status() const
{
    return bytes.starts_with(status_line_start)
               ? std::stoi(bytes.substr(status_line_start.size(), 3))
               : 0;
}

std::size_t raw_response::response_count() const
{
    std::size_t count = 0;
    for (auto at = bytes.find(status_line_start); at != std::string::npos;
         at = bytes.find(status_line_start, at + 1)) {
        ++count;
    }
    return count;
}

raw_response exchange_raw(const std::string& address, const std::string& bytes,
                          std::chrono::milliseconds timeout)
{
    const auto colon = address.rfind(':');
    boost::asio::ip::tcp::iostream stream;
    stream.expires_after(timeout);
    stream.connect(address.substr(0, colon), address.substr(colon + 1));
    stream << bytes << std::flush;
    raw_response response;
    std::array<char, 4096> block{};
    while (stream.read(block.data(), 1)) {
        response.bytes.push_back(block[0]);
    }
    const auto problem = stream.error();
    response.closed = problem != boost::asio::error::operation_aborted &&
                      problem != boost::asio::error::timed_out;
    return response;
}

} // namespace chicorylink::process_tests
