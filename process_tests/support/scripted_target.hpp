#ifndef CHICORYLINK_PROCESS_TESTS_SUPPORT_SCRIPTED_TARGET_HPP
#define CHICORYLINK_PROCESS_TESTS_SUPPORT_SCRIPTED_TARGET_HPP

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace chicorylink::process_tests {

/// @brief A target whose responses are raw bytes sent by a test script; one thread per connection.
class scripted_target {
public:
    /// @brief A received request and the connection on which the script responds.
    class http_exchange {
    public:
        http_exchange(boost::asio::ip::tcp::socket& socket, std::string head, int request_number)
            : m_socket(socket), m_head(std::move(head)), m_request_number(request_number)
        {
        }

        /// @brief Sends bytes; false when the peer has closed the connection.
        bool send(std::string_view bytes);

        /// @brief Waits; false when the peer closes the connection or sends bytes meanwhile.
        bool pause(std::chrono::milliseconds time);

        /// @brief Ends the direction to the peer and waits until the peer closes the connection.
        void half_close(std::chrono::milliseconds limit);

        /// @brief Reads some bytes of a body that was not read.
        /// @return Their number; zero at the connection's end.
        std::size_t read_some();

        /// @brief Reads what has arrived of such a body, about `max_bytes` at most.
        void read_arrived(std::size_t max_bytes);

        /// @brief Resets the connection, which then can't be used any more.
        void reset();

        /// @brief Closes the connection as the end of a process does: with a reset if bytes are
        /// unread, else in the ordinary way, and with a reset for further bytes.
        void close();

        [[nodiscard]] std::string header(const std::string& name) const;
        [[nodiscard]] std::string id() const { return header("X-Chicorylink-Request-Id"); }
        [[nodiscard]] std::string path() const;
        /// @brief The number of the request on its connection, from 1.
        [[nodiscard]] int request_number() const { return m_request_number; }

        /// @brief A complete response head with the request's id and a server stamp.
        [[nodiscard]] std::string head(const std::string& fields, int status = 200) const;
        /// @brief A complete response that is not streamed.
        [[nodiscard]] std::string response(const std::string& body, const std::string& fields = {},
                                           int status = 200) const;
        /// @brief One chunk of a body.
        [[nodiscard]] static std::string chunk(std::string_view bytes);

    private:
        boost::asio::ip::tcp::socket& m_socket;
        std::string m_head;
        int m_request_number;
    };

    /// Responds to one request; returning false closes the connection.
    using script = std::function<bool(http_exchange&)>;

    /// How much of a request's body is read before its script runs.
    enum class body_reading : std::uint8_t {
        whole,
        /// Nothing of a long one, whose connection ends behind the response.
        only_short,
    };

    /// @param port The port to listen at; 0 takes a free one.
    explicit scripted_target(script respond, const std::string& ip = "127.0.0.1",
                             unsigned short port = 0, body_reading reading = body_reading::whole);
    ~scripted_target();
    scripted_target(const scripted_target&) = delete;
    scripted_target& operator=(const scripted_target&) = delete;
    scripted_target(scripted_target&&) = delete;
    scripted_target& operator=(scripted_target&&) = delete;

    [[nodiscard]] const std::string& address() const { return m_address; }
    [[nodiscard]] int connections() const { return m_connections; }
    /// @brief The number of received requests with an id.
    [[nodiscard]] int request_count(const std::string& id);
    [[nodiscard]] int request_count();

private:
    void accept();
    void serve(boost::asio::ip::tcp::socket& socket);

    script m_respond;
    body_reading m_reading;
    boost::asio::io_context m_io_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_address;
    std::atomic<int> m_connections{0};
    std::mutex m_mutex;
    std::map<std::string, int> m_request_counts;
    std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_accepting;
};

} // namespace chicorylink::process_tests

#endif // CHICORYLINK_PROCESS_TESTS_SUPPORT_SCRIPTED_TARGET_HPP
