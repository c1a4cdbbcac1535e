#include "exchange.h"
#include "proxy_clock.h"
#include "proxy_state.h"
#include "timer_func.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

constexpr Duration TurnGrace = std::chrono::seconds(1); ///< Time after the limit of a request by which its turn has ended.

} // namespace

bool Exchange::requestOutageTokens()
{
    const auto &attributes = m_request.attributes;
    const bool isAsking = !m_askedTurn.empty();
    if (isAsking) {
        return true;
    }
    // Stored conversations need the store anyway. A row whose second share is closed decides alone.
    const bool canAsk = m_proxy.outage.isOn() && hasTokenBudget() && !m_route.storesConversation && !m_isOutageShareSpent
        && !m_proxy.ledger.row(m_programKey).outageTokens;
    const bool isOriginUnknown = isResumed() && !m_origin;
    if (!canAsk || isOriginUnknown || storeWaitLeft() <= Duration::zero()) {
        return false;
    }
    // The owner records the version at which the stream begins, since the row can't.
    std::optional<SoftwareVersion> version;
    if (isVersionInRow()) {
        const auto choice = m_origin ? std::nullopt : chooseServer(nullptr);
        version = choice ? std::optional(choice->server.software()) : m_origin;
        // The row doesn't name it, so the record has to.
        if (!version || !m_proxy.versions.isRecorded(*version)) {
            return false;
        }
    }
    m_askedTurn = m_proxy.outage.nextTurn();
    m_waitsForStore = true;
    setStoreTimer(storeWaitLeft());
    const OutageGrantRequest request{
        m_programKey, m_askedTurn, *attributes.tokenBudget, maxTokens(), std::max(timeLeft(), Duration::zero()) + TurnGrace, version};
    const bool hasOwner = m_proxy.outage.requestGrant(
        request, [self = shared_from_this(), request](const std::string &owner, const std::optional<OutageAnswer> &answer) {
            self->onOutageAnswer(request, owner, answer);
        });
    if (!hasOwner) {
        m_askedTurn.clear();
    }
    return hasOwner;
}

void Exchange::onOutageAnswer(const OutageGrantRequest &request, const std::string &owner, const std::optional<OutageAnswer> &answer)
{
    const bool isGranted = answer && std::holds_alternative<OutageGranted>(*answer);
    const bool isExpected = !m_isEnded && m_askedTurn == request.turn;
    if (isGranted && isExpected) {
        m_askedTurn.clear();
        stopTimer(m_waitTimer);
        m_waitsForStore = false;
        m_outageTurn = OutageTurn{owner, request};
        selectServer();
        return;
    }
    if (isGranted || !answer) {
        // Without an answer, the tokens may be granted all the same.
        m_proxy.outage.report(owner, {request.program, request.turn, 0});
    }
    if (!isExpected) {
        return;
    }
    m_askedTurn.clear();
    m_isOutageShareSpent = answer && std::holds_alternative<OutageShareSpent>(*answer);
    m_proxy.addStoreWaiter(shared_from_this());
    setStoreTimer(std::min(nextStoreRetryDelay(), storeWaitLeft()));
}

void Exchange::settleTokens()
{
    const std::uint64_t used = m_forwardedEvents * m_tokensPerEvent;
    // A reply that arrives from now on is reported as unused.
    m_askedTurn.clear();
    m_isOutageShareSpent = false;
    m_originStep = OriginStep::None;
    m_originSearchedAt.reset();
    m_outageVersions.reset();
    m_isOwnerUnknown = false;
    if (const auto turn = std::exchange(m_outageTurn, std::nullopt)) {
        m_proxy.outage.report(turn->owner, {turn->request.program, turn->request.turn, used});
    }
    if (m_grantedTokens != 0) {
        m_proxy.ledger.settle(m_programKey, m_grantedTokens, used, now());
        m_grantedTokens = 0;
    }
}

} // namespace Vanillahall::Forward
