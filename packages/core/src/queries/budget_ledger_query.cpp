#include "vanillahall/core/budget_ledger_base.h"

namespace Vanillahall {

Budget BudgetLedger::spent(const ProgramId &root, WallTime now) const
{
    Budget sum;
    const auto it = m_accounts.find(root);
    if (it != m_accounts.end()) {
        const Account &account = it->second;
        sum.tokens = account.tokens + account.reservedTokens;
        sum.calls = account.calls + static_cast<std::uint32_t>(account.reservations.size());
        sum.time = std::chrono::duration_cast<std::chrono::milliseconds>(now - account.began);
    }
    return sum;
}

std::uint64_t BudgetLedger::reserved(const ProgramId &root, const CallKey &key) const
{
    const auto account = m_accounts.find(root);
    if (account == m_accounts.end()) {
        return 0;
    }
    const auto it = account->second.reservations.find(key);
    return it == account->second.reservations.end() ? 0 : it->second;
}

} // namespace Vanillahall
