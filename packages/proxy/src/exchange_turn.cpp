#include "answer_text_func.h"
#include "exchange.h"
#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"

#include "vanillahall/platform/wire_turn_func.h"

namespace Vanillahall::Forward {

bool Exchange::isTurnNameSound() const
{
    const auto &attributes = m_request.attributes;
    if (!m_route.storesConversation) {
        return attributes.previousTurn.empty() && !attributes.isPreviousTurnInvalid;
    }
    return !attributes.isPreviousTurnInvalid && Platform::isTurnId(attributes.requestId);
}

void Exchange::findConversation()
{
    // Without the store the turn couldn't be kept, and its work would be in vain.
    if (!m_proxy.isStoreNear()) {
        waitForStore();
        return;
    }
    m_waitsForStore = false;
    const auto &attributes = m_request.attributes;
    m_conversation = std::make_shared<Conversation>(
        m_proxy,
        TurnStart{attributes.requestId, attributes.previousTurn, std::move(m_request.body), m_route.retention, attributes.program});
    m_conversation->find(std::min(StoreLimit, std::max(Duration::zero(), storePatienceLeft())),
                         [weak = weak_from_this()](const TurnStep &result) {
                             if (const auto self = weak.lock()) {
                                 self->conversationFound(result);
                             }
                         });
}

void Exchange::conversationFound(const TurnStep &result)
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
        answer(StatusUnavailable, BackLater, Outcome::ConversationAway);
        return;
    }
    const auto bytes = m_conversation->turn().bodySize();
    if (!m_proxy.takesBody(0, bytes)) {
        answer(StatusUnavailable, BackSoon, Outcome::TooManyBytesHeld);
        return;
    }
    if (const auto tokens = m_conversation->turn().knownTokens()) {
        m_proxy.ledger.mergeRow(m_request.attributes.program, *tokens, now());
    }
    m_conversationBytes = bytes;
    m_hasConversation = true;
    askTokens();
}

} // namespace Vanillahall::Forward
