#include "exchange.h"
#include "http_status.h"
#include "proxy_state.h"
#include "response_text_func.h"

namespace Vanillahall::Forward {

std::size_t Exchange::requestBytes() const
{
    return m_request.headers.size() + (m_conversation ? m_conversation->turn().bodySize() : m_request.body.size());
}

bool Exchange::canBeRefused() const
{
    return !m_isEnded && !m_isClientDisconnected && !m_hasBegunAnswer && !m_connection && m_attempts == 0;
}

void Exchange::refuseForMemory()
{
    answer(StatusUnavailable, ShortRetryAfter, Outcome::TooManyBytesHeld);
}

std::optional<Choice> Exchange::chooseServerWithRoom()
{
    const auto excluded = m_excludedServers.size();
    auto choice = findServerWithRoom(nullptr);
    if (m_excludedServers.size() != excluded) {
        m_proxy.metrics.count("vanillahall_servers_passed_over_total", {"reason", "request_bytes"}, m_excludedServers.size() - excluded);
    }
    return choice;
}

std::optional<Choice> Exchange::findServerWithRoom(ChoiceExplanation *explanation)
{
    while (auto choice = chooseServer(explanation)) {
        if (m_proxy.serverRequestBytes.fits(choice->server.id, requestBytes())) {
            return choice;
        }
        m_excludedServers.insert(choice->server.id);
    }
    return std::nullopt;
}

void Exchange::addServerBytes()
{
    m_serverBytes = requestBytes();
    m_proxy.serverRequestBytes.add(m_choice.server.id, m_serverBytes);
}

void Exchange::removeServerBytes()
{
    m_heldCopy.set(0);
    m_proxy.serverRequestBytes.remove(m_choice.server.id, std::exchange(m_serverBytes, 0));
}

} // namespace Vanillahall::Forward
