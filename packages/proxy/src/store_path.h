/** Calls the store directly or, while it turns this VM away, through another proxy. */
#pragma once

#include "store_caller.h"

#include "vanillahall/core/member_book_base.h"

#include <map>

namespace Vanillahall::Forward {

/** Wait for an answer of the store; slow ones take 400 ms. */
inline constexpr Duration StoreLimit = std::chrono::milliseconds(900);

/** The ways to the store. */
class StorePath
{
public:
    /** @param members Proxies through which calls may go; outlives this. */
    StorePath(boost::asio::io_context &loop, const ProxyAddress &store, MemberBook &members);

    // Commands.

    /**
     * Makes a call. Each call is made twice at most, once directly and once through another proxy; writes have to be conditional.
     * @param isProbe True to try the direct way first even if it failed a moment ago.
     */
    void call(const Platform::StoreRequest &request, Duration limit, bool isProbe, const StoreCaller::Handler &handler);
    /** Makes a call for another proxy, directly. */
    void callFor(const Platform::StoreRequest &request, Duration limit, const StoreCaller::Handler &handler);
    /** Calls another store from now on. */
    void setStore(const ProxyAddress &store);

    // Queries.

    /** @return True if the last direct call failed. */
    [[nodiscard]] bool isDirectAway() const;

private:
    void callDirect(const Platform::StoreRequest &request, Duration limit, const StoreCaller::Handler &handler);
    /** @return False if no other proxy is known; nothing is called then. */
    bool callThroughMember(const Platform::StoreRequest &request, Duration limit, const StoreCaller::Handler &handler);

    boost::asio::io_context &m_loop;
    StoreCaller m_direct;
    MemberBook &m_members;
    std::map<std::string, std::unique_ptr<StoreCaller>> m_callers; ///< By "address:port".
    std::uint64_t m_turn = 0;
    bool m_isDirectAway = false;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

} // namespace Vanillahall::Forward
