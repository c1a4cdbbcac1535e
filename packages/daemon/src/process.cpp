#include "process_func.h"

#include "vanillahall/core/error_func.h"

#include <fstream>

#include <openssl/rand.h>

namespace Vanillahall {

namespace {

constexpr std::size_t MinKeyLength = 16; ///< Shorter secrets would be open to brute force.

} // namespace

std::uint64_t randomNumber()
{
    std::uint64_t number = 0;
    RAND_bytes(reinterpret_cast<unsigned char *>(&number), sizeof(number));
    return number;
}

std::string toText(const Endpoint &endpoint)
{
    const bool isIpv6 = endpoint.address.find(':') != std::string::npos;
    const std::string address = isIpv6 ? "[" + endpoint.address + "]" : endpoint.address;
    return address + ":" + std::to_string(endpoint.port);
}

std::optional<LinkIdentity> readIdentity(const Settings &settings, Incarnation incarnation, Error &reason)
{
    std::ifstream stream(settings.linkKeyFile);
    std::string key;
    stream >> key;
    if (key.size() < MinKeyLength) {
        reason = notRun(ErrorCode::BadRequest,
                        Step::Authenticate,
                        settings.linkKeyFile,
                        "link.key_file: expected one word of at least " + std::to_string(MinKeyLength) + " bytes");
        return std::nullopt;
    }
    return LinkIdentity{settings.name, incarnation, key};
}

} // namespace Vanillahall
