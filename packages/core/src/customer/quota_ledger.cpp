#include "vanillahall/core/customer/quota_ledger_base.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Vanillahall::Forward {

namespace {

using Seconds = std::chrono::duration<double>;

/** A permit at an empty pool isn't expected before this time; also the retry delay if the rule never allows a request. */
constexpr Duration MaxRetryDelay = std::chrono::seconds(60);
/** Requests that are refused together return within at least this time. */
constexpr Duration MinRetrySpread = std::chrono::milliseconds(300);
constexpr int UsefulRetryDivisor = 3; ///< Clients wait for at most a third of the time that they have left.
/** A withdrawal covers the demand of half of the permits' validity, but at least of this time, so that few permits expire unused. */
constexpr Duration MinDemandTime = std::chrono::milliseconds(250);
/** Most permits of one withdrawal; keeps the conversion from floating point in range. */
constexpr double MaxWithdrawal = 1e6;
/** A row that other proxies write too is read before it is written if it was seen longer ago than this, since the write would be refused.
 */
constexpr Duration SharedRowAge = std::chrono::milliseconds(300);
constexpr double ShareHeadroom = 1.25;     ///< A share relative to the proxy's own demand.
constexpr double MinShareDemandPerS = 0.2; ///< Below this demand, renewing a lease costs as many calls as withdrawing single permits.
constexpr double MinSharePermits = 1;      ///< A share that can't accumulate a whole permit is useless.
constexpr std::size_t IdleCustomers = 256; ///< Idle customers are removed only beyond this number.
constexpr Duration IdleTime = std::chrono::minutes(1);

double toSeconds(Duration span)
{
    return Seconds(span).count();
}

Duration fromSeconds(double n)
{
    return std::chrono::duration_cast<Duration>(Seconds(std::min(n, toSeconds(MaxRetryDelay))));
}

std::uint64_t leaseEndMs(std::uint64_t storeMs)
{
    return storeMs + static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(QuotaLease).count());
}

/** @return Time until the pool is refilled by a number of permits. */
Duration refillTime(double permits, const QuotaTerms &terms, const QuotaRow &row, std::uint64_t storeMs)
{
    const double rate = terms.rate * (1 - std::min(leasedShare(row, storeMs), MaxLeasedShare));
    return rate > 0 ? fromSeconds(std::max(0.0, permits) / rate) : MaxRetryDelay;
}

/** @return Retry delay that spreads requests which are refused together, as far as clients wait that long. */
Duration spreadDelay(Duration delay, const QuotaRequest &request)
{
    constexpr std::uint64_t Steps = 1024;
    const auto spread = std::max(delay, MinRetrySpread) * static_cast<int>(request.spreadHash % Steps) / static_cast<int>(Steps);
    return std::min(delay + spread, std::max(delay, request.timeLeft / UsefulRetryDivisor));
}

} // namespace

QuotaLedger::QuotaLedger(std::string vm, std::string incarnation, const QuotaSettings &settings)
    : m_vm(std::move(vm))
    , m_incarnation(std::move(incarnation))
    , m_settings(settings)
{
}

QuotaAnswer QuotaLedger::request(const QuotaRequest &request, TimePoint now, std::uint64_t storeMs)
{
    if (!(request.limit.perSecond > 0)) {
        return QuotaGranted{};
    }
    auto &account = m_accounts[request.customer];
    applyLimit(account, request.limit, now);
    account.lastUse = std::max(account.lastUse, now);
    if (!request.isRepeated) {
        account.demand.record(now);
        account.shareDemand.record(now);
    }
    accumulate(account, now);
    const bool mayUsePool = request.isInProgress || now >= account.lowUntil;
    if (mayUsePool) {
        if (const auto permit = takePermit(account, now)) {
            return QuotaGranted{*permit, renewLease(request.customer, account, now, storeMs)};
        }
    }
    const auto blockedUntil = request.isInProgress ? account.emptyUntil : std::max(account.emptyUntil, account.lowUntil);
    if (now < blockedUntil) {
        return QuotaRefused{spreadDelay(blockedUntil - now, request)};
    }
    if (account.open || account.isReading || now < account.failedUntil) {
        account.waiting++;
        return QuotaBusy{};
    }
    if (!account.isRowKnown || (account.isRowShared && now - account.rowKnownAt > SharedRowAge)) {
        account.isReading = true;
        return QuotaNeedsRead{};
    }
    if (account.row.isUnreadable) {
        advancePool(account.row, account.terms, storeMs);
    }
    QuotaRow row = account.row;
    advancePool(row, account.terms, storeMs);
    if (row.available < 1) {
        const auto delay = std::max(QuotaCallInterval, refillTime(1 - row.available, account.terms, row, storeMs));
        account.emptyUntil = now + delay;
        return QuotaRefused{spreadDelay(delay, request)};
    }
    if (!request.isInProgress && row.available <= account.terms.reserve) {
        const auto delay = std::max(QuotaCallInterval, refillTime(account.terms.reserve - row.available, account.terms, row, storeMs));
        account.lowUntil = now + delay;
        return QuotaRefused{spreadDelay(delay, request)};
    }
    const auto demandTime = std::max(MinDemandTime, account.terms.validity / 2);
    const double waiting = 1 + static_cast<double>(std::exchange(account.waiting, 0));
    const double wanted = std::max(waiting, account.demand.perSecond(now) * toSeconds(demandTime));
    const double allowed = request.isInProgress ? row.available : std::max(1.0, row.available - account.terms.reserve);
    const auto permits = static_cast<std::uint64_t>(std::min({allowed, wanted, MaxWithdrawal}));
    auto write = openWrite(request.customer, account, std::move(row), permits, now);
    const bool isDrained = static_cast<double>(permits) + 1 <= wanted;
    account.open->drain = !isDrained ? Drain::None : (request.isInProgress ? Drain::Empty : Drain::Low);
    return QuotaNeedsWrite{std::move(write)};
}

void QuotaLedger::updateRow(Account &account, QuotaRow row, TimePoint now)
{
    account.row = std::move(row);
    account.isRowKnown = true;
    account.rowKnownAt = now;
    const double missing = account.terms.reserve - account.row.available;
    if (account.row.version != 0 && !account.row.isUnreadable && missing >= 0) {
        account.lowUntil = now + refillTime(missing, account.terms, account.row, account.row.atMs);
    }
}

void QuotaLedger::applyLimit(Account &account, const CustomerLimit &limit, TimePoint now) const
{
    if (account.limit == limit) {
        return;
    }
    // Permits of a higher limit would exceed the lower one.
    account.hands.clear();
    account.limit = limit;
    account.terms = quotaTerms(limit, m_settings);
    account.emptyUntil = {};
    account.lowUntil = {};
    accumulate(account, now);
}

void QuotaLedger::accumulate(Account &account, TimePoint now)
{
    const auto end = std::min(now, account.leaseUntil);
    const double rate = account.share * account.terms.rate;
    if (end > account.accumulatedAt) {
        account.accumulated += rate * toSeconds(end - account.accumulatedAt);
        account.accumulatedAt = end;
    }
    account.accumulated = std::min(account.accumulated, rate * toSeconds(account.terms.shareDepth));
    if (now >= account.leaseUntil) {
        account.share = 0;
        account.accumulated = 0;
    }
    std::erase_if(account.hands, [now](const Hand &it) {
        return it.permits == 0 || now >= it.validUntil;
    });
}

std::optional<QuotaPermit> QuotaLedger::takePermit(Account &account, TimePoint now)
{
    // Withdrawn permits first, the ones that expire soonest before the others; what a share has accumulated stays.
    const auto hand = std::min_element(account.hands.begin(), account.hands.end(), [](const Hand &a, const Hand &b) {
        return a.validUntil < b.validUntil;
    });
    if (hand != account.hands.end()) {
        hand->permits--;
        return QuotaPermit{hand->validUntil};
    }
    if (account.accumulated >= 1) {
        account.accumulated -= 1;
        return QuotaPermit{now + account.terms.shareValidity};
    }
    return std::nullopt;
}

std::optional<QuotaWrite> QuotaLedger::renewLease(const std::string &customer, Account &account, TimePoint now, std::uint64_t storeMs)
{
    const bool isDue = account.share > 0 && now - account.leaseRenewedAt >= QuotaRenewal;
    if (!isDue || account.open || account.isReading || now < account.failedUntil || !account.isRowKnown) {
        return std::nullopt;
    }
    QuotaRow row = account.row;
    advancePool(row, account.terms, storeMs);
    return openWrite(customer, account, std::move(row), 0, now);
}

bool QuotaLedger::isOwn(const QuotaShare &share) const
{
    return share.vm == m_vm && share.incarnation == m_incarnation;
}

double QuotaLedger::nextShare(const Account &account, const QuotaRow &row, TimePoint now) const
{
    double others = 0;
    std::size_t count = 0;
    for (const auto &it : row.shares) {
        others += isOwn(it) ? 0 : it.share;
        count += isOwn(it) ? 0 : 1;
    }
    const double demand = account.shareDemand.perSecond(now);
    const double rate = account.terms.rate;
    if (count >= MaxQuotaShares || demand < MinShareDemandPerS || !(rate > 0)) {
        return 0;
    }
    const double share = std::min(ShareHeadroom * demand / rate, MaxLeasedShare - others);
    return share * rate * toSeconds(account.terms.shareDepth) < MinSharePermits ? 0 : share;
}

QuotaWrite QuotaLedger::openWrite(const std::string &customer, Account &account, QuotaRow row, std::uint64_t permits, TimePoint now)
{
    const double share = nextShare(account, row, now);
    std::erase_if(row.shares, [this](const QuotaShare &it) {
        return isOwn(it);
    });
    if (share > 0) {
        row.shares.push_back({m_vm, m_incarnation, share, leaseEndMs(row.atMs)});
    }
    row.available -= static_cast<double>(permits);
    row.limit = account.limit;
    row.writer = m_vm + "/" + m_incarnation + "/" + std::to_string(++m_writes);
    // The write may be executed at any time from now on, even if it seems to fail; a larger share counts only once it has succeeded.
    account.share = std::min(account.share, share);
    accumulate(account, now);
    account.open = OpenWrite{{customer, std::move(row)}, permits, share, now, account.terms.validity, Drain::None};
    return account.open->write;
}

void QuotaLedger::takeBack(const std::string &customer, const QuotaPermit &permit, TimePoint now)
{
    const auto it = m_accounts.find(customer);
    if (it == m_accounts.end() || !permit.validUntil || now >= *permit.validUntil) {
        return;
    }
    auto &hands = it->second.hands;
    const auto same = std::find_if(hands.begin(), hands.end(), [&permit](const Hand &hand) {
        return hand.validUntil == *permit.validUntil;
    });
    if (same != hands.end()) {
        same->permits++;
    } else {
        hands.push_back({1, *permit.validUntil});
    }
}

void QuotaLedger::onRowRead(const std::string &customer, const std::optional<QuotaRow> &row, TimePoint now)
{
    const auto it = m_accounts.find(customer);
    if (it == m_accounts.end()) {
        return;
    }
    auto &account = it->second;
    account.isReading = false;
    if (!row) {
        account.failedUntil = now + QuotaFailurePause;
        return;
    }
    // A version that is known already has the same content, and an unreadable one was replaced by an empty pool.
    if (row->version > account.row.version || (!account.isRowKnown && row->version != account.row.version)) {
        updateRow(account, *row, now);
    }
    account.isRowKnown = true;
    account.rowKnownAt = now;
}

void QuotaLedger::onWritten(const std::string &customer, std::uint64_t version, TimePoint now)
{
    const auto it = m_accounts.find(customer);
    if (it == m_accounts.end() || !it->second.open) {
        return;
    }
    auto &account = it->second;
    const auto open = std::move(*account.open);
    account.open.reset();
    accumulate(account, now);
    updateRow(account, open.write.row, now);
    account.row.version = version;
    account.conflicts = 0;
    account.waiting = 0;
    if (account.limit == open.write.row.limit && open.permits != 0) {
        account.hands.push_back({open.permits, open.requestedAt + open.validity});
    }
    if (open.drain == Drain::Empty) {
        const auto delay = refillTime(1 - account.row.available, account.terms, account.row, account.row.atMs);
        account.emptyUntil = now + std::max(QuotaCallInterval, delay);
    } else if (open.drain == Drain::Low) {
        account.lowUntil = std::max(account.lowUntil, now + QuotaCallInterval);
    }
    const auto leaseUntil = open.requestedAt + QuotaLease - QuotaLeaseMargin;
    if (open.share > 0 && now < leaseUntil) {
        account.accumulated = account.share > 0 ? account.accumulated : 0;
        account.accumulatedAt = now;
        account.share = open.share;
        account.leaseUntil = leaseUntil;
        account.leaseRenewedAt = open.requestedAt;
    }
}

void QuotaLedger::onConflict(const std::string &customer, const QuotaRow &row, TimePoint now)
{
    const auto it = m_accounts.find(customer);
    if (it == m_accounts.end() || !it->second.open) {
        return;
    }
    auto &account = it->second;
    // Another attempt of this write, over the other route to the store, may have succeeded.
    if (!row.isUnreadable && row.version != 0 && row.writer == account.open->write.row.writer) {
        onWritten(customer, row.version, now);
        return;
    }
    account.open.reset();
    updateRow(account, row, now);
    account.isRowShared = true;
    if (++account.conflicts > MaxQuotaConflicts) {
        account.conflicts = 0;
        account.failedUntil = now + QuotaFailurePause;
    }
}

void QuotaLedger::onWriteFailed(const std::string &customer, TimePoint now)
{
    const auto it = m_accounts.find(customer);
    if (it == m_accounts.end()) {
        return;
    }
    auto &account = it->second;
    account.open.reset();
    account.isReading = false;
    account.waiting = 0;
    // The write may have been executed, so the known version may be outdated.
    account.isRowKnown = false;
    account.failedUntil = now + QuotaFailurePause;
}

void QuotaLedger::removeIdle(TimePoint now)
{
    for (auto it = m_accounts.begin(); it != m_accounts.end() && m_accounts.size() > IdleCustomers;) {
        const auto &account = it->second;
        const bool isIdle = !account.open && !account.isReading && now - account.lastUse > IdleTime;
        it = isIdle ? m_accounts.erase(it) : std::next(it);
    }
}

std::size_t QuotaLedger::size() const
{
    return m_accounts.size();
}

double QuotaLedger::share(const std::string &customer, TimePoint now) const
{
    const auto it = m_accounts.find(customer);
    return it != m_accounts.end() && now < it->second.leaseUntil ? it->second.share : 0;
}

std::size_t QuotaLedger::shareCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_accounts.begin(), m_accounts.end(), [now](const auto &it) {
        return it.second.share > 0 && now < it.second.leaseUntil;
    }));
}

} // namespace Vanillahall::Forward
