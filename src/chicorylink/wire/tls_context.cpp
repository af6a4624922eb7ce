#include "chicorylink/wire/tls_context.hpp"

#include <fmt/format.h>
#include <openssl/ssl.h>

namespace chicorylink::wire {
namespace {

constexpr int chain_depth = 4;

base::leaf::error_id unusable(const char* file_kind, const std::string& file)
{
    return base::fail(base::error_kind::invalid_setting,
                      fmt::format("the {} '{}' can't be used for peer links", file_kind, file),
                      "give readable PEM files whose key fits the certificate");
}

} // namespace

tls_context::tls_context(ssl_ctx_st* raw, bool require_vm_name)
    : m_raw(raw), m_require_vm_name(require_vm_name)
{
}

tls_context::~tls_context()
{
    SSL_CTX_free(m_raw);
}

base::result<std::shared_ptr<const tls_context>> tls_context::load(const tls_settings& settings)
{
    auto* const raw = SSL_CTX_new(TLS_method());
    if (raw == nullptr) {
        return base::fail(base::error_kind::unavailable, "OpenSSL gives no TLS context",
                          "check the installation of OpenSSL");
    }
    std::shared_ptr<const tls_context> context{new tls_context{raw, settings.require_vm_name}};
    SSL_CTX_set_min_proto_version(raw, TLS1_3_VERSION);
    SSL_CTX_set_verify(raw, SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT, nullptr);
    SSL_CTX_set_verify_depth(raw, chain_depth);
    SSL_CTX_set_session_cache_mode(raw, SSL_SESS_CACHE_OFF);
    SSL_CTX_set_num_tickets(raw, 0);
    SSL_CTX_set_mode(raw, SSL_MODE_RELEASE_BUFFERS);
    if (SSL_CTX_load_verify_file(raw, settings.authority_file.c_str()) != 1) {
        return unusable("authority file", settings.authority_file);
    }
    if (SSL_CTX_use_certificate_chain_file(raw, settings.certificate_file.c_str()) != 1) {
        return unusable("certificate file", settings.certificate_file);
    }
    if (SSL_CTX_use_PrivateKey_file(raw, settings.key_file.c_str(), SSL_FILETYPE_PEM) != 1 ||
        SSL_CTX_check_private_key(raw) != 1) {
        return unusable("key file", settings.key_file);
    }
    return context;
}

} // namespace chicorylink::wire
