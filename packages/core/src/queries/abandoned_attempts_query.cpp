#include "vanillahall/core/abandoned_attempts_base.h"

namespace Vanillahall::Forward {

std::string_view serverEndName(ServerEnd end)
{
    switch (end) {
    case ServerEnd::Refused:
        return "refused";
    case ServerEnd::Restarted:
        return "restarted";
    case ServerEnd::Unreachable:
        return "unreachable";
    }
    return "unknown";
}

std::size_t AbandonedAttempts::size() const
{
    std::size_t n = 0;
    for (const auto &[id, state] : m_servers) {
        n += state.attempts.size();
    }
    return n;
}

std::vector<Server> AbandonedAttempts::serversToWatch(bool unlisted) const
{
    std::vector<Server> list;
    for (const auto &[id, state] : m_servers) {
        if (state.isUnlisted == unlisted) {
            list.push_back(state.server);
        }
    }
    return list;
}

} // namespace Vanillahall::Forward
