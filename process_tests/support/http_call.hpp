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
    /// Whether the response is returned without its body.
    bool discard_body = false;
};

/// @brief The response to a call.
struct reply {
    /// Zero when there was no response.
    int status = 0;
    /// Whether the complete response was received.
    bool complete = false;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    [[nodiscard]] std::string header(const std::string& lower_case_name) const;
    [[nodiscard]] nlohmann::json json() const;
    /// @brief `error.kind` of a refusal; empty for other responses.
    [[nodiscard]] std::string refusal() const;
};

/// @brief Makes a call and waits until it ends.
[[nodiscard]] reply perform(const call& request);

/// @brief Makes a call and retries it while the team is over its rate or the VM is not ready, up to
/// a fixed number of attempts.
[[nodiscard]] reply perform_when_admitted(const call& request);

/// @brief A persistent connection for several calls, one after the other.
class connection {
public:
    connection();
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;
    connection(connection&&) = delete;
    connection& operator=(connection&&) = delete;

    [[nodiscard]] reply perform(const call& request);

    /// @brief The number of connections opened for the calls so far.
    [[nodiscard]] long opened() const { return m_opened; }

private:
    void* m_handle;
    long m_opened = 0;
};

} // namespace chicorylink::process_tests

#endif // CHICORYLINK_PROCESS_TESTS_SUPPORT_HTTP_CALL_HPP
