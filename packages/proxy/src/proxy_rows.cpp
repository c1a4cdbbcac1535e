#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"

#include "vanillahall/platform/wire_quota_func.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

constexpr Duration ReturnTimeout = std::chrono::milliseconds(300); ///< Time for another proxy to give tokens back: two writes of its own.
constexpr std::size_t MinStoreWaiters = 64;                        ///< Ended requests aren't searched for among fewer waiting ones.
constexpr Duration CleanInterval = std::chrono::seconds(5);        ///< Interval between searches for rows of programs that have ended.

} // namespace

void ProxyState::addTokenWaiter(const std::string &program, const std::shared_ptr<Exchange> &exchange)
{
    m_tokenWaiters[program].push_back(exchange);
}

void ProxyState::addStoreWaiter(const std::shared_ptr<Exchange> &exchange)
{
    addWaiter(m_storeWaiters, exchange);
}

void ProxyState::addWaiter(std::vector<std::weak_ptr<Exchange>> &waiters, const std::shared_ptr<Exchange> &exchange) const
{
    // Requests that ended meanwhile would take memory as long as the store is unavailable.
    if (waiters.size() > 2 * m_exchanges.size() + MinStoreWaiters) {
        std::erase_if(waiters, [](const auto &it) {
            return it.expired();
        });
    }
    waiters.push_back(exchange);
}

void ProxyState::writeTokens(const TokenWrite &write)
{
    store.call(Platform::writeTokenRowCall(write, storeNowMs()),
               StoreTimeout,
               false,
               [weak = weak_from_this(), write](const auto &reply, const Error &reason) {
                   if (const auto self = weak.lock()) {
                       self->onTokensWritten(write, reply, reason);
                   }
               });
}

void ProxyState::onTokensWritten(const TokenWrite &write, const std::optional<StoreReply> &reply, const Error &reason)
{
    Error ec = reason;
    const auto answer = reply ? Platform::decodeTransaction(reply->status, reply->body, ec) : std::nullopt;
    const auto outcome = answer ? applyTokenAnswer(write, *answer) : TokenOutcome::Failed;
    if (!answer) {
        onStoreFailure(ec.message);
    }
    if (outcome == TokenOutcome::Failed) {
        ledger.onWriteFailed(write.program);
    }
    logTokens(write, outcome, ec.message);
    notifyTokenWaiters(write.program, outcome == TokenOutcome::Failed);
}

void ProxyState::requestReturns(const std::string &program, const std::vector<std::string> &holders)
{
    const auto round = std::make_shared<ReturnRound>(ReturnRound{program, holders.size(), holders.size()});
    for (const auto &it : holders) {
        const ProxyMember *member = members.find(it);
        if (member == nullptr) {
            onReturnReply(round, std::nullopt);
            continue;
        }
        store.callMember(*member,
                         {"POST", std::string(TokenReturnPath), program},
                         ReturnTimeout,
                         [weak = weak_from_this(), round](const auto &reply, const Error &) {
                             if (const auto self = weak.lock()) {
                                 self->onReturnReply(round, reply);
                             }
                         });
    }
}

void ProxyState::onReturnReply(const std::shared_ptr<ReturnRound> &round, const std::optional<StoreReply> &reply)
{
    round->waiting--;
    round->replied += reply && (reply->status == StatusOk || reply->status == StatusNoContent) ? 1 : 0;
    round->returned += reply && reply->status == StatusOk ? 1 : 0;
    if (round->waiting != 0) {
        return;
    }
    const bool haveAllReplied = round->replied == round->holders;
    log(LogLevel::Info,
        EventNumber::TokensReserved,
        "program=" + clientId(round->program) + " holders=" + std::to_string(round->holders) + " replied=" + std::to_string(round->replied)
            + " gave_back=" + std::to_string(round->returned) + " outcome=asked");
    metrics.count("vanillahall_token_return_rounds_total", {"outcome", haveAllReplied ? "replied" : "incomplete"});
    ledger.onReturnsRequested(round->program, haveAllReplied, round->returned != 0);
    notifyTokenWaiters(round->program, false);
}

void ProxyState::answerTokenReturn(const std::string &program, const MessageServer::Reply &answer, unsigned attempts)
{
    if (!ledger.holdsTokens(program)) {
        // After a write, also one that had been executed before, the asking proxy reads the row again.
        answer({attempts == MaxReturnAttempts ? StatusNoContent : StatusOk, {}, {}});
        return;
    }
    const auto write = attempts != 0 && canReturnTokens() ? ledger.beginReturn(program, now()) : std::nullopt;
    if (!write) {
        answer({StatusConflict, {}, {}});
        return;
    }
    store.callOnce(Platform::writeTokenRowCall(*write, storeNowMs()),
                   StoreTimeout,
                   [weak = weak_from_this(), write = *write, answer, attempts](const auto &reply, const Error &reason) {
                       if (const auto self = weak.lock()) {
                           self->onTokensWritten(write, reply, reason);
                           self->answerTokenReturn(write.program, answer, attempts - 1);
                       }
                   });
}

bool ProxyState::canReturnTokens() const
{
    return isStoreReachable() && !store.isDirectRouteDown();
}

void ProxyState::returnTokens()
{
    if (!canReturnTokens()) {
        return;
    }
    for (const auto &write : ledger.beginReturns(now())) {
        // A single attempt, so that a refusal shows that the tokens weren't given back.
        store.callOnce(Platform::writeTokenRowCall(write, storeNowMs()),
                       StoreTimeout,
                       [weak = weak_from_this(), write](const auto &reply, const Error &reason) {
                           if (const auto self = weak.lock()) {
                               self->onTokensWritten(write, reply, reason);
                           }
                       });
    }
}

void ProxyState::closeShare(const std::string &program)
{
    outage.close(program, [weak = weak_from_this(), program](std::optional<std::uint64_t> tokens) {
        if (const auto self = weak.lock()) {
            self->ledger.onShareClosed(program, tokens, now());
            self->notifyTokenWaiters(program, !tokens);
        }
    });
}

void ProxyState::closeShareEarly(const std::string &program)
{
    // A program that has a row seldom needs tokens in an outage, but it may need more than the first share after its owner was lost.
    // A row without tokens only names the version of a stream.
    if (!ledger.hasOpenShare(program, now()) || ledger.row(program).reserved == 0) {
        return;
    }
    outage.close(program, [weak = weak_from_this(), program](std::optional<std::uint64_t> tokens) {
        const auto self = weak.lock();
        if (self && tokens) {
            self->ledger.recordClosedShare(program, *tokens, now());
        }
    });
}

void ProxyState::notifyTokenWaiters(const std::string &program, bool hasFailed)
{
    const auto waiters = std::move(m_tokenWaiters[program]);
    m_tokenWaiters.erase(program);
    for (const auto &it : waiters) {
        if (const auto exchange = it.lock()) {
            exchange->onStoreUpdate(hasFailed);
        }
    }
}

void ProxyState::readTokens(const std::string &program)
{
    store.call(Platform::readTokenRowCall(program),
               StoreTimeout,
               false,
               [weak = weak_from_this(), program](const auto &reply, const Error &reason) {
                   if (const auto self = weak.lock()) {
                       self->onTokensRead(program, reply, reason);
                   }
               });
}

void ProxyState::onTokensRead(const std::string &program, const std::optional<StoreReply> &reply, const Error &reason)
{
    Error ec = reason;
    const auto rows = reply && reply->status == StatusOk ? Platform::decodeRows(reply->body, ec) : std::nullopt;
    std::optional<TokenRow> row;
    if (rows) {
        onStoreReply(rows->nowMs);
        row = rows->rows.empty() ? TokenRow() : Platform::decodeTokenRow(rows->rows.front(), ec);
    } else {
        onStoreFailure(reply && reply->status != StatusOk ? "status " + std::to_string(reply->status) : ec.message);
    }
    if (rows && !row) {
        reportInvalidRow(ec, rows->rows.front().version);
    }
    ledger.onRowRead(program, row, now());
    log(LogLevel::Info,
        EventNumber::TokensReserved,
        "program=" + clientId(program) + " reserved=" + std::to_string(row ? row->reserved : 0)
            + " returned=" + std::to_string(row ? row->returned : 0) + " expected_version=" + std::to_string(row ? row->version : 0)
            + " outcome=" + (row ? "read" : "read_failed why=\"" + ec.message + '"'));
    // Waiting requests continue at once even if the read failed; they ask the owner of the program, or try a write then.
    notifyTokenWaiters(program, !row && outage.isOn());
}

ProxyState::TokenOutcome ProxyState::applyTokenAnswer(const TokenWrite &write, const Platform::TransactionAnswer &answer)
{
    onStoreReachable();
    if (const auto *done = std::get_if<Platform::TransactionDone>(&answer)) {
        ledger.onWritten(write.program, done->version);
        closeShareEarly(write.program);
        return TokenOutcome::Written;
    }
    TokenRow row;
    for (const auto &it : std::get<Platform::TransactionRefused>(answer).rows) {
        if (it.key != write.program) {
            continue;
        }
        Error ec;
        const auto decoded = Platform::decodeTokenRow(it, ec);
        if (!decoded) {
            reportInvalidRow(ec, it.version);
            return TokenOutcome::Failed;
        }
        row = *decoded;
    }
    ledger.onConflict(write.program, row);
    return TokenOutcome::Changed;
}

void ProxyState::logTokens(const TokenWrite &write, TokenOutcome outcome, const std::string &why)
{
    const char *name = outcome == TokenOutcome::Written ? "written" : (outcome == TokenOutcome::Changed ? "changed_by_another" : "failed");
    metrics.count("vanillahall_token_writes_total", {"outcome", name});
    log(LogLevel::Info,
        EventNumber::TokensReserved,
        "program=" + clientId(write.program) + " reserved=" + std::to_string(write.row.reserved)
            + " returned=" + std::to_string(write.row.returned) + " expected_version=" + std::to_string(write.row.version)
            + " outcome=" + name + (outcome == TokenOutcome::Failed ? " why=\"" + why + '"' : ""));
}

void ProxyState::removeExpiredRows()
{
    const auto present = now();
    if (present < m_nextCleanAt) {
        return;
    }
    m_nextCleanAt = present + CleanInterval;
    removeCrashRecords(crashes.removeExpired(present));
    removeTokens(ledger.removeIdle(present - TokenRowLifetime));
    auto silent = quotas.expired(present);
    if (!silent.empty() && claimCleaningRound()) {
        silent.resize(std::min(silent.size(), Platform::MaxTransactionEntries));
        callStore(Platform::removeUsageCall(silent), "remove_usage");
    }
    sweepTokens();
}

void ProxyState::removeTokens(const std::vector<TokenWrite> &rows)
{
    std::map<std::string, std::vector<TokenWrite>> byPart;
    for (const auto &it : rows) {
        auto &part = byPart[Platform::tokenPart(it.program)];
        if (part.size() < Platform::MaxRemovedRows) {
            part.push_back(it);
        }
    }
    for (const auto &[part, list] : byPart) {
        callStore(Platform::removeTokenRowsCall(list), "remove_tokens");
    }
}

void ProxyState::recordCrash(const CrashedAttempt &attempt)
{
    logQuarantine(crashes.recordCrash(attempt, now()));
    shareCrashes();
}

void ProxyState::shareCrashes()
{
    const auto batch = crashes.beginShare(now());
    if (batch.empty()) {
        return;
    }
    std::vector<Platform::SharedCrash> records;
    records.reserve(batch.size());
    for (const auto &it : batch) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now() - it.latest);
        const auto span = std::chrono::duration_cast<std::chrono::milliseconds>(it.latest - it.earliest);
        const std::chrono::milliseconds clock(storeNowMs());
        auto features = it.features;
        std::erase_if(features, [](const RequestFeature &feature) {
            // The key of the row names it.
            return feature.kind == FeatureKind::Content;
        });
        records.push_back({it.record, m_processName, clock - std::min(clock, age), span, it.server, std::move(features), it.isHarmless});
    }
    store.call(Platform::writeCrashesCall(records),
               StoreTimeout,
               false,
               [weak = weak_from_this(), n = batch.size()](const auto &reply, const Error &reason) {
                   if (const auto self = weak.lock()) {
                       self->onCrashesShared(n, reply, reason);
                   }
               });
}

void ProxyState::onCrashesShared(std::size_t count, const std::optional<StoreReply> &reply, const Error &reason)
{
    const bool isStored = reply && reply->status == StatusOk;
    removeCrashRecords(crashes.endShare(isStored, now()));
    if (!isStored) {
        const auto why = reply ? "status " + std::to_string(reply->status) : reason.message;
        onStoreFailure(why);
        log(LogLevel::Warning,
            EventNumber::DependencyLost,
            "peer=store call=share_break records=" + std::to_string(count) + " waiting=" + std::to_string(crashes.unsharedCount())
                + " why=\"" + why + '"');
    }
    shareCrashes();
}

void ProxyState::logQuarantine(const std::vector<AttributedFeature> &refused)
{
    for (const auto &it : refused) {
        std::ostringstream line;
        line << featureName(it.feature.kind) << '=' << it.feature.hash << " records=" << it.crashes << " contents=" << it.contents
             << " newest_ms_ago=" << std::chrono::duration_cast<std::chrono::milliseconds>(now() - it.newest).count();
        log(LogLevel::Warning, EventNumber::ContentQuarantined, line.str());
    }
}

void ProxyState::recordHarmless(const RequestFeatures &features, TimePoint sentAt)
{
    removeCrashRecords(crashes.recordSuccess(features, sentAt, now()));
    shareCrashes();
}

void ProxyState::removeCrashRecords(const std::vector<CrashRecord> &records)
{
    std::vector<std::string> keys;
    keys.reserve(records.size());
    for (const auto &it : records) {
        keys.push_back(Platform::crashKey(m_processName, it));
    }
    removeCrashRows(keys);
}

void ProxyState::removeCrashRows(const std::vector<std::string> &keys)
{
    for (std::size_t n = 0; n < keys.size(); n += Platform::MaxRemovedRows) {
        const auto begin = keys.begin() + static_cast<std::ptrdiff_t>(n);
        const auto end = begin + static_cast<std::ptrdiff_t>(std::min(Platform::MaxRemovedRows, keys.size() - n));
        callStore(Platform::removeCrashesCall({begin, end}), "remove_breaks");
    }
}

void ProxyState::sweepTokens()
{
    // Finds rows left by proxies that have ended; each proxy reads one partition at a time.
    readAll(
        [n = m_nextTokenPart++](const std::string &after) {
            return Platform::readTokenPartCall(n, after);
        },
        false,
        [this](const auto &rows) {
            if (rows) {
                removeTokens(Platform::expiredTokenRows(*rows, TokenRowLifetime));
            }
        });
}

void ProxyState::applyCrashes(const TableReplica &table)
{
    m_areCrashesRead = true;
    const auto present = now();
    const std::chrono::milliseconds clock(storeNowMs());
    std::vector<CrashEvidence> records;
    std::vector<std::string> expiredKeys;
    for (const auto &[key, row] : table.rows()) {
        Error ec;
        auto crash = Platform::decodeCrash(row, ec);
        if (!crash) {
            reportInvalidRow(ec, row.version);
        }
        if (!crash || crash->at + CrashRecordLifetime < clock) {
            expiredKeys.push_back(key);
        } else if (crash->process != m_processName) {
            const auto latest = present - (clock - crash->at);
            auto features = std::move(crash->features);
            if (!crash->isHarmless) {
                features.insert(features.begin(), {FeatureKind::Content, crash->record.content});
            }
            records.push_back({crash->record, std::move(features), crash->server, latest - crash->span, latest, crash->isHarmless});
        }
    }
    logQuarantine(crashes.updateShared(std::move(records), present));
    if (!expiredKeys.empty() && claimCleaningRound()) {
        removeCrashRows(expiredKeys);
    }
}

bool ProxyState::claimCleaningRound()
{
    return (m_cleaningRounds++ + std::hash<std::string>()(settings.name)) % members.count(now()) == 0;
}

} // namespace Vanillahall::Forward
