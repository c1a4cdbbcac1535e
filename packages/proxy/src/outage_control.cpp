#include "outage_control.h"

#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"

#include "vanillahall/platform/wire_outage_func.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

constexpr Duration OwnerCallTimeout = std::chrono::milliseconds(300); ///< An owner answers from memory; leaves time for another attempt.
constexpr Duration OwnerReadInterval = std::chrono::seconds(10);      ///< 64 rows have about 12 KB, so reads take 1.2 KB per second.
constexpr Duration FirstReadInterval = std::chrono::seconds(1);       ///< The same while partitions have no owner.
constexpr Duration EarlyReadInterval
    = std::chrono::seconds(3); ///< The same in the early time, while partitions are handed over to proxies that start.
constexpr Duration EarlyTime = std::chrono::seconds(40);     ///< Time after the start in which that is likely.
constexpr Duration ReportInterval = std::chrono::seconds(1); ///< Interval between attempts to send a report.
constexpr std::size_t MaxReports = 20000;                    ///< Reports that wait for their confirmation at most; about 6 MB.
constexpr std::size_t MaxRepeatedReports = 50;               ///< Reports repeated at a time.
constexpr Duration CleanInterval = std::chrono::seconds(60); ///< Interval between searches for programs that have ended.

/** Name of an answer for logs and metrics. */
struct AnswerName
{
    const char *operator()(const OutageGranted &) const
    {
        return "granted";
    }
    const char *operator()(const OutageShareSpent &) const
    {
        return "spent";
    }
    const char *operator()(const OutageNotOwner &) const
    {
        return "not_owner";
    }
};

/** Status of the reply to a request for tokens. */
struct AnswerStatus
{
    unsigned operator()(const OutageGranted &) const
    {
        return StatusOk;
    }
    unsigned operator()(const OutageShareSpent &) const
    {
        return StatusConflict;
    }
    unsigned operator()(const OutageNotOwner &) const
    {
        return StatusNotFound;
    }
};

/** Reply to a request to close a share. */
struct CloseReply
{
    MessageReply operator()(const OutageClosed &it) const
    {
        return {StatusOk, "application/json", Platform::encodeClosedShare(it)};
    }
    MessageReply operator()(const OutageUnsettled &) const
    {
        return {StatusConflict, {}, {}};
    }
    MessageReply operator()(const OutageNotOwner &) const
    {
        return {StatusNotFound, {}, {}};
    }
};

/** @return Answer of an owner; nothing if it isn't known whether the tokens are granted. */
std::optional<OutageAnswer> toAnswer(const std::optional<StoreReply> &reply)
{
    if (!reply) {
        return std::nullopt;
    }
    switch (reply->status) {
    case StatusOk:
        return OutageGranted{};
    case StatusConflict:
        return OutageShareSpent{};
    case StatusNotFound:
        return OutageNotOwner{};
    default:
        return std::nullopt;
    }
}

} // namespace

OutageControl::OutageControl(ProxyState &proxy)
    : m_proxy(proxy)
    , m_owners(proxy.settings.name, proxy.settings.incarnation, proxy.settings.outageBudgetPercent)
    , m_share(proxy.settings.outageBudgetPercent)
{
}

bool OutageControl::isOn() const
{
    return m_proxy.settings.outageBudgetPercent != 0;
}

bool OutageControl::isStopped() const
{
    const bool isGivenUp = m_owners.ownedCount() == 0 || !m_proxy.isStoreReachable();
    // A report that is lost costs tokens only, so a stop doesn't wait for an owner that doesn't answer.
    const bool isReporting = std::any_of(m_reports.begin(), m_reports.end(), [present = now()](const auto &it) {
        return present - it.second.madeAt < 2 * ReportInterval;
    });
    return !isOn() || (isGivenUp && !isReporting);
}

std::string OutageControl::nextTurn()
{
    return m_proxy.settings.name + "/" + m_proxy.settings.incarnation + "/" + std::to_string(++m_turns);
}

void OutageControl::runPeriodicTasks()
{
    if (!isOn()) {
        return;
    }
    const auto present = now();
    m_startedAt = m_startedAt.value_or(present);
    repeatReports();
    if (present >= m_nextCleanAt) {
        m_nextCleanAt = present + CleanInterval;
        m_share.removeIdle(present);
    }
    if (!m_proxy.isStoreReachable()) {
        return;
    }
    if (present >= m_nextReadAt && !m_isReading) {
        readOwners();
    }
    writeOwners();
}

std::vector<BudgetOwnerRow> OutageControl::decodeOwners(const std::vector<Platform::StoreRow> &rows)
{
    std::vector<BudgetOwnerRow> list;
    for (const auto &it : rows) {
        Error ec;
        auto row = Platform::decodeBudgetOwner(it, ec);
        if (!row) {
            m_proxy.reportInvalidRow(ec, it.version);
            row = Platform::unreadableBudgetOwner(it);
        }
        if (row) {
            list.push_back(std::move(*row));
        }
    }
    return list;
}

void OutageControl::readOwners()
{
    m_isReading = true;
    const bool isEarly = m_startedAt && now() - *m_startedAt < EarlyTime;
    const auto usual = isEarly ? EarlyReadInterval : OwnerReadInterval;
    m_nextReadAt = now() + (m_owners.ownerlessCount() == 0 ? usual : FirstReadInterval);
    m_proxy.readAll(Platform::readBudgetOwnersCall, false, [this](const auto &rows) {
        m_isReading = false;
        if (!rows) {
            return;
        }
        m_owners.onRowsRead(decodeOwners(rows->rows), now());
    });
}

void OutageControl::writeOwners()
{
    // Other proxies couldn't ask one without an address. The first claims wait until proxies that start together know each other.
    const bool canOwn = m_proxy.settings.peerListen.has_value();
    if (!canOwn || !m_startedAt || now() - *m_startedAt < m_proxy.settings.budgetClaimDelay) {
        return;
    }
    auto live = m_proxy.members.alive(now());
    if (std::find(live.begin(), live.end(), m_proxy.settings.name) == live.end()) {
        live.push_back(m_proxy.settings.name);
    }
    const auto rows = m_owners.beginWrite(live, now());
    if (rows.empty()) {
        return;
    }
    m_proxy.store.call(Platform::writeBudgetOwnersCall(rows),
                       StoreTimeout,
                       false,
                       [this, weak = m_proxy.weak_from_this(), rows](const auto &reply, const Error &reason) {
                           if (const auto proxy = weak.lock()) {
                               onOwnersWritten(rows, reply, reason);
                           }
                       });
}

void OutageControl::onOwnersWritten(const std::vector<BudgetOwnerRow> &rows, const std::optional<StoreReply> &reply, const Error &reason)
{
    Error ec = reason;
    const auto answer = reply ? Platform::decodeTransaction(reply->status, reply->body, ec) : std::nullopt;
    const char *outcome = "failed";
    if (!answer) {
        m_proxy.onStoreFailure(ec.message);
        m_owners.onWriteFailed();
        // The next read shows whether it was executed.
        m_nextReadAt = {};
    } else if (const auto *done = std::get_if<Platform::TransactionDone>(&*answer)) {
        outcome = "written";
        m_owners.onWritten(done->version, now());
    } else {
        outcome = "changed_by_another";
        m_owners.onConflict(decodeOwners(std::get<Platform::TransactionRefused>(*answer).rows), now());
    }
    m_proxy.metrics.count("vanillahall_budget_owner_writes_total", {"outcome", outcome});
    if (!answer) {
        m_proxy.log(LogLevel::Warning,
                    EventNumber::OwnersChanged,
                    "rows=" + std::to_string(rows.size()) + " outcome=" + outcome + " why=\"" + ec.message + '"');
    }
    logOwned();
}

void OutageControl::logOwned()
{
    if (m_owners.ownedCount() == m_loggedOwned) {
        return;
    }
    m_loggedOwned = m_owners.ownedCount();
    m_proxy.log(LogLevel::Info,
                EventNumber::OwnersChanged,
                "owned=" + std::to_string(m_loggedOwned) + " ownerless=" + std::to_string(m_owners.ownerlessCount()));
}

void OutageControl::giveUpAll()
{
    if (isOn() && !std::exchange(m_isStopping, true)) {
        m_owners.giveUpAll();
    }
    runPeriodicTasks();
}

bool OutageControl::callOwner(const std::string &owner, std::string_view path, std::string body, const StoreCaller::Handler &handler)
{
    const auto *member = m_proxy.members.find(owner);
    if (member == nullptr) {
        return false;
    }
    m_proxy.store.callMember(*member, {"POST", std::string(path), std::move(body)}, OwnerCallTimeout, handler);
    return true;
}

OutageAnswer OutageControl::grant(const OutageGrantRequest &request)
{
    const auto answer = grantAsOwner(m_owners, m_share, request, now());
    m_proxy.metrics.count("vanillahall_outage_grants_total", {"outcome", std::visit(AnswerName(), answer)});
    return answer;
}

bool OutageControl::requestGrant(const OutageGrantRequest &request, GrantHandler handler)
{
    const auto owner = m_owners.owner(budgetPartition(request.program));
    if (owner.empty()) {
        return false;
    }
    const auto done = [proxy = &m_proxy, owner, request, handler = std::move(handler)](const std::optional<OutageAnswer> &answer,
                                                                                       const std::string &why) {
        proxy->log(LogLevel::Info,
                   EventNumber::OutageTokens,
                   "program=" + proxy->clientId(request.program) + " turn=" + request.turn + " owner=" + owner
                       + " most=" + std::to_string(request.maxTokens)
                       + " outcome=" + (answer ? std::visit(AnswerName(), *answer) : "unanswered why=\"" + why + '"'));
        handler(owner, answer);
    };
    if (owner == m_proxy.settings.name) {
        done(grant(request), {});
        return true;
    }
    const auto answered = [weak = m_proxy.weak_from_this(), askedAt = now(), done](const auto &reply, const Error &reason) {
        if (const auto proxy = weak.lock()) {
            // A reply that is handled late, after this process was frozen, may be older than the lease of its owner.
            done(now() - askedAt < 2 * OwnerCallTimeout ? toAnswer(reply) : std::nullopt, reason.message);
        }
    };
    return callOwner(owner, OutageGrantPath, Platform::encodeOutageGrant(request, m_proxy.settings.outageBudgetPercent), answered);
}

void OutageControl::report(const std::string &owner, const OutageReport &report)
{
    if (owner == m_proxy.settings.name) {
        m_share.report(report, now());
        return;
    }
    if (m_reports.size() >= MaxReports) {
        // The tokens count as used at their owner.
        m_proxy.metrics.count("vanillahall_outage_reports_total", {"outcome", "left_out"});
        m_proxy.log(LogLevel::Warning, EventNumber::OutageTokens, "turn=" + report.turn + " owner=" + owner + " outcome=report_left_out");
        return;
    }
    auto &pending = m_reports[report.turn];
    pending = {owner, report, now(), {}};
    sendReport(pending);
}

void OutageControl::sendReport(PendingReport &pending)
{
    pending.sentAt = now();
    const auto turn = pending.report.turn;
    callOwner(pending.owner,
              OutageReportPath,
              Platform::encodeOutageReport(pending.report),
              [this, weak = m_proxy.weak_from_this(), turn](const auto &reply, const Error &) {
                  const auto proxy = weak.lock();
                  if (proxy && reply && reply->status < StatusSuccessEnd) {
                      m_reports.erase(turn);
                      m_proxy.metrics.count("vanillahall_outage_reports_total", {"outcome", "confirmed"});
                  }
              });
}

void OutageControl::repeatReports()
{
    const auto present = now();
    std::size_t sent = 0;
    for (auto it = m_reports.begin(); it != m_reports.end();) {
        auto &pending = it->second;
        if (present - pending.madeAt >= OutageProgramMinLifetime || (m_isStopping && m_proxy.members.find(pending.owner) == nullptr)) {
            m_proxy.metrics.count("vanillahall_outage_reports_total", {"outcome", "expired"});
            m_proxy.log(
                LogLevel::Warning, EventNumber::OutageTokens, "turn=" + it->first + " owner=" + pending.owner + " outcome=report_expired");
            it = m_reports.erase(it);
            continue;
        }
        if (present - pending.sentAt >= ReportInterval && sent < MaxRepeatedReports) {
            sent++;
            sendReport(pending);
        }
        ++it;
    }
}

void OutageControl::close(const std::string &program, CloseHandler handler)
{
    const auto owner = m_owners.owner(budgetPartition(program));
    const auto done = [proxy = &m_proxy, program, owner, handler = std::move(handler)](std::optional<std::uint64_t> tokens) {
        proxy->metrics.count("vanillahall_outage_closings_total", {"outcome", tokens ? "closed" : "failed"});
        proxy->log(LogLevel::Info,
                   EventNumber::OutageTokens,
                   "program=" + proxy->clientId(program) + " owner=" + owner
                       + " outcome=" + (tokens ? "closed tokens=" + std::to_string(*tokens) : std::string("not_closed")));
        handler(tokens);
    };
    if (owner == m_proxy.settings.name) {
        const auto answer = closeAsOwner(m_owners, m_share, program, now());
        const auto *closed = std::get_if<OutageClosed>(&answer);
        done(closed != nullptr ? std::optional(closed->tokens) : std::nullopt);
        return;
    }
    const auto answered = [weak = m_proxy.weak_from_this(), askedAt = now(), done](const auto &reply, const Error &) {
        if (const auto proxy = weak.lock()) {
            const bool isInTime = now() - askedAt < 2 * OwnerCallTimeout;
            const auto closed = isInTime && reply && reply->status == StatusOk ? Platform::decodeClosedShare(reply->body) : std::nullopt;
            done(closed ? std::optional(closed->tokens) : std::nullopt);
        }
    };
    if (!callOwner(owner, ShareClosePath, Platform::encodeShareQuery(program, m_proxy.settings.outageBudgetPercent), answered)) {
        done(std::nullopt);
    }
}

std::optional<std::vector<SoftwareVersion>> OutageControl::ownVersions(const std::string &program)
{
    return m_share.streamVersions(program, m_owners.right(budgetPartition(program), now()));
}

void OutageControl::findVersions(const std::string &program, const VersionsHandler &handler)
{
    const auto owner = m_owners.owner(budgetPartition(program));
    if (owner == m_proxy.settings.name) {
        handler(ownVersions(program));
        return;
    }
    const auto answered = [weak = m_proxy.weak_from_this(), handler](const auto &reply, const Error &) {
        if (const auto proxy = weak.lock()) {
            handler(reply && reply->status == StatusOk ? Platform::decodeShareVersions(reply->body) : std::nullopt);
        }
    };
    if (!callOwner(owner, ShareVersionsPath, Platform::encodeShareQuery(program, m_proxy.settings.outageBudgetPercent), answered)) {
        handler(std::nullopt);
    }
}

bool OutageControl::answerPeer(const MessageRequest &request, const MessageServer::Reply &answer)
{
    if (!isOn() || request.method != "POST") {
        return false;
    }
    const auto percent = m_proxy.settings.outageBudgetPercent;
    if (request.target == OutageGrantPath) {
        const auto wanted = Platform::decodeOutageGrant(request.body, percent);
        answer({wanted ? std::visit(AnswerStatus(), grant(*wanted)) : StatusNotFound, {}, {}});
        return true;
    }
    if (request.target == OutageReportPath) {
        const auto report = Platform::decodeOutageReport(request.body);
        if (report) {
            m_share.report(*report, now());
        }
        answer({report ? StatusNoContent : StatusBadRequest, {}, {}});
        return true;
    }
    if (request.target == ShareClosePath) {
        const auto program = Platform::decodeShareQuery(request.body, percent);
        answer(program ? std::visit(CloseReply(), closeAsOwner(m_owners, m_share, *program, now())) : MessageReply{StatusNotFound, {}, {}});
        return true;
    }
    if (request.target == ShareVersionsPath) {
        const auto program = Platform::decodeShareQuery(request.body, percent);
        const auto versions = program ? ownVersions(*program) : std::nullopt;
        answer(versions ? MessageReply{StatusOk, "application/json", Platform::encodeShareVersions(*versions)}
                        : MessageReply{StatusNotFound, {}, {}});
        return true;
    }
    return false;
}

void OutageControl::setGauges()
{
    if (!isOn()) {
        return;
    }
    m_proxy.metrics.gauge("vanillahall_budget_partitions_owned", static_cast<double>(m_owners.ownedCount()));
    m_proxy.metrics.gauge("vanillahall_budget_partitions_ownerless", static_cast<double>(m_owners.ownerlessCount()));
    m_proxy.metrics.gauge("vanillahall_outage_programs", static_cast<double>(m_share.size()));
    m_proxy.metrics.gauge("vanillahall_outage_reports_waiting", static_cast<double>(m_reports.size()));
}

} // namespace Vanillahall::Forward
