#include "store_router.h"

#include "http_status.h"
#include "proxy_clock.h"
#include "timer_func.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

constexpr std::size_t MaxMemberCallers = 16; ///< Limit on other proxies with open connections, above which idle ones are closed.
constexpr int HedgingDelayFactor = 4;        ///< Multiple of the average reply time after which a reply is assumed to be lost.
constexpr Duration MinHedgingDelay = std::chrono::milliseconds(60);  ///< Several times the slowest reply of a healthy store.
constexpr Duration MaxHedgingDelay = std::chrono::milliseconds(400); ///< Leaves time for another attempt within StoreTimeout.
constexpr Duration WatchGrace = std::chrono::milliseconds(
    600); ///< Added to the wait of a watch call: enough for a store 100 times slower than usual; a dead connection is detected within 2 s.
constexpr Duration BusyPeriod
    = std::chrono::seconds(2); ///< The store counts as busy for this time after a 429, since bursts last for seconds.
constexpr Duration MembersBusyPeriod = std::chrono::milliseconds(
    1000); ///< For this time after a 429 through another proxy the limit counts as exceeded for all VMs; other routes would only add load.
constexpr int AverageWeight = 4; ///< A new reply time counts for a quarter of the moving average.

/** @return True if the store has executed or refused the call, such that another route wouldn't change the reply. */
bool isFinalReply(const std::optional<StoreReply> &reply)
{
    return reply && reply->status < StatusServerError && reply->status != StatusTooManyRequests;
}

} // namespace

/** A call and its attempts. */
struct StoreRouter::PendingCall : std::enable_shared_from_this<PendingCall>
{
    PendingCall(boost::asio::io_context &loop, Platform::StoreRequest wanted, TimePoint callDeadline, StoreCaller::Handler resultHandler)
        : timer(loop)
        , request(std::move(wanted))
        , deadline(callDeadline)
        , handler(std::move(resultHandler))
    {
    }

    boost::asio::steady_timer timer; ///< Starts the next attempt after the hedging delay.
    Platform::StoreRequest request;  ///< The call.
    TimePoint deadline;              ///< Deadline of all attempts.
    StoreCaller::Handler handler;    ///< Receives the result; null once called.
    std::optional<StoreReply> reply; ///< Reply to the first failed attempt.
    Error reason;                    ///< Error of the first failed attempt.
    unsigned attempts = 0;           ///< Number of attempts started.
    unsigned openAttempts = 0;       ///< Number of attempts in progress.
    bool isDirectRouteNext = true;   ///< True if the next attempt uses the direct route.
};

StoreRouter::StoreRouter(boost::asio::io_context &loop, const ProxyAddress &store, ProxyMembership &members)
    : m_loop(loop)
    , m_direct(loop, store)
    , m_members(members)
{
}

bool StoreRouter::isBusy() const
{
    return now() - m_busyAt < BusyPeriod;
}

bool StoreRouter::isDirectRouteDown() const
{
    return m_isDirectRouteDown;
}

void StoreRouter::setStore(const ProxyAddress &store)
{
    m_direct.setStore(store);
}

void StoreRouter::callDirect(const Platform::StoreRequest &request, Duration limit, const StoreCaller::Handler &handler)
{
    m_direct.call(
        request, limit, [this, alive = std::weak_ptr(m_isAlive), handler, startedAt = now()](const auto &reply, const Error &reason) {
            if (alive.expired()) {
                return;
            }
            onDirectCallEnded(isFinalReply(reply), startedAt);
            if (isFinalReply(reply)) {
                recordReplyTime(now() - startedAt);
            }
            handler(reply, reason);
        });
}

void StoreRouter::watch(const Platform::StoreRequest &request, Duration wait, const StoreCaller::Handler &handler)
{
    const auto answered = [this, alive = std::weak_ptr(m_isAlive), handler, startedAt = now()](const auto &reply, const Error &reason) {
        if (!alive.expired()) {
            onDirectCallEnded(isFinalReply(reply), startedAt);
            handler(reply, reason);
        }
    };
    m_direct.call(request, wait + WatchGrace, answered);
}

void StoreRouter::onDirectCallEnded(bool isAnswered, TimePoint startedAt)
{
    if (isAnswered) {
        m_directSucceededAt = std::max(m_directSucceededAt, startedAt);
        m_isDirectRouteDown = false;
    } else if (startedAt >= m_directSucceededAt) {
        // Failures of calls that started before the latest successful one are outdated.
        m_isDirectRouteDown = true;
    }
}

void StoreRouter::recordReplyTime(Duration time)
{
    m_averageReplyTime += (time - m_averageReplyTime) / AverageWeight;
}

Duration StoreRouter::hedgingDelay() const
{
    return std::clamp(HedgingDelayFactor * m_averageReplyTime, MinHedgingDelay, MaxHedgingDelay);
}

bool StoreRouter::callViaMember(const Platform::StoreRequest &request, Duration limit, const StoreCaller::Handler &handler)
{
    const ProxyMember *member = m_members.pick(m_nextMember++, now());
    if (member == nullptr) {
        return false;
    }
    callMember(*member, request, limit, handler);
    return true;
}

void StoreRouter::callMember(const ProxyMember &member,
                             const Platform::StoreRequest &request,
                             Duration limit,
                             const StoreCaller::Handler &handler)
{
    if (m_callers.size() > MaxMemberCallers) {
        // Drops idle connections, among them those to proxies that have stopped.
        std::erase_if(m_callers, [](const auto &it) {
            return it.second->isIdle();
        });
    }
    auto &caller = m_callers[member.address + ":" + std::to_string(member.port)];
    if (!caller) {
        caller = std::make_unique<StoreCaller>(m_loop, ProxyAddress{member.address, member.port});
    }
    caller->call(
        request, limit, [this, alive = std::weak_ptr(m_isAlive), name = member.name, handler](const auto &reply, const Error &reason) {
            if (alive.expired()) {
                return;
            }
            if (reply && reply->status == StatusTooManyRequests) {
                m_membersBusyAt = now();
            } else if (!isFinalReply(reply)) {
                m_members.recordFailure(name, now());
            }
            handler(reply, reason);
        });
}

void StoreRouter::call(const Platform::StoreRequest &request, Duration limit, bool isProbe, const StoreCaller::Handler &handler)
{
    const auto pendingCall = std::make_shared<PendingCall>(m_loop, request, now() + limit, handler);
    pendingCall->isDirectRouteNext = !m_isDirectRouteDown || isProbe;
    startAttempt(pendingCall);
}

bool StoreRouter::hasOtherRoute(const PendingCall &pendingCall) const
{
    return pendingCall.isDirectRouteNext || m_members.pick(m_nextMember, now()) != nullptr;
}

void StoreRouter::startAttempt(const std::shared_ptr<PendingCall> &pendingCall)
{
    const auto left = pendingCall->deadline - now();
    const auto answered = [this, alive = std::weak_ptr(m_isAlive), pendingCall](const auto &reply, const Error &reason) {
        if (!alive.expired()) {
            onAttemptEnded(pendingCall, reply, reason);
        }
    };
    pendingCall->attempts++;
    pendingCall->openAttempts++;
    if (pendingCall->isDirectRouteNext || !callViaMember(pendingCall->request, left, answered)) {
        callDirect(pendingCall->request, left, answered);
    }
    pendingCall->isDirectRouteNext = !pendingCall->isDirectRouteNext;
    if (pendingCall->attempts < MaxStoreAttempts && hedgingDelay() < left) {
        runAfter(pendingCall->timer, hedgingDelay(), *pendingCall, [this, alive = std::weak_ptr(m_isAlive)](PendingCall &self) {
            if (!alive.expired()) {
                startAttempt(self.shared_from_this());
            }
        });
    }
}

void StoreRouter::onAttemptEnded(const std::shared_ptr<PendingCall> &pendingCall,
                                 const std::optional<StoreReply> &reply,
                                 const Error &reason)
{
    pendingCall->openAttempts--;
    if (reply && reply->status == StatusTooManyRequests) {
        m_busyAt = now();
    }
    if (!pendingCall->handler) {
        return;
    }
    const bool isFirstFailure = !pendingCall->reply && pendingCall->reason.message.empty();
    if (!isFinalReply(reply) && isFirstFailure) {
        pendingCall->reply = reply;
        pendingCall->reason = reason;
    }
    const bool isBusyForAll = reply && reply->status == StatusTooManyRequests && now() - m_membersBusyAt < MembersBusyPeriod;
    // After the first failure the other route is tried once without delay.
    if (!isFinalReply(reply) && !isBusyForAll && pendingCall->attempts == 1 && hasOtherRoute(*pendingCall)) {
        startAttempt(pendingCall);
        return;
    }
    if (!isFinalReply(reply) && pendingCall->openAttempts != 0) {
        return;
    }
    stopTimer(pendingCall->timer);
    const auto handler = std::exchange(pendingCall->handler, nullptr);
    if (isFinalReply(reply)) {
        handler(reply, reason);
    } else {
        handler(pendingCall->reply, pendingCall->reason);
    }
}

void StoreRouter::callOnce(const Platform::StoreRequest &request, Duration limit, const StoreCaller::Handler &handler)
{
    callDirect(request, limit, handler);
}

} // namespace Vanillahall::Forward
