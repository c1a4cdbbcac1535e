/** Answers the platform's question for readiness, and serves the metrics. */
#pragma once

#include "proxy_state.h"

namespace Vanillahall::Forward {

/** Serves one connection until it is closed. */
void serveStatus(const std::shared_ptr<ProxyState> &proxy, boost::asio::ip::tcp::socket socket);

} // namespace Vanillahall::Forward
