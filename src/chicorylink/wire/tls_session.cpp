#include "chicorylink/wire/tls_session.hpp"

#include "chicorylink/wire/tls_context.hpp"

#include <array>

#include <fmt/format.h>
#include <openssl/bio.h>
#include <openssl/err.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>

namespace chicorylink::wire {
namespace {

constexpr std::size_t read_bytes = 16U << 10U;
constexpr std::size_t name_bytes = 256;

base::leaf::error_id failed(const ssl_st* session)
{
    std::array<char, name_bytes> text{};
    ERR_error_string_n(ERR_get_error(), text.data(), text.size());
    ERR_clear_error();
    const auto verified = SSL_get_verify_result(session);
    return base::fail(base::error_kind::not_allowed,
                      fmt::format("TLS with a peer failed: {}, certificate: {}", text.data(),
                                  X509_verify_cert_error_string(verified)),
                      "give all VMs valid certificates of the same authority");
}

} // namespace

tls_session::tls_session(const tls_context& context, bool is_client)
    : m_ssl(SSL_new(context.raw())), m_input(BIO_new(BIO_s_mem())), m_output(BIO_new(BIO_s_mem()))
{
    SSL_set_bio(m_ssl, m_input, m_output);
    if (is_client) {
        SSL_set_connect_state(m_ssl);
    }
    else {
        SSL_set_accept_state(m_ssl);
    }
    SSL_do_handshake(m_ssl);
}

tls_session::~tls_session()
{
    SSL_free(m_ssl);
}

base::result<void> tls_session::receive(std::span<const std::uint8_t> encrypted,
                                        std::vector<std::uint8_t>& plain)
{
    if (BIO_write(m_input, encrypted.data(), static_cast<int>(encrypted.size())) <= 0) {
        return failed(m_ssl);
    }
    return process_input(plain);
}

base::result<void> tls_session::process_input(std::vector<std::uint8_t>& plain)
{
    ERR_clear_error();
    if (!m_handshake_done) {
        const int done = SSL_do_handshake(m_ssl);
        if (done != 1) {
            const int reason = SSL_get_error(m_ssl, done);
            if (reason == SSL_ERROR_WANT_READ || reason == SSL_ERROR_WANT_WRITE) {
                return {};
            }
            return failed(m_ssl);
        }
        m_handshake_done = true;
    }
    std::array<std::uint8_t, read_bytes> buffer{};
    while (true) {
        const int count = SSL_read(m_ssl, buffer.data(), static_cast<int>(buffer.size()));
        if (count > 0) {
            plain.insert(plain.end(), buffer.begin(), buffer.begin() + count);
            continue;
        }
        const int reason = SSL_get_error(m_ssl, count);
        if (reason == SSL_ERROR_WANT_READ || reason == SSL_ERROR_WANT_WRITE) {
            return {};
        }
        return failed(m_ssl);
    }
}

base::result<void> tls_session::send(std::span<const std::uint8_t> plain)
{
    if (plain.empty()) {
        return {};
    }
    ERR_clear_error();
    if (SSL_write(m_ssl, plain.data(), static_cast<int>(plain.size())) <= 0) {
        return failed(m_ssl);
    }
    return {};
}

void tls_session::take_output(std::vector<std::uint8_t>& out)
{
    const auto size = BIO_ctrl_pending(m_output);
    if (size == 0) {
        return;
    }
    const auto old = out.size();
    out.resize(old + size);
    const int count = BIO_read(m_output, out.data() + old, static_cast<int>(size));
    out.resize(old + static_cast<std::size_t>(count > 0 ? count : 0));
}

std::string tls_session::peer_name() const
{
    if (!m_handshake_done) {
        return {};
    }
    auto* const certificate = SSL_get1_peer_certificate(m_ssl);
    if (certificate == nullptr) {
        return {};
    }
    std::array<char, name_bytes> text{};
    X509_NAME_get_text_by_NID(X509_get_subject_name(certificate), NID_commonName, text.data(),
                              static_cast<int>(text.size()));
    X509_free(certificate);
    return text.data();
}

} // namespace chicorylink::wire
