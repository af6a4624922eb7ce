#ifndef CHICORYLINK_STAND_INS_PUBLISHED_STORE_HPP
#define CHICORYLINK_STAND_INS_PUBLISHED_STORE_HPP

#include "stand_ins/http_server.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace chicorylink::stand_ins {

/// @brief Stands in for the platform's store: items with revisions, pages and watches.
class published_store {
public:
    /// @brief How the store handles reads.
    enum class read_mode { normal, refuse, unresponsive };

    explicit published_store(const std::string& listen);
    ~published_store();
    published_store(const published_store&) = delete;
    published_store& operator=(const published_store&) = delete;
    published_store(published_store&&) = delete;
    published_store& operator=(published_store&&) = delete;

    [[nodiscard]] const std::string& address() const { return m_server.address(); }

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);

    /// @brief Discards the change history; watches from an older revision get status 410.
    void compact_history();

    void set_read_mode(read_mode value);

private:
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
    };

    http_response respond(const http_request& request);
    http_response page(const http_request& request);
    http_response wait_for_change(const http_request& request);
    void change(const std::string& key, item next);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::uint64_t m_revision = 1;
    std::uint64_t m_compacted_revision = 0;
    read_mode m_read_mode = read_mode::normal;
    bool m_is_stopping = false;
    http_server m_server;
};

} // namespace chicorylink::stand_ins

#endif // CHICORYLINK_STAND_INS_PUBLISHED_STORE_HPP
