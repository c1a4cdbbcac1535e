#include "vanillahall/core/server_rate_limit_base.h"

namespace Vanillahall::Forward {

ServerRateLimit::ServerRateLimit(std::uint64_t serverHash)
    : m_serverHash(serverHash)
{
}

void ServerRateLimit::setRate(std::optional<double> perSecond)
{
    m_rate = perSecond;
}

void ServerRateLimit::recordSend(TimePoint now)
{
    m_sentAt = now;
}

} // namespace Vanillahall::Forward
