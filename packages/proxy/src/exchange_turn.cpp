#include "exchange.h"
#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"
#include "response_text_func.h"

#include "vanillahall/platform/wire_turn_func.h"

namespace Vanillahall::Forward {

bool Exchange::isTurnNameValid() const
{
    const auto &attributes = m_request.attributes;
    if (!m_route.storesConversation) {
        return attributes.previousTurn.empty() && !attributes.isPreviousTurnInvalid;
    }
    const bool isPreviousValid = attributes.previousTurn.empty() || Platform::isTurnKey(keyOf(attributes.previousTurn));
    return !attributes.isPreviousTurnInvalid && isPreviousValid && Platform::isTurnId(attributes.requestId)
        && Platform::isTurnKey(keyOf(attributes.requestId));
}

void Exchange::findConversation()
{
    // Without the store the turn can't be stored, so running it would waste the work.
    if (!m_proxy.isStoreReachable()) {
        waitForStore();
        return;
    }
    m_waitsForStore = false;
    const auto &attributes = m_request.attributes;
    m_conversation = std::make_shared<Conversation>(
        m_proxy,
        TurnStart{keyOf(attributes.requestId), keyOf(attributes.previousTurn), std::move(m_request.body), m_route.retention, m_programKey});
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
        m_proxy.ledger.mergeRow(m_programKey, *tokens, now());
    }
    m_conversationBytes = bytes;
    m_hasConversation = true;
    requestTokens();
}

} // namespace Vanillahall::Forward
