#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"

#include "vanillahall/platform/wire_quota_func.h"

#include <cmath>

namespace Vanillahall::Forward {

namespace {

constexpr Duration QuotaLogInterval = std::chrono::seconds(10); ///< Interval between log lines of one kind about one customer.
constexpr std::size_t MaxQuotaLogEntries = 4096; ///< Kinds of lines and customers whose last line is remembered, about 100 bytes each.
constexpr double LoggedShareChange = 0.1;        ///< Changes of a share by less than this aren't logged.

/** @return Hash of a customer's name for logs and metrics, which mustn't contain the name. */
std::string customerLabel(const std::string &customer)
{
    const auto prefix = ownerPrefix(customer);
    return prefix.substr(0, prefix.find('.'));
}

} // namespace

QuotaAnswer ProxyState::requestPermit(const QuotaRequest &request)
{
    const auto storeMs = m_storeClock.storeMs(now());
    if (!storeMs) {
        return QuotaBusy{};
    }
    auto answer = quotas.request(request, now(), *storeMs);
    const auto *granted = std::get_if<QuotaGranted>(&answer);
    const auto *write = std::get_if<QuotaNeedsWrite>(&answer);
    const bool needsRead = std::holds_alternative<QuotaNeedsRead>(answer);
    const bool needsWrite = write != nullptr || (granted != nullptr && granted->renewal);
    if (granted != nullptr) {
        metrics.count("vanillahall_quota_requests_total", {"outcome", "granted"});
    }
    if ((needsRead || needsWrite) && !isStoreReachable()) {
        quotas.onWriteFailed(request.customer, now());
    } else if (needsRead) {
        readQuota(request.customer);
    } else if (needsWrite) {
        writeQuota(write != nullptr ? write->write : *granted->renewal);
    }
    return answer;
}

void ProxyState::writeQuota(const QuotaWrite &write)
{
    const auto share = quotas.share(write.customer, now());
    store.call(Platform::writeQuotaRowCall(write),
               StoreTimeout,
               false,
               [weak = weak_from_this(), customer = write.customer, share](const auto &reply, const Error &reason) {
                   if (const auto self = weak.lock()) {
                       self->onQuotaWritten(customer, share, reply, reason);
                   }
               });
}

void ProxyState::onQuotaWritten(const std::string &customer, double oldShare, const std::optional<StoreReply> &reply, const Error &reason)
{
    Error ec = reason;
    const auto answer = reply ? Platform::decodeTransaction(reply->status, reply->body, ec) : std::nullopt;
    const char *outcome = "failed";
    if (!answer) {
        onStoreFailure(ec.message);
        quotas.onWriteFailed(customer, now());
    } else if (const auto *done = std::get_if<Platform::TransactionDone>(&*answer)) {
        onStoreReachable();
        quotas.onWritten(customer, done->version, now());
        outcome = "written";
    } else {
        onStoreReachable();
        quotas.onConflict(customer, quotaRow(customer, std::get<Platform::TransactionRefused>(*answer).rows), now());
        outcome = "changed_by_another";
    }
    metrics.count("vanillahall_quota_calls_total", {"outcome", outcome});
    const auto share = quotas.share(customer, now());
    if (std::abs(share - oldShare) >= LoggedShareChange) {
        logQuota(LogLevel::Info, EventNumber::QuotaShareChanged, customer, "share=" + std::to_string(share));
    }
    notifyQuotaWaiters(customer);
}

void ProxyState::readQuota(const std::string &customer)
{
    store.call(Platform::readQuotaRowCall(customer),
               StoreTimeout,
               false,
               [weak = weak_from_this(), customer](const auto &reply, const Error &reason) {
                   if (const auto self = weak.lock()) {
                       self->onQuotaRead(customer, reply, reason);
                   }
               });
}

void ProxyState::onQuotaRead(const std::string &customer, const std::optional<StoreReply> &reply, const Error &reason)
{
    Error ec = reason;
    const auto rows = reply && reply->status == StatusOk ? Platform::decodeRows(reply->body, ec) : std::nullopt;
    if (rows) {
        onStoreReply(rows->nowMs);
        quotas.onRowRead(customer, quotaRow(customer, rows->rows), now());
    } else {
        onStoreFailure(reply && reply->status != StatusOk ? "status " + std::to_string(reply->status) : ec.message);
        quotas.onRowRead(customer, std::nullopt, now());
    }
    metrics.count("vanillahall_quota_calls_total", {"outcome", rows ? "read" : "read_failed"});
    notifyQuotaWaiters(customer);
}

QuotaRow ProxyState::quotaRow(const std::string &customer, const std::vector<Platform::StoreRow> &rows)
{
    for (const auto &it : rows) {
        if (it.key != customer) {
            continue;
        }
        Error ec;
        if (auto row = Platform::decodeQuotaRow(it, ec)) {
            return std::move(*row);
        }
        logQuota(LogLevel::Warning,
                 EventNumber::QuotaRowUnreadable,
                 customer,
                 "version=" + std::to_string(it.version) + " why=\"" + ec.message + '"');
        QuotaRow row;
        row.version = it.version;
        row.isUnreadable = true;
        return row;
    }
    return {};
}

void ProxyState::addQuotaWaiter(const std::string &customer, const std::shared_ptr<Exchange> &exchange)
{
    m_quotaWaiters[customer].push_back(exchange);
}

void ProxyState::notifyQuotaWaiters(const std::string &customer)
{
    const auto it = m_quotaWaiters.find(customer);
    if (it == m_quotaWaiters.end()) {
        return;
    }
    const auto waiters = std::move(it->second);
    m_quotaWaiters.erase(it);
    for (const auto &waiter : waiters) {
        if (const auto exchange = waiter.lock()) {
            exchange->onPermitUpdate();
        }
    }
}

void ProxyState::recordQuotaRefusal(const std::string &customer, Duration retryAfter)
{
    metrics.count("vanillahall_quota_requests_total", {"outcome", "refused"});
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
    metrics.gauge("vanillahall_quota_shares", static_cast<double>(quotas.shareCount(now())));
    metrics.gauge("vanillahall_programs_in_progress", static_cast<double>(programs.size()));
}

} // namespace Vanillahall::Forward
