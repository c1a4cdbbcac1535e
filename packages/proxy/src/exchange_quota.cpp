#include "exchange.h"
#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"
#include "response_text_func.h"
#include "timer_func.h"

#include <algorithm>
#include <utility>

namespace Vanillahall::Forward {

namespace {

/** Longest wait for a permit: two exchanges of reports, after which this proxy's part follows its demand. */
constexpr Duration MaxPermitWait = std::chrono::milliseconds(900);
constexpr int PermitWaitDivisor = 2; ///< A request waits for a permit for at most half of its time limit.
constexpr Duration PermitCheckInterval = std::chrono::milliseconds(50); ///< Interval between requests for a permit; a part grows steadily.

} // namespace

bool Exchange::hasRateLimit() const
{
    return m_customer && m_customer->limit.perSecond > 0;
}

ProgramHints Exchange::programHints() const
{
    const auto &attributes = m_request.attributes;
    const auto &services = m_proxy.routes.config().services;
    const auto service = services.find(m_service);
    const bool isModelRoute = service != services.end() && service->second.slots != 0;
    return {m_customer->name, attributes.program, attributes.session, !attributes.previousTurn.empty(), isModelRoute};
}

QuotaRequest Exchange::quotaRequest() const
{
    const auto hints = programHints();
    return {m_customer->name,
            m_proxy.programs.contains(hints, now()),
            m_hasRequestedPermit,
            std::hash<std::string>()(hints.program.empty() ? m_request.attributes.requestId : m_request.attributes.program),
            timeLeft()};
}

Duration Exchange::permitWaitLeft() const
{
    return m_request.arrived + std::min(MaxPermitWait, (m_limitAt - m_request.arrived) / PermitWaitDivisor) - now();
}

void Exchange::requestPermit()
{
    const bool isRegistered = std::exchange(m_waitsForPermit, false);
    if (!hasRateLimit()) {
        continueWithPermit();
        return;
    }
    const auto result = m_proxy.requestPermit(quotaRequest());
    m_hasRequestedPermit = true;
    if (std::holds_alternative<QuotaGranted>(result)) {
        m_hasPermit = true;
        m_permitCustomer = m_customer->name;
        m_proxy.programs.record(programHints(), now());
        continueWithPermit();
        return;
    }
    if (const auto *refused = std::get_if<QuotaRefused>(&result)) {
        m_proxy.recordQuotaRefusal(m_customer->name, refused->retryAfter);
        answer(StatusTooManyRequests, refused->retryAfter, Outcome::QuotaSpent);
        return;
    }
    m_waitsForPermit = true;
    if (!isRegistered) {
        m_proxy.addQuotaWaiter(m_customer->name, shared_from_this());
    }
    const auto waitLeft = permitWaitLeft();
    runAfter(m_waitTimer, std::clamp(waitLeft, Duration::zero(), PermitCheckInterval), *this, [waitLeft](Exchange &self) {
        if (waitLeft > PermitCheckInterval) {
            self.requestPermit();
        } else {
            self.m_proxy.metrics.count("vanillahall_quota_requests_total", {"outcome", "uncertain"});
            self.answer(StatusUnavailable, StoreRetryAfter, Outcome::QuotaUncertain);
        }
    });
}

void Exchange::onPermitUpdate()
{
    if (!m_isEnded && m_waitsForPermit) {
        stopTimer(m_waitTimer);
        // The proxy has removed it from the waiting requests.
        m_waitsForPermit = false;
        requestPermit();
    }
}

void Exchange::continueWithPermit()
{
    if (m_grantedTokens != 0 || m_outageTurn) {
        selectServer();
    } else {
        queryStore();
    }
}

bool Exchange::confirmPermit()
{
    // A request counts once, also if it is sent to several servers.
    if (m_mayHaveRun != 0 || !hasRateLimit()) {
        return true;
    }
    // The customer is another one if its key was moved meanwhile.
    if (m_hasPermit && m_permitCustomer == m_customer->name) {
        return true;
    }
    returnPermit();
    requestPermit();
    return false;
}

void Exchange::returnPermit()
{
    if (std::exchange(m_hasPermit, false) && m_mayHaveRun == 0) {
        m_proxy.quotas.takeBack(m_permitCustomer);
    }
}

} // namespace Vanillahall::Forward
