#ifndef CHICORYLINK_WIRE_TEST_CERTIFICATES_HPP
#define CHICORYLINK_WIRE_TEST_CERTIFICATES_HPP

#include "chicorylink/wire/tls_settings.hpp"

#include <cstdio>
#include <memory>
#include <string>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

namespace chicorylink::wire::testing {

/// @brief A certificate authority whose files last for one test; for tests.
class test_authority {
public:
    explicit test_authority(std::string folder)
        : m_folder(std::move(folder)), m_key(make_key()), m_certificate(make("authority", *this))
    {
        write_certificate(m_folder + "authority.pem", m_certificate.get());
    }

    /// @brief Makes a key and a certificate for a VM and writes them to files.
    [[nodiscard]] tls_settings issue(const std::string& name) const
    {
        const auto key = make_key();
        const auto certificate = make(name, *this, key.get());
        tls_settings files{.authority_file = m_folder + "authority.pem",
                           .certificate_file = m_folder + name + ".pem",
                           .key_file = m_folder + name + ".key"};
        write_certificate(files.certificate_file, certificate.get());
        const file out{std::fopen(files.key_file.c_str(), "w"), &std::fclose};
        PEM_write_PrivateKey(out.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr);
        return files;
    }

private:
    using key_ptr = std::shared_ptr<EVP_PKEY>;
    using certificate_ptr = std::shared_ptr<X509>;
    using file = std::unique_ptr<std::FILE, int (*)(std::FILE*)>;

    static constexpr long lifetime_seconds = 3600;

    static key_ptr make_key() { return {EVP_EC_gen("P-256"), EVP_PKEY_free}; }

    static certificate_ptr make(const std::string& name, const test_authority& issuer,
                                EVP_PKEY* key = nullptr)
    {
        const bool self_signed = key == nullptr;
        certificate_ptr issued{X509_new(), X509_free};
        X509_set_version(issued.get(), X509_VERSION_3);
        ASN1_INTEGER_set(X509_get_serialNumber(issued.get()), self_signed ? 1 : 2);
        X509_gmtime_adj(X509_getm_notBefore(issued.get()), -lifetime_seconds);
        X509_gmtime_adj(X509_getm_notAfter(issued.get()), lifetime_seconds);
        auto* const subject = X509_get_subject_name(issued.get());
        X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                                   reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
        X509_set_issuer_name(issued.get(), self_signed
                                               ? subject
                                               : X509_get_subject_name(issuer.m_certificate.get()));
        if (self_signed) {
            auto* const extension =
                X509V3_EXT_conf_nid(nullptr, nullptr, NID_basic_constraints, "critical,CA:TRUE");
            X509_add_ext(issued.get(), extension, -1);
            X509_EXTENSION_free(extension);
        }
        X509_set_pubkey(issued.get(), self_signed ? issuer.m_key.get() : key);
        X509_sign(issued.get(), issuer.m_key.get(), EVP_sha256());
        return issued;
    }

    static void write_certificate(const std::string& path, X509* certificate)
    {
        const file out{std::fopen(path.c_str(), "w"), &std::fclose};
        PEM_write_X509(out.get(), certificate);
    }

    std::string m_folder;
    key_ptr m_key;
    certificate_ptr m_certificate;
};

} // namespace chicorylink::wire::testing

#endif // CHICORYLINK_WIRE_TEST_CERTIFICATES_HPP
