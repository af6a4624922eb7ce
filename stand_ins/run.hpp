#ifndef CHICORYLINK_STAND_INS_RUN_HPP
#define CHICORYLINK_STAND_INS_RUN_HPP

#include "stand_ins/http_server.hpp"

#include <string>

namespace chicorylink::stand_ins {

/// @brief Serves until SIGTERM or SIGINT; prints `{"address": "IP:port"}` once it listens.
/// @return The exit code of the process.
[[nodiscard]] int run(const std::string& listen, http_handlers handlers);

} // namespace chicorylink::stand_ins

#endif // CHICORYLINK_STAND_INS_RUN_HPP
