#include "vanillahall/core/budget_ledger_base.h"

#include <string>

namespace Vanillahall {

namespace {

Error budgetExceeded(std::string message)
{
    Error error;
    error.code = ErrorCode::BudgetExceeded;
    error.run = RunState::NotRun;
    error.step = Step::Reserve;
    error.message = std::move(message);
    return error;
}

} // namespace

BudgetLedger::Account *BudgetLedger::find(const ProgramId &root)
{
    const auto it = m_accounts.find(root);
    return it == m_accounts.end() ? nullptr : &it->second;
}

void BudgetLedger::open(const ProgramId &root, const Budget &limit, WallTime began)
{
    Account account;
    account.limit = limit;
    account.began = began;
    m_accounts.emplace(root, std::move(account));
}

void BudgetLedger::close(const ProgramId &root)
{
    m_accounts.erase(root);
}

std::optional<std::chrono::milliseconds>
BudgetLedger::reserve(const ProgramId &root, const CallKey &key, std::uint64_t tokens, WallTime now, Error &reason)
{
    Account *account = find(root);
    if (account == nullptr) {
        reason = budgetExceeded("the program has no budget");
        return std::nullopt;
    }
    const std::uint64_t committed = account->tokens + account->reservedTokens;
    if (committed > account->limit.tokens || tokens > account->limit.tokens - committed) {
        reason = budgetExceeded("the call needs " + std::to_string(tokens) + " tokens, " + std::to_string(committed) + " of "
                                + std::to_string(account->limit.tokens) + " are spent or reserved");
        return std::nullopt;
    }
    if (account->calls + account->reservations.size() >= account->limit.calls) {
        reason = budgetExceeded("all " + std::to_string(account->limit.calls) + " calls are spent or reserved");
        return std::nullopt;
    }
    const auto left = account->began + account->limit.time - now;
    if (left <= std::chrono::milliseconds::zero()) {
        reason = budgetExceeded("the program's time is over");
        return std::nullopt;
    }
    account->reservations.emplace(key, tokens);
    account->reservedTokens += tokens;
    return std::chrono::duration_cast<std::chrono::milliseconds>(left);
}

void BudgetLedger::settle(const ProgramId &root, const CallKey &key, std::uint64_t tokens)
{
    release(root, key);
    if (Account *account = find(root)) {
        account->tokens += tokens;
        account->calls++;
    }
}

void BudgetLedger::release(const ProgramId &root, const CallKey &key)
{
    Account *account = find(root);
    if (account == nullptr) {
        return;
    }
    const auto it = account->reservations.find(key);
    if (it != account->reservations.end()) {
        account->reservedTokens -= it->second;
        account->reservations.erase(it);
    }
}

} // namespace Vanillahall
