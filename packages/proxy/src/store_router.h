/**
 * Calls the store directly or, while it turns this VM away, through another proxy.
 * Load pattern: a store that loses answers, answers some VMs late and others never. A call without an answer is made again the other way
 * long before its time limit, so that a lost answer costs a turn a few answers' time and not the whole limit.
 */
#pragma once

#include "store_caller.h"

#include "vanillahall/core/proxy_membership_base.h"

#include <map>

namespace Vanillahall::Forward {

/** Wait for an answer of the store; slow ones take 400 ms. */
inline constexpr Duration StoreLimit = std::chrono::milliseconds(900);

inline constexpr unsigned MaxStoreTries = 3; ///< Of one call; of three writes that lose half of their answers seven in eight are known.

/** The ways to the store. */
class StoreRouter
{
public:
    /** @param members Proxies through which calls may go; outlives this. */
    StoreRouter(boost::asio::io_context &loop, const ProxyAddress &store, ProxyMembership &members);

    // Commands.

    /**
     * Makes a call, up to MaxStoreTries times: at once the other way if one way fails, and later if no answer comes. A write may be done
     * more than once and late, so it has to be conditional, or the same whenever it is done.
     * @param isProbe True to try the direct way first even if it failed a moment ago.
     */
    void call(const Platform::StoreRequest &request, Duration limit, bool isProbe, const StoreCaller::Handler &handler);
    /**
     * Makes a call that the store answers when something has changed: once, directly. Its time says nothing about the store's pace.
     * @param wait Longest time until the answer if nothing changes.
     */
    void watch(const Platform::StoreRequest &request, Duration wait, const StoreCaller::Handler &handler);
    /** Makes a call for another proxy, directly. */
    void callFor(const Platform::StoreRequest &request, Duration limit, const StoreCaller::Handler &handler);
    /** Calls another store from now on. */
    void setStore(const ProxyAddress &store);

    // Queries.

    /** @return True if the store has answered a moment ago that its rate is over. */
    [[nodiscard]] bool isBusy() const;
    /** @return True if the last direct call failed. */
    [[nodiscard]] bool isDirectAway() const;

private:
    struct PendingCall;

    void begin(const std::shared_ptr<PendingCall> &pendingCall);
    [[nodiscard]] bool hasOtherWay(const PendingCall &pendingCall) const;
    void ended(const std::shared_ptr<PendingCall> &pendingCall, const std::optional<StoreReply> &reply, const Error &reason);
    [[nodiscard]] Duration patience() const;
    void directEnded(bool isAnswered, TimePoint begun);
    void notePace(Duration time);
    void callDirect(const Platform::StoreRequest &request, Duration limit, const StoreCaller::Handler &handler);
    /** @return False if no other proxy is known; nothing is called then. */
    bool callThroughMember(const Platform::StoreRequest &request, Duration limit, const StoreCaller::Handler &handler);

    boost::asio::io_context &m_loop;
    StoreCaller m_direct;
    ProxyMembership &m_members;
    std::map<std::string, std::unique_ptr<StoreCaller>> m_callers; ///< By "address:port".
    std::uint64_t m_turn = 0;
    Duration m_usualTime = std::chrono::milliseconds(10); ///< Time to an answer, the latest counting most.
    TimePoint m_directWorkedAt{};                         ///< When the last direct call that was answered had begun.
    TimePoint m_busyAt{};                                 ///< When the store last answered that it is busy.
    TimePoint m_membersBusyAt{};                          ///< When the store last answered a call through another proxy that it is busy.
    bool m_isDirectAway = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Vanillahall::Forward
