/** Queries about rate limits that change nothing. */
#include "vanillahall/core/customer/quota_ledger_base.h"

namespace Vanillahall::Forward {

QuotaAnswer QuotaLedger::preview(const QuotaRequest &request, TimePoint now) const
{
    // The request is decided by a ledger that knows what matters for it. A copy of the whole one would hold the usage of all customers at
    // all proxies.
    QuotaLedger trial(m_vm, m_incarnation, m_settings);
    trial.m_writtenAt = m_writtenAt;
    trial.m_readAt = m_readAt;
    for (const auto &[vm, remote] : m_remotes) {
        trial.m_remotes.try_emplace(vm);
    }
    if (const auto found = m_accounts.find(customerHash(request.customer)); found != m_accounts.end()) {
        trial.m_accounts.insert(*found);
    }
    return trial.request(request, now);
}

std::optional<QuotaView> QuotaLedger::view(const std::string &customer, TimePoint now) const
{
    const auto found = m_accounts.find(customerHash(customer));
    if (found == m_accounts.end()) {
        return std::nullopt;
    }
    auto account = found->second;
    advance(account, now);
    QuotaView view{account.limit, account.level, account.capacity, account.part, account.demand.perSecond(now), isInTouch(now)};
    if (m_readAt) {
        view.reportsAge = now - *m_readAt;
    }
    return view;
}

} // namespace Vanillahall::Forward
