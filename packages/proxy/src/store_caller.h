/** Client for the platform's store. */
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

/** Reply of the store. */
struct StoreReply
{
    unsigned status = 0; ///< HTTP status.
    std::string body;
};

/** Calls the store over a small pool of connections. */
class StoreCaller
{
public:
    /** Called with the reply, or with nothing and an error; `reason.run` tells whether the store may have executed the call. */
    using Handler = std::function<void(const std::optional<StoreReply> &reply, const Error &reason)>;

    StoreCaller(boost::asio::io_context &loop, ProxyAddress store);
    ~StoreCaller();
    StoreCaller(const StoreCaller &) = delete;
    StoreCaller &operator=(const StoreCaller &) = delete;

    // Commands.

    /** Makes a call. The handler is called once, later, unless the StoreCaller is destroyed before. */
    void call(const Platform::StoreRequest &request, Duration limit, Handler handler);
    /** Switches to another store. */
    void setStore(ProxyAddress store);

    // Queries.

    /** @return True if no call is in progress. */
    [[nodiscard]] bool isIdle() const;

private:
    boost::asio::io_context &m_loop;
    ProxyAddress m_store;
    std::vector<std::shared_ptr<StoreConnection>> m_connections;
};

} // namespace Vanillahall::Forward
