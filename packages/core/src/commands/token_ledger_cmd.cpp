#include "vanillahall/core/token_ledger_base.h"

#include <algorithm>
#include <utility>

namespace Vanillahall::Forward {

TokenLedger::TokenLedger(std::string writer, std::string zone)
    : m_writer(std::move(writer))
    , m_zone(std::move(zone))
{
}

TokenAnswer TokenLedger::ask(const TokenRequest &request, TimePoint now)
{
    auto &account = m_accounts[request.program];
    account.lastUse = std::max(account.lastUse, now);
    const bool isStale = now - account.written > TokenRowRefresh;
    if (account.here >= request.most && !isStale) {
        account.here -= request.most;
        account.waiting -= std::min(account.waiting, request.most);
        return TokenGranted{};
    }
    if (account.isWriting) {
        account.waiting += request.most;
        return TokenBusy{};
    }
    account.writeBegan = now;
    if (account.openWrite) {
        account.isWriting = true;
        return TokenNeedsWrite{*account.openWrite};
    }
    if (request.readsFirst && account.row.version == 0 && !account.wasRead) {
        account.wasRead = true;
        account.isWriting = true;
        return TokenNeedsRead{};
    }
    const std::uint64_t missing = request.most - std::min(request.most, account.here);
    // Allows one turn beyond the budget, to make up for tokens that other entries hold and don't use.
    if (account.row.reserved + missing > request.budget + request.most) {
        return TokenBudgetExhausted{account.row.reserved};
    }
    // Reserves for all waiting turns in one write, as sub-agents start together.
    const std::uint64_t others = std::exchange(account.waiting, 0);
    std::uint64_t amount = missing == 0 ? 0 : missing + std::max(others, (TurnsAhead - 1) * request.most);
    if (account.row.reserved + amount > request.budget / 2) {
        amount = missing + others;
    }
    if (account.row.reserved + amount > request.budget) {
        amount = missing;
    }
    TokenWrite write{request.program, account.row};
    write.row.reserved += amount;
    write.row.writer = m_writer + "/" + std::to_string(++m_writes);
    if (write.row.version == 0) {
        write.row.homeZone = m_zone;
    }
    account.asked = amount;
    account.openWrite = write;
    account.isWriting = true;
    return TokenNeedsWrite{std::move(write)};
}

void TokenLedger::rowRead(const std::string &program, const std::optional<TokenRow> &row, TimePoint now)
{
    const auto it = m_accounts.find(program);
    if (it == m_accounts.end()) {
        return;
    }
    it->second.isWriting = false;
    if (row) {
        learn(program, *row, now);
    }
}

void TokenLedger::learn(const std::string &program, const TokenRow &row, TimePoint now)
{
    if (row.version == 0) {
        return;
    }
    auto &account = m_accounts[program];
    account.lastUse = std::max(account.lastUse, now);
    // An open write is repeated unchanged, so that its outcome is recognised by its name.
    if (account.openWrite || row.version <= account.row.version) {
        return;
    }
    if (row.reserved < account.row.reserved) {
        // The row was removed and its program counts as new; the tokens held here were reserved in the old row.
        account.here = 0;
    }
    account.row = row;
}

void TokenLedger::written(const std::string &program, std::uint64_t version)
{
    const auto it = m_accounts.find(program);
    if (it == m_accounts.end() || !it->second.openWrite) {
        return;
    }
    auto &account = it->second;
    account.row = account.openWrite->row;
    account.row.version = version;
    account.here += account.asked;
    account.openWrite.reset();
    account.isWriting = false;
    account.written = account.writeBegan;
}

void TokenLedger::changed(const std::string &program, const TokenRow &row)
{
    const auto it = m_accounts.find(program);
    if (it == m_accounts.end() || !it->second.openWrite) {
        return;
    }
    // An earlier attempt of this write may have succeeded although its reply was lost.
    if (row.writer == it->second.openWrite->row.writer) {
        written(program, row.version);
        return;
    }
    if (row.reserved < it->second.row.reserved) {
        // The row was removed and its program counts as new; the tokens held here were reserved in the old row.
        it->second.here = 0;
    }
    it->second.row = row;
    it->second.openWrite.reset();
    it->second.isWriting = false;
}

void TokenLedger::notWritten(const std::string &program)
{
    const auto it = m_accounts.find(program);
    if (it != m_accounts.end()) {
        // Turns that waited call reserve() again.
        it->second.waiting = 0;
        it->second.isWriting = false;
    }
}

void TokenLedger::settle(const std::string &program, std::uint64_t most, std::uint64_t used)
{
    const auto it = m_accounts.find(program);
    if (it != m_accounts.end() && used < most) {
        it->second.here += most - used;
    }
}

std::vector<TokenWrite> TokenLedger::forget(TimePoint since)
{
    std::vector<TokenWrite> rows;
    for (auto it = m_accounts.begin(); it != m_accounts.end();) {
        const auto &account = it->second;
        if (account.lastUse >= since || account.isWriting) {
            ++it;
            continue;
        }
        if (!account.openWrite && account.row.version != 0) {
            rows.push_back({it->first, account.row});
        }
        it = m_accounts.erase(it);
    }
    return rows;
}

TokenRow TokenLedger::row(const std::string &program) const
{
    const auto it = m_accounts.find(program);
    return it == m_accounts.end() ? TokenRow() : it->second.row;
}

std::string TokenLedger::homeZone(const std::string &program) const
{
    const auto it = m_accounts.find(program);
    return it == m_accounts.end() ? std::string() : it->second.row.homeZone;
}

std::size_t TokenLedger::size() const
{
    return m_accounts.size();
}

} // namespace Vanillahall::Forward
