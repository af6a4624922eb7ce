#ifndef CHICORYLINK_GATEWAY_TICKET_DESK_HPP
#define CHICORYLINK_GATEWAY_TICKET_DESK_HPP
namespace chicorylink::gateway {
struct services;
class ticket_desk {
public:
    explicit ticket_desk(services& all) : m_all(all) {}
    void renew() { static_cast<void>(m_all); }
private:
    services& m_all;
};
}  // namespace chicorylink::gateway
#endif  // CHICORYLINK_GATEWAY_TICKET_DESK_HPP
