#include "vanillahall/core/customer/permit_grantor_base.h"

#include "vanillahall/core/customer/quota_ledger_base.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include <xxhash.h>

namespace Vanillahall::Forward {

namespace {

using Seconds = std::chrono::duration<double>;

/** Two proxies that both act as the grantor grant up to the capacity each, so it is at most this part of what a window holds beyond the
 * rate. */
constexpr double CapacityFraction = 0.5;
/** New programs are admitted only while the bucket holds more than this part of its capacity, so that programs in progress can go on. */
constexpr double ReserveFraction = 0.25;
constexpr double BurstReserve = 0.3;      ///< The same part of the burst as at the ledger, if that is less.
constexpr double BatchFraction = 0.5;     ///< More permits than one are granted only while the bucket holds this part of its capacity.
constexpr std::uint64_t EarlyReports = 4; ///< A process with more reports may have sent requests long before it is first heard of.
constexpr double SecondsPerKs = 1000;     ///< Scale of CustomerUsage::demandPerKs.
constexpr Duration UseLifetime = ReportLifetime; ///< Counts of a process that isn't heard of are kept for this long.
constexpr int MissedReports = 3; ///< A proxy whose reports are missing this often in a row, and that didn't ask, isn't heard of.
constexpr Duration ReserveInterval = std::chrono::milliseconds(500); ///< Longest time between two looks for proxies that aren't heard of.
constexpr Duration MinRetryDelay = std::chrono::milliseconds(20); ///< A reply that names an earlier time would be asked for at once again.

double toSeconds(Duration span)
{
    return Seconds(span).count();
}

std::string processKey(const UsageReport &report)
{
    return report.vm + '/' + report.incarnation;
}

std::uint64_t weight(const std::string &vm, std::uint64_t customer)
{
    return XXH3_64bits_withSeed(vm.data(), vm.size(), customer);
}

} // namespace

PermitGrantor::PermitGrantor(std::string vm, const QuotaSettings &settings)
    : m_vm(std::move(vm))
    , m_settings(settings)
{
}

void PermitGrantor::apply(const std::vector<Customer> &customers, TimePoint now)
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
        if (!isNew && account.limit == it.limit) {
            continue;
        }
        advance(account, now);
        const double burst = std::max(it.limit.burst, 0.0);
        const double tolerance = (it.limit.perSecond * toSeconds(m_settings.window) + burst) * m_settings.overrun + m_settings.slack;
        // Permits of a reply are used up to PermitLifetime later, and the bucket is refilled meanwhile.
        const double late = it.limit.perSecond * toSeconds(PermitLifetime);
        account.limit = it.limit;
        account.capacity = std::max(1.0, CapacityFraction * (burst + tolerance - late));
        account.level = std::min(account.level, account.capacity);
        account.advancedAt = now;
        updateRole(hash, account, now);
    }
    std::erase_if(m_accounts, [&limited](const auto &it) {
        return limited.count(it.first) == 0;
    });
}

void PermitGrantor::onMembers(const std::vector<std::string> &alive, TimePoint readAt, TimePoint now)
{
    if (m_readAt && readAt - *m_readAt > MemberListLifetime) {
        // Another proxy may have been the grantor meanwhile.
        for (auto &[hash, account] : m_accounts) {
            account.since.reset();
        }
    }
    m_readAt = readAt;
    m_candidates = alive;
    std::sort(m_candidates.begin(), m_candidates.end(), [](const auto &a, const auto &b) {
        return weight(a, 0) > weight(b, 0);
    });
    m_candidates.resize(std::min(m_candidates.size(), MaxGrantors));
    for (auto &[hash, account] : m_accounts) {
        updateRole(hash, account, now);
    }
}

void PermitGrantor::updateRole(std::uint64_t customer, Account &account, TimePoint now) const
{
    if (grantorOf(customer) != m_vm) {
        account.since.reset();
        account.uses.clear();
    } else if (!account.since) {
        // What was sent before isn't known exactly; the bucket fills while the former grantor stops.
        account.since = now;
        account.level = 0;
        account.reservedRate = 0;
        account.advancedAt = now;
    }
}

std::string PermitGrantor::grantorOf(std::uint64_t customer) const
{
    const auto best = std::max_element(m_candidates.begin(), m_candidates.end(), [customer](const auto &a, const auto &b) {
        return weight(a, customer) < weight(b, customer);
    });
    return best != m_candidates.end() ? *best : std::string();
}

bool PermitGrantor::isActive(const Account &account, TimePoint now) const
{
    return account.since && now - *account.since >= GrantorStartDelay && m_readAt && now - *m_readAt <= MemberListLifetime;
}

std::size_t PermitGrantor::activeCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_accounts.begin(), m_accounts.end(), [this, now](const auto &it) {
        return isActive(it.second, now);
    }));
}

void PermitGrantor::advance(Account &account, TimePoint now)
{
    if (now <= account.advancedAt) {
        return;
    }
    const double rate = account.limit.perSecond;
    const double heard = rate > 0 ? std::max(0.0, 1 - account.reservedRate / rate) : 0;
    // What proxies that aren't heard of send isn't known, so the bucket doesn't save up their part either.
    account.level = std::min(account.capacity * heard, account.level + rate * heard * toSeconds(now - account.advancedAt));
    account.advancedAt = now;
}

PermitGrantor::Use &PermitGrantor::merge(Account &account, const UsageReport &report, const CustomerUsage &usage, TimePoint now)
{
    const auto [found, isNew] = account.uses.try_emplace(processKey(report));
    auto &use = found->second;
    use.demand = static_cast<double>(usage.demandPerKs) / SecondsPerKs;
    use.heardAt = now;
    if (usage.sent > use.counted) {
        const auto added = static_cast<double>(usage.sent - use.counted);
        // The total of a process that is heard of late includes requests of long ago.
        const bool isLate = isNew && report.number > EarlyReports;
        account.level -= isLate ? std::min(added, std::ceil(use.demand * toSeconds(DemandTime))) : added;
        use.counted = usage.sent;
    }
    return use;
}

void PermitGrantor::onReports(const std::vector<UsageReport> &reports, TimePoint now)
{
    for (auto &[hash, account] : m_accounts) {
        advance(account, now);
    }
    std::map<std::string, std::uint64_t> numbers;
    for (const auto &it : reports) {
        const auto key = processKey(it);
        auto &last = numbers[key] = it.number;
        if (const auto known = m_reports.find(key); known != m_reports.end() && known->second >= it.number) {
            last = known->second;
            continue;
        }
        const auto prefix = it.vm + '/';
        for (auto &[hash, account] : m_accounts) {
            // A report omits quiet customers, and the former incarnations of its process have ended.
            for (auto use = account.uses.lower_bound(prefix); use != account.uses.end() && use->first.starts_with(prefix); ++use) {
                use->second.demand = 0;
                use->second.heardAt = use->first == key ? now : use->second.heardAt;
            }
        }
        for (const auto &usage : it.usage) {
            if (const auto account = m_accounts.find(usage.customer); account != m_accounts.end() && account->second.since) {
                merge(account->second, it, usage, now);
            }
        }
    }
    m_reports = std::move(numbers);
    for (auto &[hash, account] : m_accounts) {
        reserve(account, now);
    }
}

double PermitGrantor::capacityOf(std::uint64_t customer) const
{
    const auto found = m_accounts.find(customer);
    return found != m_accounts.end() ? found->second.capacity : 0;
}

void PermitGrantor::reserve(Account &account, TimePoint now) const
{
    // Reports of many proxies come less often.
    const auto silentTime
        = MissedReports * std::max<Duration>(MinReportInterval, ReportIntervalPerProxy * static_cast<std::int64_t>(m_reports.size()));
    std::erase_if(account.uses, [now](const auto &it) {
        return now - it.second.heardAt > UseLifetime;
    });
    account.reservedAt = now;
    double all = 0;
    double silent = 0;
    for (const auto &[key, use] : account.uses) {
        const auto silence = now - use.heardAt;
        if (silence <= LostProxyTime) {
            all += use.demand;
            silent += silence > silentTime ? use.demand : 0.0;
        }
    }
    account.reservedRate = silent > 0 ? account.limit.perSecond * silent / all : 0;
    const double heard = 1 - account.reservedRate / account.limit.perSecond;
    account.level = std::min(account.level, account.capacity * heard);
}

PermitAnswer PermitGrantor::grant(const PermitAsk &ask, TimePoint now)
{
    if (ask.report.usage.size() != 1) {
        return NotGrantor{};
    }
    const auto &usage = ask.report.usage.front();
    const auto found = m_accounts.find(usage.customer);
    const bool isOwn = ask.report.vm == m_vm;
    if (found == m_accounts.end() || !isActive(found->second, now) || (!isOwn && m_asks.perSecond(now) > MaxAsksPerSecond)) {
        return NotGrantor{};
    }
    if (!isOwn) {
        m_asks.record(now);
    }
    auto &account = found->second;
    advance(account, now);
    auto &use = merge(account, ask.report, usage, now);
    if (now - account.reservedAt > ReserveInterval) {
        reserve(account, now);
    }
    if (ask.number <= use.number) {
        return NotGrantor{};
    }
    use.number = ask.number;
    const auto total = usage.sent + ask.held;
    if (use.counted > total) {
        // Permits whose reply was lost, or that weren't used in time, are never used.
        account.level = std::min(account.capacity, account.level + static_cast<double>(use.counted - total));
    } else {
        account.level -= static_cast<double>(total - use.counted);
    }
    use.counted = total;
    if (ask.wanted == 0) {
        return PermitsGranted{0};
    }
    const double needed
        = 1 + (ask.isInProgress ? 0.0 : std::min(BurstReserve * std::max(account.limit.burst, 0.0), ReserveFraction * account.capacity));
    if (account.level < needed) {
        const double rate = std::max(account.limit.perSecond - account.reservedRate, account.limit.perSecond / SecondsPerKs);
        const auto wait = std::chrono::duration_cast<Duration>(Seconds((needed - account.level) / rate));
        return PermitsSpent{std::max<Duration>(wait, MinRetryDelay)};
    }
    // Several permits at once are for requests that may come; they must not take what other proxies need now.
    const double room = std::max(1.0, std::floor(account.level - BatchFraction * account.capacity));
    const auto count = std::clamp<std::uint64_t>(ask.wanted, 1, static_cast<std::uint64_t>(room));
    account.level -= static_cast<double>(count);
    use.counted += count;
    return PermitsGranted{count};
}

} // namespace Vanillahall::Forward
