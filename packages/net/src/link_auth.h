/** Exchange of process identities when a link opens. */
#pragma once

#include "vanillahall/net/link_base.h"

#include <map>
#include <optional>
#include <string>

#include <grpcpp/support/string_ref.h>

namespace Vanillahall {

using LinkMetadata = std::multimap<grpc::string_ref, grpc::string_ref>; ///< Received metadata.

/** Calls `add(name, value)` for each metadata entry. @param withKey True to include the shared secret. */
template<typename Add>
void writeIdentity(const LinkIdentity &self, bool withKey, Add add);

/** Reads the identity of the peer. @return std::nullopt if the name or the incarnation is missing, or the incarnation isn't a number. */
std::optional<LinkIdentity> readIdentity(const LinkMetadata &metadata);

/** Compares two secrets in constant time. */
bool equalKeys(const std::string &a, const std::string &b);

constexpr const char *MetadataName = "vanillahall-name-bin";               ///< Name of the process.
constexpr const char *MetadataIncarnation = "vanillahall-incarnation-bin"; ///< Incarnation, in decimal digits.
constexpr const char *MetadataKey = "vanillahall-key-bin";                 ///< The shared secret.

template<typename Add>
void writeIdentity(const LinkIdentity &self, bool withKey, Add add)
{
    add(MetadataName, self.name);
    add(MetadataIncarnation, std::to_string(self.incarnation.value));
    if (withKey) {
        add(MetadataKey, self.key);
    }
}

} // namespace Vanillahall
