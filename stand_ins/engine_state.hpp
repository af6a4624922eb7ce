#ifndef CHICORYLINK_STAND_INS_ENGINE_STATE_HPP
#define CHICORYLINK_STAND_INS_ENGINE_STATE_HPP

#include "stand_ins/engine_settings.hpp"
#include "stand_ins/engine_slots.hpp"
#include "stand_ins/generation.hpp"
#include "stand_ins/http_request.hpp"
#include "stand_ins/http_response.hpp"
#include "stand_ins/prefix_cache.hpp"
#include "stand_ins/target_control.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace chicorylink::stand_ins {

/// @brief A model engine that generates fake tokens.
class engine_state {
public:
    explicit engine_state(engine_settings settings);

    /// @brief Handles one call of docs/PLATFORM.md or one control call.
    [[nodiscard]] http_response respond(const http_request& request);

    /// @brief Blocks while request bodies must stay unread.
    void before_body(const http_request& request) { m_control.wait_until_reading(request); }

    /// @brief Takes a new load report; called by the program once per report lag.
    void refresh_report();

private:
    using fencing_token = std::array<std::uint64_t, 3>;

    struct report {
        engine_slots::load load;
        std::deque<std::uint64_t> cached;
        std::chrono::steady_clock::time_point created_at;
    };

    http_response handle_chat(const http_request& request);
    http_response run_chat(const http_request& request, generation chat_request,
                           const target_faults& faults);
    http_response plain_chat(const http_request& request, const generation& chat_request,
                             const target_faults& faults);
    http_response stream_chat(const http_request& request, const generation& chat_request,
                              const target_faults& faults);
    http_response handle_load() const;
    http_response handle_command(const http_request& request);
    bool pause(const http_request& request, std::chrono::microseconds duration) const;
    [[nodiscard]] std::string load_header() const;
    void finish(bool sent_completely);

    engine_settings m_settings;
    target_control m_control;
    engine_slots m_slots;
    prefix_cache m_cache;
    mutable std::mutex m_mutex;
    report m_report;
    fencing_token m_newest_token{};
    std::map<std::string, std::string> m_model_states;
};

} // namespace chicorylink::stand_ins

#endif // CHICORYLINK_STAND_INS_ENGINE_STATE_HPP
