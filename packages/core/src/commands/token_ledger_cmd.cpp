#include "vanillahall/core/token_ledger_base.h"

#include <algorithm>
#include <utility>

namespace Vanillahall::Forward {

TokenLedger::TokenLedger(std::string writer, std::string zone)
    : m_writer(std::move(writer))
    , m_zone(std::move(zone))
{
}

namespace {

bool isNamed(const std::vector<SoftwareVersion> &versions, const SoftwareVersion &version)
{
    return std::find(versions.begin(), versions.end(), version) != versions.end();
}

/** Adds a version; beyond the limit, any version counts as named. */
void addVersion(std::vector<SoftwareVersion> &versions, const SoftwareVersion &version)
{
    if (versions.size() >= MaxStreamVersions && !isNamed(versions, SoftwareVersion())) {
        versions.front() = SoftwareVersion();
    }
    if (versions.size() >= MaxStreamVersions) {
        versions.erase(versions.begin() + 1);
    }
    versions.push_back(version);
}

} // namespace

TokenAnswer TokenLedger::reserve(const TokenRequest &request, TimePoint now)
{
    auto &account = m_accounts[request.program];
    account.lastUse = std::max(account.lastUse, now);
    const bool isStale = now - account.writtenAt > TokenRowRefreshAge;
    const bool isVersionNamed = !request.streamVersion || isNamed(account.row.streamVersions, *request.streamVersion);
    const bool isConfirmed = account.confirmedAt >= request.confirmedSince;
    if (account.available >= request.maxTokens && !isStale && isVersionNamed && isConfirmed) {
        account.available -= request.maxTokens;
        account.waitingTokens -= std::min(account.waitingTokens, request.maxTokens);
        return TokenGranted{};
    }
    if (account.isWriting) {
        account.waitingTokens += request.maxTokens;
        return TokenBusy{};
    }
    account.writeRequestedAt = now;
    if (account.openWrite) {
        account.isWriting = true;
        return TokenNeedsWrite{*account.openWrite};
    }
    const bool shouldConfirm = !isConfirmed && !account.hasReadFailed;
    if (shouldConfirm || (request.shouldReadFirst && account.row.version == 0 && !account.wasRead)) {
        account.wasRead = true;
        account.isWriting = true;
        return TokenNeedsRead{};
    }
    const std::uint64_t missing = request.maxTokens - std::min(request.maxTokens, account.available);
    // Allows one turn beyond the budget, to make up for tokens that other entries hold and don't use.
    if (account.row.reserved + missing > request.budget + request.maxTokens) {
        return TokenBudgetExhausted{account.row.reserved};
    }
    // Reserves for all waiting turns in one write, as sub-agents start together.
    const std::uint64_t waiting = std::exchange(account.waitingTokens, 0);
    std::uint64_t amount = missing == 0 ? 0 : missing + std::max(waiting, (TurnsReservedAhead - 1) * request.maxTokens);
    if (account.row.reserved + amount > request.budget / 2) {
        amount = missing + waiting;
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
    if (!isVersionNamed) {
        addVersion(write.row.streamVersions, *request.streamVersion);
    }
    account.pendingTokens = amount;
    account.openWrite = write;
    account.isWriting = true;
    return TokenNeedsWrite{std::move(write)};
}

void TokenLedger::onRowRead(const std::string &program, const std::optional<TokenRow> &row, TimePoint now)
{
    const auto it = m_accounts.find(program);
    if (it == m_accounts.end()) {
        return;
    }
    it->second.isWriting = false;
    it->second.hasReadFailed = !row;
    if (row) {
        it->second.confirmedAt = it->second.writeRequestedAt;
        mergeRow(program, *row, now);
    }
}

void TokenLedger::mergeRow(const std::string &program, const TokenRow &row, TimePoint now)
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
        account.available = 0;
    }
    account.row = row;
}

void TokenLedger::onWritten(const std::string &program, std::uint64_t version)
{
    const auto it = m_accounts.find(program);
    if (it == m_accounts.end() || !it->second.openWrite) {
        return;
    }
    auto &account = it->second;
    account.row = account.openWrite->row;
    account.row.version = version;
    account.available += account.pendingTokens;
    account.openWrite.reset();
    account.isWriting = false;
    account.writtenAt = account.writeRequestedAt;
    account.confirmedAt = account.writeRequestedAt;
    account.hasReadFailed = false;
}

void TokenLedger::onConflict(const std::string &program, const TokenRow &row)
{
    const auto it = m_accounts.find(program);
    if (it == m_accounts.end() || !it->second.openWrite) {
        return;
    }
    // An earlier attempt of this write may have succeeded although its reply was lost.
    if (row.writer == it->second.openWrite->row.writer) {
        onWritten(program, row.version);
        return;
    }
    if (row.reserved < it->second.row.reserved) {
        // The row was removed and its program counts as new; the tokens held here were reserved in the old row.
        it->second.available = 0;
    }
    it->second.row = row;
    it->second.confirmedAt = it->second.writeRequestedAt;
    it->second.hasReadFailed = false;
    it->second.openWrite.reset();
    it->second.isWriting = false;
}

void TokenLedger::onWriteFailed(const std::string &program)
{
    const auto it = m_accounts.find(program);
    if (it != m_accounts.end()) {
        // Turns that waited call reserve() again.
        it->second.waitingTokens = 0;
        it->second.isWriting = false;
    }
}

void TokenLedger::settle(const std::string &program, std::uint64_t maxTokens, std::uint64_t used)
{
    const auto it = m_accounts.find(program);
    if (it != m_accounts.end() && used < maxTokens) {
        it->second.available += maxTokens - used;
    }
}

std::vector<TokenWrite> TokenLedger::removeIdle(TimePoint since)
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

std::optional<TokenRow> TokenLedger::confirmedRow(const std::string &program, TimePoint since) const
{
    const auto it = m_accounts.find(program);
    if (it == m_accounts.end() || it->second.confirmedAt < since) {
        return std::nullopt;
    }
    return it->second.row;
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
