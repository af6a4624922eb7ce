// Baseline of relay_figures, the minimum cost of a relay: one thread copies bytes between a
// caller's connection and a new one to the target without parsing them.

#include <array>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

namespace {

using boost::asio::ip::tcp;
using error_code = boost::system::error_code;

tcp::endpoint endpoint_of(const std::string& address)
{
    const auto colon = address.rfind(':');
    return {boost::asio::ip::make_address(address.substr(0, colon)),
            static_cast<unsigned short>(std::stoi(address.substr(colon + 1)))};
}

class relayed_connection : public std::enable_shared_from_this<relayed_connection> {
public:
    explicit relayed_connection(tcp::socket caller)
        : m_caller(std::move(caller)), m_target(m_caller.get_executor())
    {
    }

    void start(const tcp::endpoint& target)
    {
        m_target.async_connect(target, [self = shared_from_this()](const error_code& problem) {
            if (problem) {
                std::cerr << "the target can't be reached: " << problem.message() << "\n";
                return;
            }
            self->m_caller.set_option(tcp::no_delay(true));
            self->m_target.set_option(tcp::no_delay(true));
            self->copy(self->m_caller, self->m_target, self->m_from_caller);
            self->copy(self->m_target, self->m_caller, self->m_from_target);
        });
    }

private:
    using block = std::array<char, 16UL * 1024>;

    void copy(tcp::socket& from, tcp::socket& to, block& bytes)
    {
        from.async_read_some(
            boost::asio::buffer(bytes), [self = shared_from_this(), &from, &to,
                                         &bytes](const error_code& problem, std::size_t size) {
                if (problem) {
                    error_code ignored;
                    to.shutdown(tcp::socket::shutdown_send, ignored);
                    return;
                }
                boost::asio::async_write(
                    to, boost::asio::buffer(bytes, size),
                    [self, &from, &to, &bytes](const error_code& failed, std::size_t /*sent*/) {
                        if (!failed) {
                            self->copy(from, to, bytes);
                        }
                    });
            });
    }

    tcp::socket m_caller;
    tcp::socket m_target;
    block m_from_caller{};
    block m_from_target{};
};

void accept(tcp::acceptor& acceptor, const tcp::endpoint& target)
{
    acceptor.async_accept([&acceptor, target](const error_code& problem, tcp::socket caller) {
        if (!problem) {
            std::make_shared<relayed_connection>(std::move(caller))->start(target);
        }
        accept(acceptor, target);
    });
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3) {
        std::cerr << "usage: bare_relay LISTEN_ADDRESS TARGET_ADDRESS\n";
        return EXIT_FAILURE;
    }
    try {
        boost::asio::io_context context(1);
        tcp::acceptor acceptor(context, endpoint_of(argv[1]));
        accept(acceptor, endpoint_of(argv[2]));
        std::cout << R"({"event":"ready"})" << std::endl;
        context.run();
    }
    catch (const std::exception& failure) {
        std::cerr << failure.what() << "\n";
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
