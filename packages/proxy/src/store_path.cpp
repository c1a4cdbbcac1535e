#include "store_path.h"

#include "http_status.h"
#include "proxy_clock.h"

#include <boost/asio/post.hpp>

namespace Vanillahall::Forward {

namespace {

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

void StorePath::callDirect(const Platform::StoreRequest &request, Duration limit, StoreCaller::Handler handler)
{
    m_direct.call(
        request, limit, [this, alive = std::weak_ptr(m_isAlive), handler = std::move(handler)](const auto &reply, const Error &reason) {
            if (alive.expired()) {
                return;
            }
            m_isDirectAway = !isAnswer(reply);
            handler(reply, reason);
        });
}

void StorePath::callThroughMember(const Platform::StoreRequest &request, Duration limit, StoreCaller::Handler handler)
{
    const Member *member = m_members.pick(m_turn++, now());
    if (member == nullptr) {
        Error reason;
        reason.code = ErrorCode::StoreUnavailable;
        reason.step = Step::Reserve;
        reason.peer = "store";
        reason.message = "no other proxy known";
        boost::asio::post(m_loop, [handler = std::move(handler), reason] {
            handler(std::nullopt, reason);
        });
        return;
    }
    auto &caller = m_callers[member->address + ":" + std::to_string(member->port)];
    if (!caller) {
        caller = std::make_unique<StoreCaller>(m_loop, ProxyAddress{member->address, member->port});
    }
    caller->call(request,
                 limit,
                 [this, alive = std::weak_ptr(m_isAlive), name = member->name, handler = std::move(handler)](const auto &reply,
                                                                                                             const Error &reason) {
                     if (alive.expired()) {
                         return;
                     }
                     if (!isAnswer(reply)) {
                         m_members.failed(name, now());
                     }
                     handler(reply, reason);
                 });
}

void StorePath::call(const Platform::StoreRequest &request, Duration limit, bool isProbe, StoreCaller::Handler handler)
{
    const bool isDirectFirst = !m_isDirectAway || isProbe;
    auto second = [this, alive = std::weak_ptr(m_isAlive), request, limit, isDirectFirst, handler = std::move(handler)](
                      const auto &reply, const Error &reason) {
        if (alive.expired()) {
            return;
        }
        if (isAnswer(reply)) {
            handler(reply, reason);
        } else if (isDirectFirst) {
            callThroughMember(request, limit, handler);
        } else {
            callDirect(request, limit, handler);
        }
    };
    if (isDirectFirst) {
        callDirect(request, limit, std::move(second));
    } else {
        callThroughMember(request, limit, std::move(second));
    }
}

void StorePath::callFor(const Platform::StoreRequest &request, Duration limit, StoreCaller::Handler handler)
{
    callDirect(request, limit, std::move(handler));
}

} // namespace Vanillahall::Forward
