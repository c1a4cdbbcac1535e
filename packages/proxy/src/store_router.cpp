#include "store_router.h"

#include "http_status.h"
#include "proxy_clock.h"
#include "timer_func.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

constexpr std::size_t MaxCallers = 16;                           ///< Proxies whose connections are kept.
constexpr int PatienceFactor = 4;                                ///< Usual answers' times after which no answer means a lost one.
constexpr Duration MinPatience = std::chrono::milliseconds(60);  ///< Several times the slowest answer of a store that is well.
constexpr Duration MaxPatience = std::chrono::milliseconds(400); ///< Leaves time for another try within StoreLimit.
constexpr Duration WatchGrace
    = std::chrono::milliseconds(600); ///< A store 100 times slower than usual still answers; a dead connection is noticed within 2 s.
constexpr Duration BusyMemory = std::chrono::seconds(2);         ///< A burst over the store's rate lasts for seconds.
constexpr Duration BusyForAll = std::chrono::milliseconds(1000); ///< The store's rate is over for all VMs; other ways would only add calls.
constexpr int TimeWeight = 4;                                    ///< An answer counts a quarter in the usual time.

/** @return True if the store did or refused what was asked, so that another way wouldn't change the answer. */
bool isAnswer(const std::optional<StoreReply> &reply)
{
    return reply && reply->status < StatusServerError && reply->status != StatusTooManyRequests;
}

} // namespace

/** One call and its tries. */
struct StoreRouter::PendingCall : std::enable_shared_from_this<PendingCall>
{
    PendingCall(boost::asio::io_context &loop, Platform::StoreRequest wanted, TimePoint limitAt, StoreCaller::Handler answered)
        : timer(loop)
        , request(std::move(wanted))
        , until(limitAt)
        , handler(std::move(answered))
    {
    }

    boost::asio::steady_timer timer; ///< Begins the next try.
    Platform::StoreRequest request;  ///< What is asked.
    TimePoint until;                 ///< When the last try ends.
    StoreCaller::Handler handler;    ///< Gets the answer; null once it has.
    std::optional<StoreReply> reply; ///< Of the first try that failed.
    Error reason;                    ///< Of the first try that failed.
    unsigned begun = 0;              ///< Tries so far.
    unsigned open = 0;               ///< Tries under way.
    bool isDirectNext = true;        ///< Way of the next try.
};

StoreRouter::StoreRouter(boost::asio::io_context &loop, const ProxyAddress &store, ProxyMembership &members)
    : m_loop(loop)
    , m_direct(loop, store)
    , m_members(members)
{
}

bool StoreRouter::isBusy() const
{
    return now() - m_busyAt < BusyMemory;
}

bool StoreRouter::isDirectAway() const
{
    return m_isDirectAway;
}

void StoreRouter::setStore(const ProxyAddress &store)
{
    m_direct.setStore(store);
}

void StoreRouter::callDirect(const Platform::StoreRequest &request, Duration limit, const StoreCaller::Handler &handler)
{
    m_direct.call(request, limit, [this, alive = std::weak_ptr(m_isAlive), handler, begun = now()](const auto &reply, const Error &reason) {
        if (alive.expired()) {
            return;
        }
        directEnded(isAnswer(reply), begun);
        if (isAnswer(reply)) {
            notePace(now() - begun);
        }
        handler(reply, reason);
    });
}

void StoreRouter::watch(const Platform::StoreRequest &request, Duration wait, const StoreCaller::Handler &handler)
{
    const auto ended = [this, alive = std::weak_ptr(m_isAlive), handler, begun = now()](const auto &reply, const Error &reason) {
        if (!alive.expired()) {
            directEnded(isAnswer(reply), begun);
            handler(reply, reason);
        }
    };
    m_direct.call(request, wait + WatchGrace, ended);
}

void StoreRouter::directEnded(bool isAnswered, TimePoint begun)
{
    if (isAnswered) {
        m_directWorkedAt = std::max(m_directWorkedAt, begun);
        m_isDirectAway = false;
    } else if (begun >= m_directWorkedAt) {
        // A call that began before one that was answered says nothing about now.
        m_isDirectAway = true;
    }
}

void StoreRouter::notePace(Duration time)
{
    m_usualTime += (time - m_usualTime) / TimeWeight;
}

Duration StoreRouter::patience() const
{
    return std::clamp(PatienceFactor * m_usualTime, MinPatience, MaxPatience);
}

bool StoreRouter::callThroughMember(const Platform::StoreRequest &request, Duration limit, const StoreCaller::Handler &handler)
{
    const ProxyMember *member = m_members.pick(m_turn++, now());
    if (member == nullptr) {
        return false;
    }
    if (m_callers.size() > MaxCallers) {
        // Proxies come and go; connections to those that are gone aren't worth keeping.
        std::erase_if(m_callers, [](const auto &it) {
            return it.second->isIdle();
        });
    }
    auto &caller = m_callers[member->address + ":" + std::to_string(member->port)];
    if (!caller) {
        caller = std::make_unique<StoreCaller>(m_loop, ProxyAddress{member->address, member->port});
    }
    caller->call(
        request, limit, [this, alive = std::weak_ptr(m_isAlive), name = member->name, handler](const auto &reply, const Error &reason) {
            if (alive.expired()) {
                return;
            }
            if (reply && reply->status == StatusTooManyRequests) {
                m_membersBusyAt = now();
            } else if (!isAnswer(reply)) {
                m_members.recordFailure(name, now());
            }
            handler(reply, reason);
        });
    return true;
}

void StoreRouter::call(const Platform::StoreRequest &request, Duration limit, bool isProbe, const StoreCaller::Handler &handler)
{
    const auto pendingCall = std::make_shared<PendingCall>(m_loop, request, now() + limit, handler);
    pendingCall->isDirectNext = !m_isDirectAway || isProbe;
    begin(pendingCall);
}

bool StoreRouter::hasOtherWay(const PendingCall &pendingCall) const
{
    return pendingCall.isDirectNext || m_members.pick(m_turn, now()) != nullptr;
}

void StoreRouter::begin(const std::shared_ptr<PendingCall> &pendingCall)
{
    const auto left = pendingCall->until - now();
    const auto answered = [this, alive = std::weak_ptr(m_isAlive), pendingCall](const auto &reply, const Error &reason) {
        if (!alive.expired()) {
            ended(pendingCall, reply, reason);
        }
    };
    pendingCall->begun++;
    pendingCall->open++;
    if (pendingCall->isDirectNext || !callThroughMember(pendingCall->request, left, answered)) {
        callDirect(pendingCall->request, left, answered);
    }
    pendingCall->isDirectNext = !pendingCall->isDirectNext;
    if (pendingCall->begun < MaxStoreTries && patience() < left) {
        runAfter(pendingCall->timer, patience(), *pendingCall, [this, alive = std::weak_ptr(m_isAlive)](PendingCall &self) {
            if (!alive.expired()) {
                begin(self.shared_from_this());
            }
        });
    }
}

void StoreRouter::ended(const std::shared_ptr<PendingCall> &pendingCall, const std::optional<StoreReply> &reply, const Error &reason)
{
    pendingCall->open--;
    if (reply && reply->status == StatusTooManyRequests) {
        m_busyAt = now();
    }
    if (!pendingCall->handler) {
        return;
    }
    const bool isFirstFailure = !pendingCall->reply && pendingCall->reason.message.empty();
    if (!isAnswer(reply) && isFirstFailure) {
        pendingCall->reply = reply;
        pendingCall->reason = reason;
    }
    const bool isBusyForAll = reply && reply->status == StatusTooManyRequests && now() - m_membersBusyAt < BusyForAll;
    // One way has failed: the other one is tried without waiting, once.
    if (!isAnswer(reply) && !isBusyForAll && pendingCall->begun == 1 && hasOtherWay(*pendingCall)) {
        begin(pendingCall);
        return;
    }
    if (!isAnswer(reply) && pendingCall->open != 0) {
        return;
    }
    stopTimer(pendingCall->timer);
    const auto handler = std::exchange(pendingCall->handler, nullptr);
    if (isAnswer(reply)) {
        handler(reply, reason);
    } else {
        handler(pendingCall->reply, pendingCall->reason);
    }
}

void StoreRouter::callFor(const Platform::StoreRequest &request, Duration limit, const StoreCaller::Handler &handler)
{
    callDirect(request, limit, handler);
}

} // namespace Vanillahall::Forward
