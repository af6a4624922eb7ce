#ifndef CHICORYLINK_PROCESS_TESTS_SUPPORT_HTTP_CALL_HPP
#define CHICORYLINK_PROCESS_TESTS_SUPPORT_HTTP_CALL_HPP

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace chicorylink::process_tests {

/// @brief One HTTP call of a test.
struct call {
    std::string method = "GET";
    std::string url;
    std::vector<std::string> headers;
    std::string body;
    long timeout_ms = 30'000;
    /// Called with each piece of the body; returning false closes the connection.
    std::function<bool(const std::string& piece)> on_data;
};

/// @brief What came back.
struct reply {
    /// Zero when no answer came.
    int status = 0;
    /// Whether all of the answer arrived.
    bool whole = false;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string& lower_case_name) const;
    [[nodiscard]] nlohmann::json json() const;
    /// @brief `error.kind` of a refusal; empty for another answer.
    [[nodiscard]] std::string refusal() const;
};

/// @brief Makes a call and waits for its end.
[[nodiscard]] reply perform(const call& wanted);

/// @brief Makes a call, again while the answer is that the team's rate is used up or that the VM
/// is not ready, for a bounded number of tries.
[[nodiscard]] reply perform_when_admitted(const call& wanted);

/// @brief A connection that several calls share, one after the other.
class connection {
public:
    connection();
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;

    [[nodiscard]] reply perform(const call& wanted);

    /// @brief Connections that were opened for the calls so far.
    [[nodiscard]] long opened() const { return m_opened; }

private:
    void* m_handle;
    long m_opened = 0;
};

} // namespace chicorylink::process_tests

#endif // CHICORYLINK_PROCESS_TESTS_SUPPORT_HTTP_CALL_HPP
