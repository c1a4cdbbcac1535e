#include "vanillahall/core/stream_origins_base.h"

namespace Vanillahall::Forward {

std::optional<SoftwareVersion> StreamOrigins::find(const std::string &request) const
{
    const auto it = m_software.find(request);
    return it == m_software.end() ? std::nullopt : std::optional(it->second);
}

std::size_t StreamOrigins::size() const
{
    return m_software.size();
}

} // namespace Vanillahall::Forward
