#include "vanillahall/core/customer/customer_permits_base.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Vanillahall::Forward {

namespace {

/** Time of demand for which permits are asked at once; most of them are then used within PermitLifetime. */
constexpr std::chrono::duration<double> BatchTime = std::chrono::milliseconds(200);

} // namespace

CustomerPermits::CustomerPermits(std::string vm, QuotaLedger &ledger, PermitGrantor &grantor)
    : m_vm(std::move(vm))
    , m_ledger(ledger)
    , m_grantor(grantor)
{
}

PermitDecision CustomerPermits::request(const QuotaRequest &request, TimePoint now)
{
    const auto customer = customerHash(request.customer);
    const auto grantor = m_grantor.grantorOf(customer);
    if (grantor.empty() || !m_ledger.hasLimit(customer)) {
        return {m_ledger.request(request, now), std::nullopt, true};
    }
    if (!request.isRepeated) {
        m_ledger.recordDemand(customer, now);
    }
    while (true) {
        const auto state = m_holder.take(customer, request.isInProgress, now);
        if (std::holds_alternative<PermitHeld>(state)) {
            m_ledger.recordSent(customer, now);
            return {QuotaGranted{}, std::nullopt};
        }
        if (const auto *refused = std::get_if<PermitRefused>(&state)) {
            return {QuotaRefused{spreadRetryDelay(refused->retryAfter, request)}, std::nullopt};
        }
        if (std::holds_alternative<PermitAwaited>(state)) {
            return {QuotaBusy{}, std::nullopt};
        }
        const auto *toAsk = std::get_if<PermitToAsk>(&state);
        if (toAsk == nullptr) {
            auto counted = request;
            counted.isRepeated = true;
            // The grantor's bucket and this one together must keep the rule, so this one isn't used beyond the other's capacity.
            counted.leastLevel = std::max(0.0, m_ledger.capacityOf(customer) - m_grantor.capacityOf(customer));
            return {m_ledger.request(counted, now), std::nullopt, true};
        }
        PermitAsk ask{m_ledger.usageOf(customer, now), toAsk->number, toAsk->held, 1, request.isInProgress};
        const double demand = m_ledger.demandOf(customer, now);
        ask.wanted = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::lround(demand * BatchTime.count())));
        if (grantor != m_vm) {
            return {QuotaBusy{}, PermitCall{grantor, std::move(ask)}};
        }
        onAnswer(ask, m_grantor.grant(ask, now), now);
    }
}

std::vector<PermitCall> CustomerPermits::keepAlive(TimePoint now)
{
    std::vector<PermitCall> calls;
    if (m_ledger.isInTouch(now)) {
        return calls;
    }
    for (const auto &[customer, toAsk] : m_holder.keepAlive(now)) {
        const auto grantor = m_grantor.grantorOf(customer);
        if (grantor.empty() || !m_ledger.hasLimit(customer)) {
            continue;
        }
        PermitAsk ask{m_ledger.usageOf(customer, now), toAsk.number, toAsk.held, 0, false};
        if (grantor == m_vm) {
            m_grantor.grant(ask, now);
        } else {
            calls.push_back({grantor, std::move(ask)});
        }
    }
    return calls;
}

void CustomerPermits::onAnswer(const PermitAsk &ask, const std::optional<PermitAnswer> &answer, TimePoint now)
{
    if (!ask.report.usage.empty()) {
        m_holder.onAnswer(ask.report.usage.front().customer, ask.number, answer, now);
    }
}

void CustomerPermits::removeIdle(TimePoint now)
{
    m_holder.removeIdle(now);
}

} // namespace Vanillahall::Forward
