#include "vanillahall/core/token_ledger_base.h"

#include "../placement/key_hash_func.h"

#include "vanillahall/core/budget/outage_share_base.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace Vanillahall::Forward {

std::uint64_t TokenRow::outstanding() const
{
    return reserved - std::min(reserved, returned);
}

TokenLedger::TokenLedger(std::string writer, std::string zone, std::uint32_t secondSharePercent)
    : m_writer(std::move(writer))
    , m_zone(std::move(zone))
    , m_secondSharePercent(secondSharePercent)
{
}

namespace {

constexpr char MarkingRelease = 'm'; ///< Precedes the number of a write; missing in names of older releases.

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

/** @return Name of the entry that made a write, from "entry/incarnation/number". */
std::string entryName(const std::string &writer)
{
    const auto number = writer.rfind('/');
    const auto incarnation = number == std::string::npos || number == 0 ? std::string::npos : writer.rfind('/', number - 1);
    return writer.substr(0, incarnation);
}

/** @return Short form of the incarnation and number of a write; distinguishes the writes of one entry. */
std::string markOf(const std::string &writer)
{
    const auto number = writer.rfind('/');
    if (number == std::string::npos) {
        return writer;
    }
    std::array<char, 2 * sizeof(std::uint32_t) + 1> incarnation{};
    std::snprintf(incarnation.data(), incarnation.size(), "%08x", static_cast<std::uint32_t>(keyHash(writer.substr(0, number))));
    return std::string(incarnation.data()) + "." + writer.substr(number + 1);
}

} // namespace

bool isMarkingWriter(const std::string &writer)
{
    const auto number = writer.rfind('/');
    return number != std::string::npos && writer.substr(number + 1, 1) == std::string(1, MarkingRelease);
}

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
        account.openTurns++;
        return TokenGranted{};
    }
    if (account.isWriting) {
        account.waitingTokens += request.maxTokens;
        return TokenBusy{};
    }
    if (account.openWrite) {
        account.writeRequestedAt = now;
        account.isWriting = true;
        return TokenNeedsWrite{*account.openWrite};
    }
    const bool shouldConfirm = !isConfirmed && !account.hasReadFailed;
    if (shouldConfirm || (request.shouldReadFirst && account.row.version == 0 && !account.wasRead)) {
        return beginRead(account, now);
    }
    const std::uint64_t outstanding = account.row.outstanding();
    const std::uint64_t missing = request.maxTokens - std::min(request.maxTokens, account.available);
    const auto most = limit(account, request, now);
    if (outstanding + missing > most.tokens + most.beyond) {
        // Closing the second share helps only if it holds enough.
        if (most.needsClosing && outstanding + missing <= request.budget + request.maxTokens) {
            account.writeRequestedAt = now;
            account.isWriting = true;
            return TokenNeedsClosing{};
        }
        return refuse(account, request, now);
    }
    // Reserves for all waiting turns in one write, as sub-agents start together.
    const std::uint64_t waiting = std::exchange(account.waitingTokens, 0);
    std::uint64_t amount = missing == 0 ? 0 : missing + std::max(waiting, (TurnsReservedAhead - 1) * request.maxTokens);
    if (outstanding + amount > most.tokens / 2) {
        amount = missing + waiting;
    }
    if (outstanding + amount > most.tokens) {
        amount = missing;
    }
    TokenWrite write{request.program, account.row};
    write.row.outageTokens = most.outageTokens;
    write.row.reserved += amount;
    write.row.holders = otherHolders(account.row);
    setMarks(write.row, account.row);
    write.row.writer = nextWriter();
    if (write.row.version == 0) {
        write.row.homeZone = m_zone;
    }
    if (!isVersionNamed) {
        addVersion(write.row.streamVersions, *request.streamVersion);
    }
    account.pendingTokens = amount;
    account.openWrite = write;
    account.writeRequestedAt = now;
    account.isWriting = true;
    return TokenNeedsWrite{std::move(write)};
}

TokenLedger::Limit TokenLedger::limit(const Account &account, const TokenRequest &request, TimePoint now) const
{
    auto closed = account.row.outageTokens;
    if (!closed && account.closedTokens && now - account.closedAt < ShareClosingLifetime) {
        closed = account.closedTokens;
    }
    // One turn beyond the budget makes up for tokens that are lost with an entry.
    if (closed || m_secondSharePercent == 0) {
        return {request.budget - std::min(request.budget, closed.value_or(0)), request.maxTokens, false, closed};
    }
    // The owner grants nothing beyond its share, so the one turn is left to the row; a budget of less than two turns needs it.
    return {request.budget - secondShare(request.budget, m_secondSharePercent), request.maxTokens, true, std::nullopt};
}

void TokenLedger::onShareClosed(const std::string &program, std::optional<std::uint64_t> tokens, TimePoint now)
{
    const auto it = m_accounts.find(program);
    if (it == m_accounts.end()) {
        return;
    }
    it->second.isWriting = false;
    if (tokens) {
        recordClosedShare(program, *tokens, now);
    }
}

void TokenLedger::recordClosedShare(const std::string &program, std::uint64_t tokens, TimePoint now)
{
    const auto it = m_accounts.find(program);
    if (it != m_accounts.end()) {
        it->second.closedTokens = tokens;
        it->second.closedAt = now;
    }
}

bool TokenLedger::hasOpenShare(const std::string &program, TimePoint now) const
{
    const auto it = m_accounts.find(program);
    if (it == m_accounts.end() || m_secondSharePercent == 0 || it->second.row.version == 0 || it->second.row.outageTokens) {
        return false;
    }
    return !it->second.closedTokens || now - it->second.closedAt >= ShareClosingLifetime;
}

std::string TokenLedger::nextWriter()
{
    return m_writer + "/" + MarkingRelease + std::to_string(++m_writes);
}

TokenAnswer TokenLedger::beginRead(Account &account, TimePoint now)
{
    account.writeRequestedAt = now;
    account.wasRead = true;
    account.isWriting = true;
    return TokenNeedsRead{};
}

TokenAnswer TokenLedger::refuse(Account &account, const TokenRequest &request, TimePoint now)
{
    // Other entries may have given tokens back since the row was last seen.
    if (account.confirmedAt < request.arrivedAt) {
        const bool wasTried = account.hasReadFailed && account.writeRequestedAt >= request.arrivedAt;
        return wasTried ? TokenAnswer(TokenBudgetUnknown{TokenSettleTime}) : beginRead(account, now);
    }
    auto holders = otherHolders(account.row);
    if (isShared(account) && account.askedAt < request.arrivedAt && !holders.empty()) {
        account.askedAt = now;
        account.haveAllReplied = false;
        account.isWriting = true;
        return TokenNeedsReturns{std::move(holders)};
    }
    const auto settledAt = account.changedAt + TokenSettleTime;
    const bool haveAllReplied = account.haveAllReplied && account.askedAt >= request.arrivedAt;
    if (isShared(account) && !haveAllReplied && now < settledAt) {
        return TokenBudgetUnknown{settledAt - now};
    }
    return TokenBudgetExhausted{account.row.outstanding()};
}

bool TokenLedger::isShared(const Account &account)
{
    return account.row.outstanding() > account.ownTokens;
}

std::vector<std::string> TokenLedger::otherHolders(const TokenRow &row) const
{
    std::vector<std::string> holders = row.holders;
    if (row.version != 0) {
        holders.push_back(entryName(row.writer));
    }
    std::vector<std::string> others;
    for (const auto &it : holders) {
        if (it != entryName(m_writer + "/") && std::find(others.begin(), others.end(), it) == others.end()) {
            others.push_back(it);
        }
    }
    if (others.size() > MaxTokenHolders) {
        others.erase(others.begin());
    }
    return others;
}

void TokenLedger::setMarks(TokenRow &row, const TokenRow &replaced) const
{
    row.markedSince = replaced.markedSince.value_or(replaced.version);
    if (replaced.version != 0) {
        row.marks[entryName(replaced.writer)] = markOf(replaced.writer);
    }
    row.marks.erase(entryName(m_writer + "/"));
    while (row.marks.size() > MaxTokenHolders) {
        row.marks.erase(row.marks.begin());
        row.markedSince = replaced.version;
    }
}

TokenLedger::WriteOutcome TokenLedger::findOutcome(const TokenWrite &write, const TokenRow &row) const
{
    const auto mark = row.marks.find(entryName(m_writer + "/"));
    if (row.writer == write.row.writer || (mark != row.marks.end() && mark->second == markOf(write.row.writer))) {
        return WriteOutcome::Executed;
    }
    const bool isMarked = row.markedSince && *row.markedSince <= write.row.version;
    return isMarked ? WriteOutcome::NotExecuted : WriteOutcome::Unknown;
}

bool TokenLedger::canReturn(const Account &account)
{
    if (account.isWriting) {
        return false;
    }
    return account.openWrite ? account.pendingReturn != 0 || account.pendingTokens != 0
                             : account.row.version != 0 && account.available != 0;
}

bool TokenLedger::isReturnDue(const Account &account, TimePoint now)
{
    const bool isRepeated = account.openWrite.has_value();
    return canReturn(account) && account.openTurns == 0 && (!isRepeated || now - account.writeRequestedAt >= TokenReturnInterval);
}

TokenWrite TokenLedger::makeReturn(const std::string &program, Account &account, TimePoint now)
{
    if (!account.openWrite) {
        account.pendingTokens = 0;
        account.pendingReturn = std::exchange(account.available, 0);
        account.openWrite = TokenWrite{program, account.row};
        account.openWrite->row.returned += account.pendingReturn;
        account.openWrite->row.holders = otherHolders(account.row);
        setMarks(account.openWrite->row, account.row);
        account.openWrite->row.writer = nextWriter();
    }
    account.writeRequestedAt = now;
    account.isWriting = true;
    return *account.openWrite;
}

std::optional<TokenWrite> TokenLedger::beginReturn(const std::string &program, TimePoint now)
{
    const auto it = m_accounts.find(program);
    if (it == m_accounts.end() || !canReturn(it->second)) {
        return std::nullopt;
    }
    return makeReturn(program, it->second, now);
}

void TokenLedger::onReturnsRequested(const std::string &program, bool haveAllReplied, bool hasReturned)
{
    const auto it = m_accounts.find(program);
    if (it == m_accounts.end()) {
        return;
    }
    it->second.isWriting = false;
    it->second.waitingTokens = 0;
    it->second.haveAllReplied = haveAllReplied;
    if (hasReturned) {
        it->second.confirmedAt = {};
    }
}

std::vector<TokenWrite> TokenLedger::beginReturns(TimePoint now)
{
    std::vector<TokenWrite> writes;
    for (auto &[program, account] : m_accounts) {
        if (writes.size() >= MaxTokenReturns) {
            break;
        }
        if (!isReturnDue(account, now)) {
            continue;
        }
        writes.push_back(makeReturn(program, account, now));
    }
    return writes;
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
    if (row.version <= account.row.version || (account.openWrite && account.isWriting)) {
        return;
    }
    if (account.openWrite) {
        resolveWrite(account, row);
        return;
    }
    updateRow(account, row, now);
}

void TokenLedger::updateRow(Account &account, TokenRow row, TimePoint now)
{
    if (row.reserved < account.row.reserved) {
        // The row was removed and its program counts as new; the tokens held here were reserved in the old row.
        account.available = 0;
        account.ownTokens = 0;
    }
    if (row.version != account.row.version) {
        account.changedAt = now;
    }
    account.row = std::move(row);
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
    applyWrite(account);
    account.isWriting = false;
    account.writtenAt = account.writeRequestedAt;
    account.confirmedAt = account.writeRequestedAt;
    account.hasReadFailed = false;
}

void TokenLedger::applyWrite(Account &account)
{
    account.available += account.pendingTokens;
    account.ownTokens += account.pendingTokens;
    account.ownTokens -= std::min(account.ownTokens, account.pendingReturn);
    account.pendingTokens = 0;
    account.pendingReturn = 0;
    account.isReturnUncertain = false;
    account.openWrite.reset();
}

void TokenLedger::resolveWrite(Account &account, const TokenRow &row)
{
    const auto outcome = findOutcome(*account.openWrite, row);
    if (outcome != WriteOutcome::Executed) {
        // Tokens that may be back in the row mustn't be given back again.
        if (outcome == WriteOutcome::NotExecuted || !account.isReturnUncertain) {
            account.available += account.pendingReturn;
        }
        account.pendingTokens = 0;
        account.pendingReturn = 0;
    }
    // Tokens of a row that was removed since don't count.
    updateRow(account, row, account.writeRequestedAt);
    applyWrite(account);
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
    auto &account = it->second;
    resolveWrite(account, row);
    account.isWriting = false;
    account.confirmedAt = account.writeRequestedAt;
    account.hasReadFailed = false;
}

void TokenLedger::onWriteFailed(const std::string &program)
{
    const auto it = m_accounts.find(program);
    if (it != m_accounts.end()) {
        // Turns that waited call reserve() again.
        it->second.waitingTokens = 0;
        it->second.isWriting = false;
        it->second.isReturnUncertain = it->second.pendingReturn != 0;
    }
}

void TokenLedger::settle(const std::string &program, std::uint64_t maxTokens, std::uint64_t used, TimePoint now)
{
    const auto it = m_accounts.find(program);
    if (it == m_accounts.end()) {
        return;
    }
    auto &account = it->second;
    account.lastUse = std::max(account.lastUse, now);
    account.openTurns -= std::min(account.openTurns, 1U);
    if (used < maxTokens) {
        account.available += maxTokens - used;
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

bool TokenLedger::holdsTokens() const
{
    return std::any_of(m_accounts.begin(), m_accounts.end(), [](const auto &it) {
        return holdsTokens(it.second);
    });
}

bool TokenLedger::holdsTokens(const std::string &program) const
{
    const auto it = m_accounts.find(program);
    return it != m_accounts.end() && holdsTokens(it->second);
}

bool TokenLedger::holdsTokens(const Account &account)
{
    return account.available != 0 || account.pendingReturn != 0 || (account.openWrite && account.pendingTokens != 0);
}

std::size_t TokenLedger::size() const
{
    return m_accounts.size();
}

} // namespace Vanillahall::Forward
