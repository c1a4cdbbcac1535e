#include "outage_control.h"

#include "http_status.h"
#include "proxy_clock.h"
#include "proxy_state.h"

#include "vanillahall/platform/wire_outage_func.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

constexpr Duration OwnerReadInterval = std::chrono::seconds(10); ///< 64 rows have about 12 KB, so reads take 1.2 KB per second.
constexpr Duration FirstReadInterval = std::chrono::seconds(1);  ///< The same while partitions have no owner.
constexpr Duration EarlyReadInterval
    = std::chrono::seconds(3); ///< The same in the early time, while partitions are handed over to proxies that start.
constexpr Duration EarlyTime = std::chrono::seconds(40);      ///< Time after the start in which that is likely.
constexpr Duration ReportInterval = std::chrono::seconds(1);  ///< Interval between attempts to send a report.
constexpr std::size_t MaxReports = 20000;                     ///< Reports that wait for their confirmation at most; about 6 MB.
constexpr std::size_t MaxRepeatedReports = 50;                ///< Reports repeated at a time.
constexpr Duration InquiryInterval = std::chrono::seconds(1); ///< Interval between attempts to ask a proxy for the grants that it knows.
constexpr Duration GreetingTime = std::chrono::seconds(10);   ///< Time after the start in which owners are told of it.
constexpr Duration GreetingInterval = std::chrono::milliseconds(300); ///< Interval between attempts to tell them.
constexpr Duration GreetedInterval = std::chrono::seconds(1);         ///< Many proxies that start together cause one renewal in this time.
constexpr unsigned WitnessAttempts = 2;                               ///< Proxies that are asked at most to witness a grant.
constexpr Duration CleanInterval = std::chrono::seconds(60);          ///< Interval between searches for programs that have ended.

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
        m_obtained.removeExpired(present);
    }
    continueInquiries();
    if (present < *m_startedAt + GreetingTime && present >= m_nextGreetingAt) {
        greetOwners();
    }
    if (!m_proxy.isStoreReachable()) {
        return;
    }
    if (present >= m_nextReadAt && !m_isReading) {
        readOwners();
    }
    handleClaims();
    renewForGreetings();
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

void OutageControl::readSoon()
{
    m_nextReadAt = std::min(m_nextReadAt, m_readAt + FirstReadInterval);
}

void OutageControl::readOwners()
{
    m_isReading = true;
    m_readAt = now();
    const bool isEarly = m_startedAt && now() - *m_startedAt < EarlyTime;
    const auto usual = isEarly ? EarlyReadInterval : OwnerReadInterval;
    m_nextReadAt = now() + (m_owners.ownerlessCount() == 0 ? usual : FirstReadInterval);
    m_proxy.readAll(Platform::readBudgetOwnersCall, false, [this](const auto &rows) {
        m_isReading = false;
        if (!rows) {
            return;
        }
        m_obtained.recordVersion(rows->version);
        m_owners.onRowsRead(decodeOwners(rows->rows), now());
        handleClaims();
    });
}

void OutageControl::writeOwners()
{
    // Other proxies couldn't ask one without an address.
    if (!m_proxy.settings.peerListen || !m_startedAt) {
        return;
    }
    auto live = m_proxy.members.alive(now());
    std::erase(live, m_proxy.settings.name);
    // The first claims wait until proxies that start together know each other. Partitions of the former process of this VM are claimed at
    // once, since the proxies that know its grants may be restarted next.
    if (now() - *m_startedAt >= m_proxy.settings.budgetClaimDelay) {
        live.push_back(m_proxy.settings.name);
    }
    const auto rows = m_owners.beginWrite(live, m_share, now());
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
    bool isDone = false;
    if (!answer) {
        m_proxy.onStoreFailure(ec.message);
        m_owners.onWriteFailed();
        // The next read shows whether it was executed.
        m_nextReadAt = {};
    } else if (const auto *done = std::get_if<Platform::TransactionDone>(&*answer)) {
        outcome = "written";
        m_owners.onWritten(done->version, now());
        isDone = true;
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
    handleClaims();
    logOwned();
    if (isDone && m_owners.hasUrgentRenewals()) {
        writeOwners();
    }
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

void OutageControl::greetOwners()
{
    const auto names = m_owners.owners();
    for (const auto &it : names) {
        if (it == m_proxy.settings.name || m_greeted.contains(it)) {
            continue;
        }
        m_nextGreetingAt = now() + GreetingInterval;
        callOwner(it, OwnerHelloPath, m_proxy.settings.name, [this, weak = m_proxy.weak_from_this(), it](const auto &reply, const Error &) {
            const auto proxy = weak.lock();
            if (proxy && reply && reply->status == StatusNoContent) {
                m_greeted.insert(it);
            }
        });
    }
}

void OutageControl::handleGreeting(const std::string &name)
{
    m_isGreeted = true;
    renewForGreetings();
    // It may be needed as a witness.
    if (m_proxy.members.find(name) == nullptr && now() >= m_nextMemberReadAt) {
        m_nextMemberReadAt = now() + GreetedInterval;
        m_proxy.readMembers();
    }
}

void OutageControl::renewForGreetings()
{
    if (!m_isGreeted || now() < m_nextGreetedRenewalAt) {
        return;
    }
    m_isGreeted = false;
    m_nextGreetedRenewalAt = now() + GreetedInterval;
    m_owners.renewSoon();
    writeOwners();
}

void OutageControl::handleClaims()
{
    for (auto &it : m_owners.takeClaims()) {
        const bool isAdopted = m_share.adopt(it.formerLedger.turns, now());
        if (isAdopted && it.areGrantsKnown) {
            m_owners.recordGrantsKnown(it);
        } else if (isAdopted && it.formerLedger.isComplete && it.formerLedger.hasWitnesses) {
            m_lost.push_back(std::move(it));
        }
    }
    if (m_lost.empty() || m_isReadingMembers) {
        return;
    }
    m_isReadingMembers = true;
    // A proxy whose row isn't in this read has obtained no grant before the claim.
    m_proxy.readAll(
        [region = m_proxy.settings.region](const std::string &after) {
            return Platform::readMembersCall(region, after);
        },
        false,
        [this, lost = std::exchange(m_lost, {})](const auto &rows) {
            m_isReadingMembers = false;
            if (!rows) {
                m_lost.insert(m_lost.end(), lost.begin(), lost.end());
                return;
            }
            std::vector<std::string> members;
            for (const auto &it : rows->rows) {
                members.push_back(it.key);
            }
            startInquiries(lost, members);
        });
}

void OutageControl::startInquiries(std::vector<ClaimedPartition> claims, const std::vector<std::string> &members)
{
    std::map<std::string, std::vector<ClaimedPartition>> byOwner;
    for (auto &it : claims) {
        byOwner[it.formerOwner].push_back(std::move(it));
    }
    for (auto &[owner, list] : byOwner) {
        auto asked = members;
        asked.push_back(m_proxy.settings.name);
        // Other proxies have witnessed what the former owner granted itself.
        std::erase(asked, owner);
        m_inquiries.push_back(
            std::make_shared<OpenInquiry>(OpenInquiry{GrantInquiry(std::move(list), asked), {}, now() + OutageShareQuarantine}));
    }
    continueInquiries();
}

void OutageControl::continueInquiries()
{
    const auto present = now();
    for (const auto &it : m_inquiries) {
        if (present < it->nextRoundAt) {
            continue;
        }
        it->nextRoundAt = present + InquiryInterval;
        const auto waiting = it->inquiry.waiting();
        for (const auto &member : waiting) {
            ask(it, member);
        }
    }
    std::erase_if(m_inquiries, [present](const auto &it) {
        return it->inquiry.waiting().empty() || present >= it->endsAt;
    });
}

void OutageControl::ask(const std::shared_ptr<OpenInquiry> &open, const std::string &member)
{
    if (member == m_proxy.settings.name) {
        if (const auto testimony = m_obtained.testify(open->inquiry.partitions(), now())) {
            applyTestimony(*open, member, *testimony);
        }
        return;
    }
    callOwner(member,
              GrantInquiryPath,
              Platform::encodeGrantsQuery(open->inquiry.partitions()),
              [this, weak = m_proxy.weak_from_this(), open, member](const auto &reply, const Error &) {
                  const auto proxy = weak.lock();
                  const auto testimony
                      = proxy && reply && reply->status == StatusOk ? Platform::decodeTestimony(reply->body) : std::nullopt;
                  if (testimony) {
                      applyTestimony(*open, member, *testimony);
                  }
              });
}

void OutageControl::applyTestimony(OpenInquiry &open, const std::string &member, const GrantTestimony &testimony)
{
    if (!open.inquiry.waiting().contains(member) || !m_share.adopt(testimony.turns, now())) {
        return;
    }
    open.inquiry.onTestimony(member, testimony.since);
    if (!open.inquiry.waiting().empty()) {
        return;
    }
    const auto settled = open.inquiry.settled();
    for (const auto &it : settled) {
        m_owners.recordGrantsKnown(it);
    }
    writeOwners();
    m_proxy.log(LogLevel::Info,
                EventNumber::OwnersChanged,
                "inquired=" + std::to_string(open.inquiry.partitions().size()) + " settled=" + std::to_string(settled.size()));
}

void OutageControl::findWitness(const OutageGrantRequest &request, unsigned attempts, const std::function<void(bool isKnown)> &known)
{
    const auto partition = budgetPartition(request.program);
    if (!m_owners.needsWitness(partition)) {
        known(true);
        return;
    }
    const auto *member = attempts == 0 ? nullptr : m_proxy.members.pick(m_nextWitness++, now());
    if (member == nullptr) {
        known(false);
        return;
    }
    const auto answered = [this, weak = m_proxy.weak_from_this(), request, attempts, known, partition](const auto &reply, const Error &) {
        const auto proxy = weak.lock();
        if (!proxy) {
            return;
        }
        if (!reply || reply->status != StatusNoContent) {
            findWitness(request, attempts - 1, known);
            return;
        }
        known(m_owners.right(partition, now()) == OwnerRight::Full);
    };
    const auto body = Platform::encodeOutageGrant(request, m_proxy.settings.outageBudgetPercent);
    m_proxy.store.callMember(*member, {"POST", std::string(GrantWitnessPath), body}, OwnerCallTimeout, answered);
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
    // The successor of the owner asks the proxies that the store lists for the grants that they have obtained.
    const bool isListed = m_proxy.members.find(m_proxy.settings.name) != nullptr;
    if (owner.empty() || !isListed) {
        return false;
    }
    const auto askedAt = now();
    const auto done = [this, proxy = &m_proxy, owner, request, askedAt, handler = std::move(handler)](std::optional<OutageAnswer> answer,
                                                                                                      const std::string &why) {
        if (m_obtained.isFenced(budgetPartition(request.program), askedAt)) {
            answer.reset();
        }
        if (answer && std::holds_alternative<OutageGranted>(*answer) && owner != proxy->settings.name) {
            m_obtained.add(request, now());
        }
        proxy->log(LogLevel::Info,
                   EventNumber::OutageTokens,
                   "program=" + proxy->clientId(request.program) + " turn=" + request.turn + " owner=" + owner
                       + " most=" + std::to_string(request.maxTokens)
                       + " outcome=" + (answer ? std::visit(AnswerName(), *answer) : "unanswered why=\"" + why + '"'));
        handler(owner, answer);
    };
    if (owner == m_proxy.settings.name) {
        const auto answer = grant(request);
        if (!std::holds_alternative<OutageGranted>(answer)) {
            done(answer, {});
            return true;
        }
        findWitness(request, WitnessAttempts, [done, answer, askedAt](bool isKnown) {
            const bool isInTime = now() - askedAt < 2 * OwnerCallTimeout;
            done(isKnown && isInTime ? std::optional(answer) : std::nullopt, "no witness");
        });
        return true;
    }
    const auto answered = [weak = m_proxy.weak_from_this(), askedAt, done](const auto &reply, const Error &reason) {
        if (const auto proxy = weak.lock()) {
            // A reply that is handled late, after this process was frozen, may be older than the lease of its owner.
            done(now() - askedAt < 2 * OwnerCallTimeout ? toAnswer(reply) : std::nullopt, reason.message);
        }
    };
    return callOwner(owner, OutageGrantPath, Platform::encodeOutageGrant(request, m_proxy.settings.outageBudgetPercent), answered);
}

void OutageControl::report(const std::string &owner, const OutageReport &report)
{
    m_obtained.report(report);
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
    // A successor has adopted the grants of the proxy that made them.
    const auto successor = m_owners.owner(budgetPartition(pending.report.program));
    callOwner(successor.empty() ? pending.owner : successor,
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
    const auto done = [this, proxy = &m_proxy, program, owner, handler = std::move(handler)](std::optional<std::uint64_t> tokens) {
        proxy->metrics.count("vanillahall_outage_closings_total", {"outcome", tokens ? "closed" : "failed"});
        proxy->log(LogLevel::Info,
                   EventNumber::OutageTokens,
                   "program=" + proxy->clientId(program) + " owner=" + owner
                       + " outcome=" + (tokens ? "closed tokens=" + std::to_string(*tokens) : std::string("not_closed")));
        if (!tokens) {
            readSoon();
        }
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
    if (request.target == GrantWitnessPath) {
        const auto granted = Platform::decodeOutageGrant(request.body, percent);
        if (granted) {
            m_obtained.add(*granted, now());
        }
        answer({granted ? StatusNoContent : StatusBadRequest, {}, {}});
        return true;
    }
    if (request.target == GrantInquiryPath) {
        const auto partitions = Platform::decodeGrantsQuery(request.body);
        const auto testimony = partitions ? m_obtained.testify(*partitions, now()) : std::nullopt;
        answer(testimony ? MessageReply{StatusOk, "application/json", Platform::encodeTestimony(*testimony)}
                         : MessageReply{StatusUnavailable, {}, {}});
        return true;
    }
    if (request.target == OwnerHelloPath) {
        handleGreeting(request.body);
        answer({StatusNoContent, {}, {}});
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
