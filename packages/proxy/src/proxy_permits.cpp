#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"

#include "vanillahall/platform/wire_permit_func.h"

#include <utility>

namespace Vanillahall::Forward {

namespace {

/** @return Label of an answer in metrics. */
const char *answerLabel(const std::optional<PermitAnswer> &answer)
{
    if (!answer) {
        return "failed";
    }
    return std::holds_alternative<PermitsGranted>(*answer) ? "granted"
                                                           : (std::holds_alternative<PermitsSpent>(*answer) ? "spent" : "not_grantor");
}

} // namespace

QuotaAnswer ProxyState::requestPermit(const QuotaRequest &request)
{
    const auto decision = permits.request(request, now());
    if (decision.isByReports && std::holds_alternative<QuotaGranted>(decision.answer)) {
        metrics.count("vanillahall_permits_by_reports_total", {});
    }
    if (decision.call) {
        askGrantor(request.customer, *decision.call);
    }
    return decision.answer;
}

void ProxyState::askGrantor(const std::string &customer, const PermitCall &call)
{
    const auto *member = members.find(call.grantor);
    if (member == nullptr) {
        onPermitReply(customer, call, std::nullopt, "the grantor has no row");
        return;
    }
    store.callMember(
        *member,
        Platform::permitCall(call.ask),
        PermitAskTimeout,
        [weak = weak_from_this(), customer, call](const auto &reply, const Error &reason) {
            const auto self = weak.lock();
            if (!self) {
                return;
            }
            Error ec = reason;
            const auto answer = reply && reply->status == StatusOk ? Platform::decodePermitAnswer(reply->body, ec) : std::nullopt;
            self->onPermitReply(
                customer, call, answer, reply && reply->status != StatusOk ? "status " + std::to_string(reply->status) : ec.message);
        });
}

void ProxyState::onPermitReply(const std::string &customer,
                               const PermitCall &call,
                               const std::optional<PermitAnswer> &answer,
                               const std::string &why)
{
    metrics.count("vanillahall_permit_asks_total", {"outcome", answerLabel(answer)});
    if (!answer) {
        logQuota(LogLevel::Warning, EventNumber::GrantorUnanswered, customer, "grantor=" + call.grantor + " why=\"" + why + '"');
    }
    permits.onAnswer(call.ask, answer, now());
    const auto waiters = m_permitWaiters.extract(customer);
    if (waiters.empty()) {
        return;
    }
    for (const auto &it : waiters.mapped()) {
        if (const auto exchange = it.lock()) {
            exchange->onPermitUpdate();
        }
    }
}

void ProxyState::answerPermitAsk(const std::string &body, const MessageServer::Reply &answer)
{
    Error ec;
    const auto ask = Platform::decodePermitAsk(body, ec);
    if (!ask) {
        logQuota(LogLevel::Warning, EventNumber::PermitAskInvalid, {}, "why=\"" + ec.message + '"');
        answer({StatusBadRequest, {}, {}});
        return;
    }
    const auto result = grantor.grant(*ask, now());
    metrics.count("vanillahall_permit_answers_total", {"outcome", answerLabel(result)});
    answer({StatusOk, "application/json", Platform::encodePermitAnswer(result)});
}

} // namespace Vanillahall::Forward
