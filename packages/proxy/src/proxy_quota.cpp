#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"
#include "timer_func.h"

#include "vanillahall/platform/wire_quota_func.h"

#include <utility>

namespace Vanillahall::Forward {

namespace {

constexpr Duration QuotaLogInterval = std::chrono::seconds(10); ///< Interval between log lines of one kind about one customer.
constexpr std::size_t MaxQuotaLogEntries = 4096; ///< Kinds of lines and customers whose last line is remembered, about 100 bytes each.

/** @return Hash of a customer's name for logs and metrics, which mustn't contain the name. */
std::string customerLabel(const std::string &customer)
{
    const auto prefix = ownerPrefix(customer);
    return prefix.substr(0, prefix.find('.'));
}

} // namespace

void ProxyState::applyLimits()
{
    quotas.apply(routes.config().customers, now());
    grantor.apply(routes.config().customers, now());
    if (quotas.size() != 0 && !std::exchange(m_isExchangingUsage, true)) {
        exchangeUsage();
    }
}

void ProxyState::exchangeUsage()
{
    const auto startedAt = now();
    runAfter(m_usageTimer, quotas.reportInterval(), *this, [](ProxyState &self) {
        self.exchangeUsage();
    });
    if (quotas.size() == 0) {
        return;
    }
    for (const auto &call : permits.keepAlive(startedAt)) {
        askGrantor({}, call);
    }
    const auto write = Platform::writeUsageCall(quotas.report(startedAt));
    store.call(write, StoreTimeout, false, [weak = weak_from_this(), startedAt](const auto &reply, const Error &reason) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const bool isDone = reply && reply->status == StatusOk;
        if (isDone) {
            self->quotas.onReportWritten(startedAt);
        } else {
            self->onStoreFailure(reply ? "status " + std::to_string(reply->status) : reason.message);
        }
        self->metrics.count("vanillahall_quota_calls_total", {"outcome", isDone ? "written" : "failed"});
    });
    readAll(Platform::readUsageCall, false, [this, startedAt](const auto &rows) {
        onUsageRead(rows, startedAt);
    });
}

void ProxyState::onUsageRead(const std::optional<Platform::StoreRows> &rows, TimePoint readAt)
{
    metrics.count("vanillahall_quota_calls_total", {"outcome", rows ? "read" : "read_failed"});
    if (!rows) {
        return;
    }
    std::vector<UsageReport> reports;
    for (const auto &it : rows->rows) {
        Error ec;
        if (auto report = Platform::decodeUsage(it, ec)) {
            reports.push_back(std::move(*report));
        } else {
            reportInvalidRow(ec, it.version);
        }
    }
    quotas.onReports(reports, readAt, now());
    grantor.onReports(reports, now());
    permits.removeIdle(now());
    for (const auto &[customer, waiters] : std::exchange(m_permitWaiters, {})) {
        for (const auto &it : waiters) {
            if (const auto exchange = it.lock()) {
                exchange->onPermitUpdate();
            }
        }
    }
}

void ProxyState::addQuotaWaiter(const std::string &customer, const std::shared_ptr<Exchange> &exchange)
{
    addWaiter(m_permitWaiters[customer], exchange);
}

void ProxyState::recordQuotaRefusal(const std::string &customer, Duration retryAfter)
{
    metrics.count("vanillahall_quota_refusals_total", {"customer", customerLabel(customer)});
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter).count();
    logQuota(LogLevel::Info, EventNumber::PermitRefused, customer, "retry_after_ms=" + std::to_string(ms));
}

void ProxyState::logQuota(LogLevel level, EventNumber event, const std::string &customer, const std::string &fields)
{
    if (m_quotaLog.size() >= MaxQuotaLogEntries) {
        m_quotaLog.clear();
    }
    auto &entry = m_quotaLog[{event, customer}];
    if (entry.loggedAt && now() - *entry.loggedAt < QuotaLogInterval) {
        entry.omitted++;
        return;
    }
    log(level, event, "customer=" + customerLabel(customer) + ' ' + fields + " omitted=" + std::to_string(entry.omitted));
    entry = {now(), 0};
}

void ProxyState::setQuotaGauges()
{
    metrics.gauge("vanillahall_quota_customers", static_cast<double>(quotas.size()));
    metrics.gauge("vanillahall_permit_customers", static_cast<double>(grantor.activeCount(now())));
    metrics.gauge("vanillahall_quota_in_touch", quotas.isInTouch(now()) ? 1 : 0);
    metrics.gauge("vanillahall_programs_in_progress", static_cast<double>(programs.size()));
}

} // namespace Vanillahall::Forward
