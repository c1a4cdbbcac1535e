#include "exchange.h"
#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"
#include "response_text_func.h"

#include "vanillahall/platform/wire_turn_func.h"

namespace Vanillahall::Forward {

bool Exchange::isTurnNameValid() const
{
    const auto &facts = m_request.facts;
    if (!m_route.keepsConversation) {
        return facts.previousTurn.empty() && !facts.isTurnFaulty;
    }
    return !facts.isTurnFaulty && Platform::isTurnId(facts.requestId);
}

void Exchange::findConversation()
{
    // Without the store the turn can't be stored, so running it would waste the work.
    if (!m_proxy.isStoreReachable()) {
        waitForStore();
        return;
    }
    m_waitsForStore = false;
    const auto &facts = m_request.facts;
    m_conversation = std::make_shared<Conversation>(
        m_proxy, TurnStart{facts.requestId, facts.previousTurn, std::move(m_request.body), m_route.retention, facts.program});
    m_conversation->find(std::min(StoreTimeout, std::max(Duration::zero(), storeWaitLeft())),
                         [weak = weak_from_this()](const TurnStep &result) {
                             if (const auto self = weak.lock()) {
                                 self->onConversationFound(result);
                             }
                         });
}

void Exchange::onConversationFound(const TurnStep &result)
{
    if (m_isEnded) {
        return;
    }
    if (std::holds_alternative<TurnNotFound>(result)) {
        answer(StatusNotFound, std::nullopt, Outcome::NoSuchTurn);
        return;
    }
    if (std::holds_alternative<ConversationTooLong>(result)) {
        answer(StatusTooLarge, std::nullopt, Outcome::ConversationTooLong);
        return;
    }
    if (!std::holds_alternative<ConversationReady>(result)) {
        answer(StatusUnavailable, StoreRetryAfter, Outcome::ConversationAway);
        return;
    }
    const auto bytes = m_conversation->turn().bodySize();
    if (!m_proxy.reserveBodyBytes(0, bytes)) {
        answer(StatusUnavailable, ShortRetryAfter, Outcome::TooManyBytesHeld);
        return;
    }
    if (const auto tokens = m_conversation->turn().knownTokens()) {
        m_proxy.ledger.learn(m_request.facts.program, *tokens, now());
    }
    m_conversationBytes = bytes;
    m_hasConversation = true;
    requestTokens();
}

} // namespace Vanillahall::Forward
