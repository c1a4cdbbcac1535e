#include "exchange.h"
#include "proxy_clock.h"
#include "proxy_state.h"

namespace Vanillahall::Forward {

ChoiceRequest Exchange::choiceRequest() const
{
    ChoiceRequest wanted{m_service, &m_request.attributes, m_maxConnections, &m_excludedServers, m_proxy.ledger.homeZone(m_programKey)};
    wanted.route = m_route.name;
    if (m_customer) {
        wanted.customer = m_customer->name;
    }
    wanted.isSticky = m_route.isSticky;
    wanted.tokensPerEvent = m_tokensPerEvent;
    return wanted;
}

void Exchange::endAttempt(bool isComplete)
{
    AttemptTimes times;
    times.sentAt = m_attemptStartedAt;
    if (m_hadFirstEvent) {
        times.firstEventAt = m_attemptFirstEventAt;
    }
    times.events = m_attemptEvents;
    times.isComplete = isComplete;
    removeServerBytes();
    m_proxy.servers.recordEnd(m_choice, times, now());
    recordAttemptEnd();
}

std::string Exchange::placementFields() const
{
    const auto &plan = m_choice.plan;
    return " expected_all_ms=" + std::to_string(static_cast<int>(plan.finish.count()))
        + " expected_work_ms=" + std::to_string(static_cast<int>(plan.estimate.hold.count()));
}

} // namespace Vanillahall::Forward
