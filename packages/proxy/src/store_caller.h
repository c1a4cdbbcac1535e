/** The one client for the platform's store. */
#pragma once

#include "vanillahall/core/error_type.h"
#include "vanillahall/platform/wire_store_func.h"
#include "vanillahall/proxy/proxy_type.h"

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/io_context.hpp>

namespace Vanillahall::Forward {

class StoreConnection;

/** What the store answered. */
struct StoreReply
{
    unsigned status = 0; ///< HTTP status.
    std::string body;    ///< Body.
};

/** Calls the store over a few kept connections. */
class StoreCaller
{
public:
    /** Gets the reply, or nothing and why; `reason.run` says whether the call may have been done. */
    using Handler = std::function<void(const std::optional<StoreReply> &reply, const Error &reason)>;

    StoreCaller(boost::asio::io_context &loop, ProxyAddress store);
    ~StoreCaller();
    StoreCaller(const StoreCaller &) = delete;
    StoreCaller &operator=(const StoreCaller &) = delete;

    // Commands.

    /** Makes a call. The handler is called once, later, unless the caller is destroyed before. */
    void call(const Platform::StoreRequest &request, Duration limit, Handler handler);
    /** Calls another store from now on. */
    void setStore(ProxyAddress store);

    // Queries.

    /** @return True if no call is under way. */
    [[nodiscard]] bool isIdle() const;

private:
    boost::asio::io_context &m_loop;
    ProxyAddress m_store;
    std::vector<std::shared_ptr<StoreConnection>> m_connections;
};

} // namespace Vanillahall::Forward
