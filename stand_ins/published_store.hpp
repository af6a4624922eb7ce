#ifndef CHICORYLINK_STAND_INS_PUBLISHED_STORE_HPP
#define CHICORYLINK_STAND_INS_PUBLISHED_STORE_HPP

#include "stand_ins/http_server.hpp"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace chicorylink::stand_ins {

/// @brief Stands in for the platform's store: items with revisions, pages and watches.
///
/// All responses carry the store's era, which counts from 1 how often it came back from a copy.
class published_store {
    struct item {
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
    };

public:
    /// @brief How the store handles reads.
    enum class read_mode { normal, refuse, unresponsive };

    /// @brief What the store held at one moment.
    struct copy {
        std::map<std::string, item> items;
        std::uint64_t revision = 0;
        std::uint64_t compacted_revision = 0;
    };

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

    [[nodiscard]] copy take_copy();

    /// @brief Comes back from a copy in a new era: what changed since the copy is lost, and its
    /// revisions are given out again. Waiting watches lose their connections; later ones from a
    /// revision that the store doesn't have get status 410.
    void restore(const copy& older);

    /// @brief Sends another value of the era's header instead of the era; no header if empty.
    void set_era_header(const std::string& value);
    /// @brief Sends the era again.
    void reset_era_header();

private:
    /// Adds the header of the era; called with the lock held.
    [[nodiscard]] http_response with_era(http_response response) const;
    http_response respond(const http_request& request);
    http_response page(const http_request& request);
    http_response wait_for_change(const http_request& request);
    void change(const std::string& key, item next);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, item> m_items;
    std::uint64_t m_revision = 1;
    std::uint64_t m_compacted_revision = 0;
    std::uint64_t m_era = 1;
    std::optional<std::string> m_era_header;
    read_mode m_read_mode = read_mode::normal;
    bool m_is_stopping = false;
    http_server m_server;
};

} // namespace chicorylink::stand_ins

#endif // CHICORYLINK_STAND_INS_PUBLISHED_STORE_HPP
