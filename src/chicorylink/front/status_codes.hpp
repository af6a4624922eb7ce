#ifndef CHICORYLINK_FRONT_STATUS_CODES_HPP
#define CHICORYLINK_FRONT_STATUS_CODES_HPP

namespace chicorylink::front {

inline constexpr int ok_status = 200;
inline constexpr int first_error_status = 400;
inline constexpr int bad_request_status = 400;
inline constexpr int unauthorized_status = 401;
inline constexpr int not_found_status = 404;
inline constexpr int request_timeout_status = 408;
inline constexpr int content_too_large_status = 413;
inline constexpr int misdirected_status = 421;
inline constexpr int too_many_requests_status = 429;
inline constexpr int fields_too_large_status = 431;
inline constexpr int first_server_error_status = 500;
inline constexpr int bad_gateway_status = 502;
inline constexpr int unavailable_status = 503;
inline constexpr int gateway_timeout_status = 504;

} // namespace chicorylink::front

#endif // CHICORYLINK_FRONT_STATUS_CODES_HPP
