#include "vanillahall/core/customer/quota_ledger_base.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include <xxhash.h>

namespace Vanillahall::Forward {

namespace {

using Seconds = std::chrono::duration<double>;

/** Part of the bucket that is divided at once; the rest covers what other proxies have sent and not reported yet. */
constexpr double DividedFraction = 0.6;
/** Part of the tolerated excess by which the bucket is larger than the burst; the rest covers late reports. */
constexpr double ToleranceFraction = 0.25;
/** New programs are admitted only while the bucket holds more than this part of the burst, so that programs in progress can go on. */
constexpr double ReserveFraction = 0.3;
/** Part of the rate by which the demand of all proxies together is taken as larger, so that each gets a part for new clients. */
constexpr double SpareDemandFraction = 0.25;
/** Permits that a proxy without recent demand may use between two reports while the bucket is more than half full. */
constexpr double MinPart = 1;
constexpr int MissedReports = 3;            ///< A proxy stays in touch if it misses fewer exchanges of reports in a row.
constexpr unsigned ReportedRounds = 4;      ///< Reports that still name a customer after its last request, since readers may miss some.
constexpr int UsefulRetryDivisor = 3;       ///< Clients wait for at most a third of the time that they have left.
constexpr std::uint64_t SpreadSteps = 1024; ///< Steps over which retry delays are spread.
constexpr double SecondsPerKs = 1000;       ///< Scale of CustomerUsage::demandPerKs.
constexpr Duration MinRetryDelay = std::chrono::milliseconds(250); ///< The reports bring news of the bucket about this often.
constexpr Duration MaxRetryDelay = std::chrono::seconds(60);

double toSeconds(Duration span)
{
    return Seconds(span).count();
}

} // namespace

Duration spreadRetryDelay(Duration delay, const QuotaRequest &request)
{
    const auto least = std::clamp(delay, MinRetryDelay, MaxRetryDelay);
    const auto spread = least * static_cast<int>(request.spreadHash % SpreadSteps) / static_cast<int>(SpreadSteps);
    return std::min(least + spread, std::max(least, request.timeLeft / UsefulRetryDivisor));
}

std::uint64_t customerHash(const std::string &name)
{
    return XXH3_64bits(name.data(), name.size());
}

DecayingRate::DecayingRate(Duration timeConstant)
    : m_seconds(toSeconds(timeConstant))
{
}

void DecayingRate::record(TimePoint now)
{
    m_rate = perSecond(now) + 1 / m_seconds;
    m_at = std::max(m_at, now);
}

double DecayingRate::perSecond(TimePoint now) const
{
    return now > m_at ? m_rate * std::exp(-toSeconds(now - m_at) / m_seconds) : m_rate;
}

QuotaLedger::QuotaLedger(std::string vm, std::string incarnation, const QuotaSettings &settings)
    : m_vm(std::move(vm))
    , m_incarnation(std::move(incarnation))
    , m_settings(settings)
{
}

void QuotaLedger::apply(const std::vector<Customer> &customers, TimePoint now)
{
    std::set<std::uint64_t> limited;
    for (const auto &it : customers) {
        if (!(it.limit.perSecond > 0)) {
            continue;
        }
        const auto hash = customerHash(it.name);
        limited.insert(hash);
        const auto [found, isNew] = m_accounts.try_emplace(hash);
        auto &account = found->second;
        if (const auto former = m_formerSent.find(hash); isNew && former != m_formerSent.end()) {
            account.sent = former->second;
            m_formerSent.erase(former);
        }
        if (!isNew && account.limit == it.limit) {
            continue;
        }
        advance(account, now);
        const double burst = std::max(it.limit.burst, 0.0);
        const double tolerance = (it.limit.perSecond * toSeconds(m_settings.window) + burst) * m_settings.overrun + m_settings.slack;
        account.limit = it.limit;
        account.capacity = std::max(1.0, burst + ToleranceFraction * tolerance);
        // What was sent before this process began isn't known, so the bucket isn't full.
        account.level = isNew ? account.capacity / 2 : std::min(account.level, account.capacity);
        account.part = std::min(account.part, std::max(account.level, 0.0));
        account.advancedAt = now;
    }
    std::erase_if(m_accounts, [this, &limited](const auto &it) {
        const bool isRemoved = limited.count(it.first) == 0;
        if (isRemoved && it.second.sent != 0) {
            m_formerSent[it.first] = it.second.sent;
        }
        return isRemoved;
    });
}

void QuotaLedger::advance(Account &account, TimePoint now) const
{
    if (now <= account.advancedAt) {
        return;
    }
    const double seconds = toSeconds(now - account.advancedAt);
    account.advancedAt = now;
    account.level = std::min(account.capacity, account.level + std::max(0.0, account.limit.perSecond - account.reservedRate) * seconds);
    // A frozen proxy, or one that is out of touch, can't save up more than a part of the burst.
    const double depth = account.limit.perSecond > 0 ? account.capacity * account.partRate / account.limit.perSecond : 0;
    account.part = std::max(account.part, std::min(account.part + account.partRate * seconds, std::max(1.0, depth)));
}

Duration QuotaLedger::retryDelay(const Account &account, double missing, const QuotaRequest &request) const
{
    const double rate = std::max(account.limit.perSecond - account.reservedRate, account.limit.perSecond / SpreadSteps);
    return spreadRetryDelay(
        std::chrono::duration_cast<Duration>(Seconds(std::min(std::max(missing, 0.0) / rate, toSeconds(MaxRetryDelay)))), request);
}

QuotaAnswer QuotaLedger::request(const QuotaRequest &request, TimePoint now)
{
    const auto found = m_accounts.find(customerHash(request.customer));
    if (found == m_accounts.end()) {
        return QuotaGranted{};
    }
    auto &account = found->second;
    advance(account, now);
    if (!request.isRepeated) {
        recordDemand(found->first, now);
    }
    if (isInTouch(now)) {
        const double needed = 1 + (request.isInProgress ? 0.0 : ReserveFraction * std::max(account.limit.burst, 0.0));
        if (account.level < needed) {
            return QuotaRefused{retryDelay(account, needed - account.level, request)};
        }
        if (account.level < needed + request.leastLevel) {
            return QuotaBusy{};
        }
    }
    if (account.part < 1) {
        return QuotaBusy{};
    }
    account.part -= 1;
    account.level -= 1;
    account.sent++;
    return QuotaGranted{};
}

void QuotaLedger::takeBack(const std::string &customer)
{
    const auto found = m_accounts.find(customerHash(customer));
    // A count that was reported must not fall, so the permit is only kept for the next request.
    if (found != m_accounts.end()) {
        found->second.part += 1;
    }
}

void QuotaLedger::recordDemand(std::uint64_t customer, TimePoint now)
{
    if (const auto found = m_accounts.find(customer); found != m_accounts.end()) {
        found->second.demand.record(now);
        found->second.quietReports = 0;
    }
}

void QuotaLedger::recordSent(std::uint64_t customer, TimePoint now)
{
    if (const auto found = m_accounts.find(customer); found != m_accounts.end()) {
        advance(found->second, now);
        found->second.level -= 1;
        found->second.sent++;
    }
}

bool QuotaLedger::hasLimit(std::uint64_t customer) const
{
    return m_accounts.count(customer) != 0;
}

double QuotaLedger::capacityOf(std::uint64_t customer) const
{
    const auto found = m_accounts.find(customer);
    return found != m_accounts.end() ? found->second.capacity : 0;
}

double QuotaLedger::demandOf(std::uint64_t customer, TimePoint now) const
{
    const auto found = m_accounts.find(customer);
    return found != m_accounts.end() ? found->second.demand.perSecond(now) : 0;
}

UsageReport QuotaLedger::usageOf(std::uint64_t customer, TimePoint now) const
{
    UsageReport report{m_vm, m_incarnation, m_reports, {}};
    if (const auto found = m_accounts.find(customer); found != m_accounts.end()) {
        report.usage.push_back({customer, found->second.sent, static_cast<std::uint64_t>(demandOf(customer, now) * SecondsPerKs)});
    }
    return report;
}

UsageReport QuotaLedger::report(TimePoint now)
{
    UsageReport report{m_vm, m_incarnation, ++m_reports, {}};
    for (auto &[hash, account] : m_accounts) {
        if (account.sent == 0 || account.quietReports++ >= ReportedRounds) {
            continue;
        }
        const double demand = account.demand.perSecond(now);
        report.usage.push_back({hash, account.sent, static_cast<std::uint64_t>(demand * SecondsPerKs)});
    }
    return report;
}

void QuotaLedger::onReportWritten(TimePoint writtenAt)
{
    m_writtenAt = std::max(m_writtenAt.value_or(writtenAt), writtenAt);
}

void QuotaLedger::onReports(const std::vector<UsageReport> &reports, TimePoint readAt, TimePoint now)
{
    const bool isFirst = !m_readAt;
    m_readAt = std::max(m_readAt.value_or(readAt), readAt);
    for (auto &[hash, account] : m_accounts) {
        advance(account, now);
    }
    std::set<std::string> listed;
    for (const auto &it : reports) {
        listed.insert(it.vm);
        if (it.vm != m_vm) {
            applyReport(it, isFirst, now);
        }
    }
    std::erase_if(m_remotes, [&listed](const auto &it) {
        return listed.count(it.first) == 0;
    });
    dividePermits(now);
}

void QuotaLedger::applyReport(const UsageReport &report, bool isBaseline, TimePoint now)
{
    const auto [found, isNewVm] = m_remotes.try_emplace(report.vm);
    auto &remote = found->second;
    const bool isSameProcess = remote.incarnation == report.incarnation;
    if (isSameProcess && report.number <= remote.number) {
        return;
    }
    if (!isSameProcess) {
        // A row that was removed and written again is that of a process which has sent requests before, too.
        remote = {report.incarnation, 0, now, isBaseline || (isNewVm && report.number > ReportedRounds), {}};
    }
    remote.number = report.number;
    remote.changedAt = now;
    for (auto &[hash, usage] : remote.usage) {
        usage.demand = 0;
    }
    for (const auto &it : report.usage) {
        const auto account = m_accounts.find(it.customer);
        if (account == m_accounts.end()) {
            continue;
        }
        const auto [entry, isNew] = remote.usage.try_emplace(it.customer);
        auto &known = entry->second;
        if (!isBaseline && it.sent > known.sent) {
            const auto added = static_cast<double>(it.sent - known.sent);
            // A report omits quiet customers, so the count of one that is named later includes requests of long ago.
            const double recent = static_cast<double>(it.demandPerKs) / SecondsPerKs * toSeconds(DemandTime);
            account->second.level -= isNew && remote.isFollowedLate ? std::min(added, std::ceil(recent)) : added;
        }
        known.sent = std::max(known.sent, it.sent);
        known.demand = static_cast<double>(it.demandPerKs) / SecondsPerKs;
    }
}

void QuotaLedger::dividePermits(TimePoint now)
{
    std::unordered_map<std::uint64_t, std::pair<double, double>> demands; ///< Demand of all other proxies, and of those that are silent.
    const auto silentTime = std::max<Duration>(SilentProxyTime, (MissedReports + 1) * reportInterval());
    double proxies = 1;
    for (const auto &[vm, remote] : m_remotes) {
        const auto silence = now - remote.changedAt;
        if (silence > LostProxyTime) {
            continue;
        }
        proxies += 1;
        const bool isSilent = silence > silentTime;
        for (const auto &[hash, usage] : remote.usage) {
            auto &[all, silent] = demands[hash];
            all += usage.demand;
            silent += isSilent ? usage.demand : 0.0;
        }
    }
    for (auto &[hash, account] : m_accounts) {
        const double rate = account.limit.perSecond;
        const auto [others, silent] = demands[hash];
        const double spare = SpareDemandFraction * rate;
        const double own = account.demand.perSecond(now);
        const double all = own + others + spare;
        const double fraction = all > 0 ? (own + spare / proxies) / all : 0;
        account.partRate = rate * fraction;
        account.reservedRate = all > 0 ? rate * silent / all : 0;
        const double level = std::max(account.level, 0.0);
        const double least = account.level > account.capacity / 2 ? std::max(MinPart, level / proxies) : 0;
        account.part = std::max(DividedFraction * level * fraction, least);
    }
}

std::vector<std::string> QuotaLedger::expired(TimePoint now) const
{
    std::vector<std::string> vms;
    for (const auto &[vm, remote] : m_remotes) {
        if (now - remote.changedAt > ReportLifetime) {
            vms.push_back(vm);
        }
    }
    return vms;
}

std::size_t QuotaLedger::size() const
{
    return m_accounts.size();
}

Duration QuotaLedger::reportInterval() const
{
    return std::max<Duration>(MinReportInterval, ReportIntervalPerProxy * static_cast<std::int64_t>(m_remotes.size() + 1));
}

bool QuotaLedger::isInTouch(TimePoint now) const
{
    return m_writtenAt && m_readAt
        && now - std::min(*m_writtenAt, *m_readAt) <= std::max<Duration>(OutOfTouchTime, MissedReports * reportInterval());
}

} // namespace Vanillahall::Forward
