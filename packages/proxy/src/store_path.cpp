#include "store_path.h"

#include "http_status.h"
#include "proxy_clock.h"

namespace Vanillahall::Forward {

namespace {

constexpr std::size_t MaxCallers = 16; ///< Proxies whose connections are kept.

/** @return True if the store did or refused what was asked, so that another way wouldn't change the answer. */
bool isAnswer(const std::optional<StoreReply> &reply)
{
    return reply && reply->status < StatusServerError && reply->status != StatusTooManyRequests;
}

} // namespace

StorePath::StorePath(boost::asio::io_context &loop, const ProxyAddress &store, MemberBook &members)
    : m_loop(loop)
    , m_direct(loop, store)
    , m_members(members)
{
}

bool StorePath::isDirectAway() const
{
    return m_isDirectAway;
}

void StorePath::setStore(const ProxyAddress &store)
{
    m_direct.setStore(store);
}

void StorePath::callDirect(const Platform::StoreRequest &request, Duration limit, const StoreCaller::Handler &handler)
{
    m_direct.call(request, limit, [this, alive = std::weak_ptr(m_isAlive), handler](const auto &reply, const Error &reason) {
        if (alive.expired()) {
            return;
        }
        m_isDirectAway = !isAnswer(reply);
        handler(reply, reason);
    });
}

bool StorePath::callThroughMember(const Platform::StoreRequest &request, Duration limit, const StoreCaller::Handler &handler)
{
    const Member *member = m_members.pick(m_turn++, now());
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
            if (!isAnswer(reply)) {
                m_members.failed(name, now());
            }
            handler(reply, reason);
        });
    return true;
}

void StorePath::call(const Platform::StoreRequest &request, Duration limit, bool isProbe, const StoreCaller::Handler &handler)
{
    const bool isDirectFirst = !m_isDirectAway || isProbe;
    if (isDirectFirst) {
        callDirect(
            request, limit, [this, alive = std::weak_ptr(m_isAlive), request, limit, handler](const auto &reply, const Error &reason) {
                const bool isDone = alive.expired() || isAnswer(reply);
                if (isDone || !callThroughMember(request, limit, handler)) {
                    handler(reply, reason);
                }
            });
        return;
    }
    const auto second = [this, alive = std::weak_ptr(m_isAlive), request, limit, handler](const auto &reply, const Error &reason) {
        if (alive.expired() || isAnswer(reply)) {
            handler(reply, reason);
        } else {
            callDirect(request, limit, handler);
        }
    };
    if (!callThroughMember(request, limit, second)) {
        callDirect(request, limit, handler);
    }
}

void StorePath::callFor(const Platform::StoreRequest &request, Duration limit, const StoreCaller::Handler &handler)
{
    callDirect(request, limit, handler);
}

} // namespace Vanillahall::Forward
