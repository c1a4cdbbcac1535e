#include "link_auth.h"

#include <array>
#include <charconv>

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace Vanillahall {

namespace {

using Digest = std::array<unsigned char, SHA256_DIGEST_LENGTH>;

Digest digestOf(const std::string &text)
{
    Digest digest{};
    SHA256(reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data());
    return digest;
}

std::optional<std::string> find(const LinkMetadata &metadata, const char *name)
{
    const auto it = metadata.find(name);
    if (it == metadata.end()) {
        return std::nullopt;
    }
    return std::string(it->second.data(), it->second.size());
}

} // namespace

std::optional<LinkIdentity> readIdentity(const LinkMetadata &metadata)
{
    auto name = find(metadata, MetadataName);
    const auto incarnation = find(metadata, MetadataIncarnation);
    if (!name || !incarnation) {
        return std::nullopt;
    }
    LinkIdentity identity;
    const char *end = incarnation->data() + incarnation->size();
    const auto [at, ec] = std::from_chars(incarnation->data(), end, identity.incarnation.value);
    if (ec != std::errc() || at != end) {
        return std::nullopt;
    }
    identity.name = std::move(*name);
    identity.key = find(metadata, MetadataKey).value_or(std::string());
    return identity;
}

bool equalKeys(const std::string &a, const std::string &b)
{
    const Digest first = digestOf(a);
    const Digest second = digestOf(b);
    return CRYPTO_memcmp(first.data(), second.data(), first.size()) == 0;
}

} // namespace Vanillahall
