/** Hash of names by which requests and servers are matched. */
#pragma once

#include <cstdint>
#include <string_view>

#include <xxhash.h>

namespace Vanillahall::Forward {

/** @return Hash of a name; the same at all proxies. */
inline std::uint64_t keyHash(std::string_view key)
{
    return XXH3_64bits(key.data(), key.size());
}

} // namespace Vanillahall::Forward
