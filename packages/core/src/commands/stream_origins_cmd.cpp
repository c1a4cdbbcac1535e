#include "vanillahall/core/stream_origins_base.h"

namespace Vanillahall::Forward {

void StreamOrigins::record(const std::string &request, const SoftwareVersion &software, TimePoint now)
{
    while (!m_entries.empty() && (m_entries.size() >= MaxStreamOrigins || now - m_entries.front().recordedAt >= StreamOriginLifetime)) {
        m_software.erase(m_entries.front().request);
        m_entries.pop_front();
    }
    if (m_software.emplace(request, software).second) {
        m_entries.push_back({request, now});
    }
}

} // namespace Vanillahall::Forward
