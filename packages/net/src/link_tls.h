/** TLS credentials of links. */
#pragma once

#include "vanillahall/net/http_type.h"

#include <memory>

#include <grpcpp/security/credentials.h>
#include <grpcpp/security/server_credentials.h>

namespace Vanillahall {

/** @return Credentials for accepting links; null if a file can't be read, with its path in `reason`. */
std::shared_ptr<grpc::ServerCredentials> serverCredentials(const TlsFiles &files, Error &reason);

/** @return Credentials for opening links; null if a file can't be read, with its path in `reason`. */
std::shared_ptr<grpc::ChannelCredentials> clientCredentials(const TlsFiles &files, Error &reason);

} // namespace Vanillahall
