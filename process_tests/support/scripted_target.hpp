#ifndef CHICORYLINK_PROCESS_TESTS_SUPPORT_SCRIPTED_TARGET_HPP
#define CHICORYLINK_PROCESS_TESTS_SUPPORT_SCRIPTED_TARGET_HPP

#include <atomic>
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

/// @brief A target that answers with whatever bytes a test wants, on one thread a connection.
class scripted_target {
public:
    /// @brief A request that came, and the connection on which the script answers it.
    class visit {
    public:
        visit(boost::asio::ip::tcp::socket& socket, std::string head, int turn)
            : m_socket(socket), m_head(std::move(head)), m_turn(turn)
        {
        }

        /// @brief Sends bytes; false when the other side has closed the connection.
        bool send(std::string_view bytes);

        /// @brief Waits; false when the other side closes the connection meanwhile.
        bool pause(std::chrono::milliseconds time);

        [[nodiscard]] std::string header(const std::string& name) const;
        [[nodiscard]] std::string id() const { return header("X-Chicorylink-Request-Id"); }
        [[nodiscard]] std::string path() const;
        /// @brief The how manieth request on its connection it is, from 1.
        [[nodiscard]] int turn() const { return m_turn; }

        /// @brief A head that ends here, with the request's id and a stamp.
        [[nodiscard]] std::string head(const std::string& fields, int status = 200) const;
        /// @brief A whole plain answer.
        [[nodiscard]] std::string answer(const std::string& body, const std::string& fields = {},
                                         int status = 200) const;
        /// @brief One chunk of a body.
        [[nodiscard]] static std::string chunk(std::string_view bytes);

    private:
        boost::asio::ip::tcp::socket& m_socket;
        std::string m_head;
        int m_turn;
    };

    /// Answers one request; false closes the connection.
    using script = std::function<bool(visit&)>;

    explicit scripted_target(script answer);
    ~scripted_target();
    scripted_target(const scripted_target&) = delete;
    scripted_target& operator=(const scripted_target&) = delete;
    scripted_target(scripted_target&&) = delete;
    scripted_target& operator=(scripted_target&&) = delete;

    [[nodiscard]] const std::string& address() const { return m_address; }
    [[nodiscard]] int connections() const { return m_connections; }
    /// @brief How often a request of an id came.
    [[nodiscard]] int arrivals(const std::string& id);
    [[nodiscard]] int arrivals();

private:
    void accept();
    void serve(boost::asio::ip::tcp::socket& socket);

    script m_answer;
    boost::asio::io_context m_loop;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::string m_address;
    std::atomic<int> m_connections{0};
    std::mutex m_mutex;
    std::map<std::string, int> m_arrivals;
    std::vector<std::shared_ptr<boost::asio::ip::tcp::socket>> m_sockets;
    std::vector<std::thread> m_threads;
    std::thread m_accepting;
};

} // namespace chicorylink::process_tests

#endif // CHICORYLINK_PROCESS_TESTS_SUPPORT_SCRIPTED_TARGET_HPP
