/** Queries about token budgets that change nothing. */
#include "vanillahall/core/token_ledger_base.h"

namespace Vanillahall::Forward {

TokenAnswer TokenLedger::preview(const TokenRequest &request, TimePoint now) const
{
    // The request is decided by a ledger that knows this program only.
    TokenLedger trial(m_writer, m_zone);
    trial.m_writes = m_writes;
    if (const auto found = m_accounts.find(request.program); found != m_accounts.end()) {
        trial.m_accounts.insert(*found);
    }
    return trial.reserve(request, now);
}

TokenView TokenLedger::view(const std::string &program, TimePoint now) const
{
    const auto found = m_accounts.find(program);
    if (found == m_accounts.end()) {
        return {};
    }
    const auto &account = found->second;
    TokenView view{account.row, account.available, account.isWriting};
    if (account.confirmedAt != TimePoint()) {
        view.rowAge = now - account.confirmedAt;
    }
    return view;
}

} // namespace Vanillahall::Forward
