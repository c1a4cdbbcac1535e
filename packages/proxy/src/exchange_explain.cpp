/** Explanation of a request that isn't sent: the steps of its way, decided by the functions that also decide for clients. */
#include "exchange.h"
#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"
#include "response_text_func.h"

namespace Vanillahall::Forward {

bool RequestExplanation::conclude(Verdict result, std::string text)
{
    if (verdict != Verdict::Sent) {
        return false;
    }
    verdict = result;
    reason = std::move(text);
    return true;
}

void RequestExplanation::refuse(const Refusal &found)
{
    if (conclude(Verdict::Refused, std::string(outcomeMeaning(found.outcome)))) {
        refusal = found;
    }
}

void RequestExplanation::wait(Duration span, const Refusal &then, std::string text)
{
    if (conclude(Verdict::Waits, std::move(text))) {
        maxWait = std::max(Duration::zero(), span);
        refusal = then;
    }
}

void RequestExplanation::setUnknown(std::string_view code, std::string text)
{
    if (conclude(Verdict::Unknown, std::move(text))) {
        error = code;
    }
}

void Exchange::explainQuarantine(RequestExplanation &explanation) const
{
    if (const auto *refused = m_proxy.crashes.refusedFeature(m_features, now())) {
        explanation.reason += " It is " + featureText({refused->feature}) + ", with " + std::to_string(refused->crashes) + " crashes of "
            + std::to_string(refused->contents) + " contents.";
    }
}

RequestExplanation Exchange::explain()
{
    RequestExplanation explanation;
    if (m_proxy.routes.isLoaded()) {
        explanation.configAge = m_proxy.configStanding().confirmedAgo;
    }
    explanation.serverListAge = m_proxy.listAge();
    explanation.isStoreReachable = m_proxy.isStoreReachable();
    const auto refusal = prepare();
    explanation.configVersion = m_configVersion;
    explanation.route = m_route.name;
    explanation.service = m_service;
    explanation.customer = m_customer;
    if (!m_proxy.routes.isLoaded()) {
        explanation.setUnknown("no_configuration", "the proxy has received no configuration yet");
    }
    if (refusal) {
        explanation.refuse(*refusal);
        return explanation;
    }
    if (const auto found = checkContent()) {
        explanation.refuse(*found);
        explainQuarantine(explanation);
    }
    if (!m_request.body.empty()) {
        explanation.notes.emplace_back("quarantine by the body isn't checked, since its content isn't known");
    }
    explainAdmission(explanation);
    explainPermit(explanation);
    explainStoreSteps(explanation);
    explainServer(explanation);
    return explanation;
}

void Exchange::explainAdmission(RequestExplanation &explanation)
{
    if (!m_proxy.isAdmissionOn()) {
        return;
    }
    const auto &overload = m_proxy.overload;
    const auto request = programRequest();
    m_isLooping = request.isTurn && overload.programs.isLooping(request.program, m_route.name);
    const auto saturation = overload.preview(m_proxy, m_service);
    const auto decision = overload.programs.preview(request, saturation, now());
    explanation.admission = {saturation, decision, overload.queue->size(m_service)};
    if (const auto *refused = std::get_if<ProgramRefused>(&decision)) {
        explanation.refuse({StatusUnavailable, refused->retryAfter, Outcome::ServiceOverloaded});
        return;
    }
    m_isNewProgram = std::get<ProgramAdmitted>(decision).basis != AdmissionBasis::InProgress;
}

void Exchange::explainPermit(RequestExplanation &explanation) const
{
    if (!hasRateLimit()) {
        return;
    }
    const auto answer = m_proxy.quotas.preview(quotaRequest(), now());
    explanation.permit = {m_proxy.quotas.view(m_customer->name, now()), answer};
    if (const auto *refused = std::get_if<QuotaRefused>(&answer)) {
        explanation.refuse({StatusTooManyRequests, refused->retryAfter, Outcome::QuotaSpent});
    } else if (!std::holds_alternative<QuotaGranted>(answer)) {
        explanation.wait(permitWaitLeft(),
                         {StatusUnavailable, StoreRetryAfter, Outcome::QuotaUncertain},
                         "this proxy's part of the customer's rate limit is used up; it changes with the next reports");
    }
}

void Exchange::explainStoreSteps(RequestExplanation &explanation)
{
    if (m_route.storesConversation) {
        if (!m_proxy.isStoreReachable()) {
            explanation.wait(storeWaitLeft(),
                             {StatusUnavailable, StoreRetryAfter, Outcome::ConversationAway},
                             "the store is unavailable, so that the turn couldn't be stored");
        } else if (!m_request.attributes.previousTurn.empty()) {
            explanation.setUnknown("conversation_unknown", "the earlier turns of the conversation have to be read from the store first");
        }
    }
    if (isResumed() && !m_origin) {
        const auto origin = streamOrigin();
        if (const auto *known = std::get_if<OriginKnown>(&origin)) {
            m_origin = known->software;
        } else if (std::holds_alternative<OriginAmbiguous>(origin) || !hasTokenBudget()) {
            explanation.refuse({StatusUnavailable, ShortRetryAfter, Outcome::StreamOriginUnknown});
        }
    }
    if (!hasTokenBudget()) {
        return;
    }
    const auto request = tokenRequest();
    const auto answer = m_proxy.ledger.preview(request, now());
    const auto view = m_proxy.ledger.view(m_programKey, now());
    explanation.tokens = {request.budget, request.maxTokens, view, answer};
    if (std::holds_alternative<TokenGranted>(answer)) {
        return;
    }
    if (std::holds_alternative<TokenBudgetExhausted>(answer)) {
        explanation.refuse({StatusPaymentRequired, std::nullopt, Outcome::BudgetSpent});
    } else if (const auto *unsettled = std::get_if<TokenBudgetUnknown>(&answer)) {
        explanation.refuse({StatusUnavailable, unsettled->retryAfter, Outcome::BudgetUnsettled});
    } else if (!m_proxy.isStoreReachable()) {
        explanation.wait(storeWaitLeft(),
                         {StatusUnavailable, StoreRetryAfter, Outcome::NoStoreForBudget},
                         "tokens have to be reserved in the store, which is unavailable");
    } else if (view.row.version == 0 || !std::holds_alternative<TokenNeedsWrite>(answer)) {
        explanation.setUnknown("token_row_unknown",
                               std::holds_alternative<TokenNeedsReturns>(answer)
                                   ? "other proxies have to be asked first to give back tokens of the program"
                                   : "this proxy hasn't read the token row of the program, or is reading or writing it now");
    }
}

void Exchange::explainServer(RequestExplanation &explanation)
{
    if (isVersionGone()) {
        explanation.refuse({StatusUnavailable, ShortRetryAfter, Outcome::NoServerOfVersion});
    }
    ChoiceExplanation choice;
    const auto found = findServerWithRoom(&choice);
    for (auto &it : choice.servers) {
        // The exchange has tried no server, so that only the bytes of requests can have excluded it.
        if (m_excludedServers.contains(it.server)) {
            it.excludedBy = "request_bytes";
        }
    }
    const bool isBehind = m_proxy.isAdmissionOn() && isBehindOthers(explanation.admission->saturation);
    if (!found || isBehind) {
        const auto waitLeft = m_request.arrived + maxServerWait() - now();
        if (const auto refusal = serverRefusal(waitLeft)) {
            explanation.refuse(*refusal);
        } else {
            explanation.wait(waitLeft,
                             {StatusUnavailable, ShortRetryAfter, Outcome::ServersFull},
                             isBehind ? "other requests that wait for servers have precedence" : choice.reason);
        }
    }
    if (explanation.verdict == Verdict::Sent) {
        explanation.reason = choice.reason;
    }
    explanation.choice = std::move(choice);
}

} // namespace Vanillahall::Forward
