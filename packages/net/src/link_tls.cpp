#include "link_tls.h"

#include <fstream>
#include <iterator>

namespace Vanillahall {

namespace {

bool hasTls(const TlsFiles &files)
{
    return !files.certificate.empty() || !files.authority.empty();
}

/** Reads a file; an empty path leaves `text` unchanged. */
bool readFile(const std::string &path, std::string &text, Error &reason)
{
    if (path.empty()) {
        return true;
    }
    std::ifstream file(path, std::ios::binary);
    text.assign(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    if (file.bad() || text.empty()) {
        reason.peer = path;
        reason.message = "the file can't be read: " + path;
        return false;
    }
    return true;
}

} // namespace

std::shared_ptr<grpc::ServerCredentials> serverCredentials(const TlsFiles &files, Error &reason)
{
    if (!hasTls(files)) {
        return grpc::InsecureServerCredentials();
    }
    grpc::SslServerCredentialsOptions options(files.authority.empty() ? GRPC_SSL_DONT_REQUEST_CLIENT_CERTIFICATE
                                                                      : GRPC_SSL_REQUEST_AND_REQUIRE_CLIENT_CERTIFICATE_AND_VERIFY);
    grpc::SslServerCredentialsOptions::PemKeyCertPair pair;
    if (!readFile(files.authority, options.pem_root_certs, reason) || !readFile(files.key, pair.private_key, reason)
        || !readFile(files.certificate, pair.cert_chain, reason)) {
        return nullptr;
    }
    options.pem_key_cert_pairs.push_back(std::move(pair));
    return grpc::SslServerCredentials(options);
}

std::shared_ptr<grpc::ChannelCredentials> clientCredentials(const TlsFiles &files, Error &reason)
{
    if (!hasTls(files)) {
        return grpc::InsecureChannelCredentials();
    }
    grpc::SslCredentialsOptions options;
    if (!readFile(files.authority, options.pem_root_certs, reason) || !readFile(files.key, options.pem_private_key, reason)
        || !readFile(files.certificate, options.pem_cert_chain, reason)) {
        return nullptr;
    }
    return grpc::SslCredentials(options);
}

} // namespace Vanillahall
