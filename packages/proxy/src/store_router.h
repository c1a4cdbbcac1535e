/**
 * Calls the store directly or, while it doesn't answer this VM, through another proxy.
 * Load pattern: a store that loses replies, answers some VMs late and others never. A call without a reply is hedged over the other route
 * long before its time limit, such that a lost reply delays a turn by a few typical reply times instead of the whole limit.
 */
#pragma once

#include "store_caller.h"

#include "vanillahall/core/proxy_membership_base.h"

#include <map>

namespace Vanillahall::Forward {

/** Time limit for a call to the store; slow replies take 400 ms. */
inline constexpr Duration StoreTimeout = std::chrono::milliseconds(900);

inline constexpr unsigned MaxStoreAttempts
    = 3; ///< Attempts for one call. If half of the replies are lost, three attempts still get a reply in 7 of 8 cases.

/** Routes calls to the store. */
class StoreRouter
{
public:
    /** @param members Proxies that can forward calls; must outlive the router. */
    StoreRouter(boost::asio::io_context &loop, const ProxyAddress &store, ProxyMembership &members);

    // Commands.

    /**
     * Makes a call with up to MaxStoreAttempts attempts: if the first one fails, the next one immediately takes the other route; if there
     * is no reply, further ones follow after a hedging delay. A write may be executed repeatedly and late, so it has to be conditional or
     * idempotent.
     * @param limit Time limit for all attempts together.
     * @param isProbe True to try the direct route first even if it failed recently.
     */
    void call(const Platform::StoreRequest &request, Duration limit, bool isProbe, const StoreCaller::Handler &handler);
    /**
     * Makes a long-polling call that the store answers when something has changed: a single attempt over the direct route. Its duration
     * doesn't count as a reply time of the store.
     * @param wait Longest time until the reply if nothing changes.
     */
    void watch(const Platform::StoreRequest &request, Duration wait, const StoreCaller::Handler &handler);
    /** Makes a call with a single attempt over the direct route. */
    void callOnce(const Platform::StoreRequest &request, Duration limit, const StoreCaller::Handler &handler);
    /** Calls another proxy itself: a single attempt. */
    void callMember(const ProxyMember &member, const Platform::StoreRequest &request, Duration limit, const StoreCaller::Handler &handler);
    /** Switches to another store. */
    void setStore(const ProxyAddress &store);

    // Queries.

    /** @return True if the store has recently answered that its rate limit is exceeded. */
    [[nodiscard]] bool isBusy() const;
    /** @return True if the last call over the direct route failed. */
    [[nodiscard]] bool isDirectRouteDown() const;

private:
    struct PendingCall;

    void startAttempt(const std::shared_ptr<PendingCall> &pendingCall);
    [[nodiscard]] bool hasOtherRoute(const PendingCall &pendingCall) const;
    void onAttemptEnded(const std::shared_ptr<PendingCall> &pendingCall, const std::optional<StoreReply> &reply, const Error &reason);
    [[nodiscard]] Duration hedgingDelay() const;
    void onDirectCallEnded(bool isAnswered, TimePoint startedAt);
    void recordReplyTime(Duration time);
    void callDirect(const Platform::StoreRequest &request, Duration limit, const StoreCaller::Handler &handler);
    /** @return False if no other proxy is known; no call is made then. */
    bool callViaMember(const Platform::StoreRequest &request, Duration limit, const StoreCaller::Handler &handler);

    boost::asio::io_context &m_loop;
    StoreCaller m_direct;
    ProxyMembership &m_members;
    std::map<std::string, std::unique_ptr<StoreCaller>> m_callers; ///< Callers for other proxies, by "address:port".
    std::uint64_t m_nextMember = 0;
    Duration m_averageReplyTime = std::chrono::milliseconds(10); ///< Exponential moving average of the reply time.
    TimePoint m_directSucceededAt{};                             ///< Latest start of a direct call that was answered.
    TimePoint m_busyAt{};                                        ///< When the store last answered 429.
    TimePoint m_membersBusyAt{};                                 ///< When the store last answered 429 to a call through another proxy.
    bool m_isDirectRouteDown = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Vanillahall::Forward
