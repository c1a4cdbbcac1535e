#include "http_server_state.h"

#include <algorithm>

namespace Vanillahall {

namespace {

constexpr std::size_t ConnectionShareDivisor
    = 4; ///< The responses of one HTTP/2 connection may take a quarter of the limit; four callers at least then share it.

} // namespace

void HttpServerState::updateUnsent(ServerExchange &exchange)
{
    const bool isBuffered = lws_partial_buffered(exchange.wsi) != 0;
    setUnsent(exchange, exchange.out.capacity() + (isBuffered ? MaxWriteBytes : 0));
}

void HttpServerState::setUnsent(ServerExchange &exchange, std::size_t bytes)
{
    unsentBytes += bytes - exchange.heldBytes;
    const auto it = connections.find(lws_get_network_wsi(exchange.wsi));
    if (it != connections.end()) {
        it->second.unsentBytes += bytes - exchange.heldBytes;
    }
    exchange.heldBytes = bytes;
}

void HttpServerState::boundUnsent(const ServerExchange &newest)
{
    const auto own = connections.find(lws_get_network_wsi(newest.wsi));
    if (own != connections.end()) {
        const bool isStreamOver = newest.stream && newest.out.size() - newest.outSentBytes > settings.maxUnsent;
        // A single complete response may be larger, since its size depends on what the caller asked for.
        const std::size_t share = std::max(settings.maxUnsent, settings.maxHeldResponses / ConnectionShareDivisor);
        if (isStreamOver || (own->second.exchanges > 1 && own->second.unsentBytes > share)) {
            closeReader(own->first);
        }
    }
    while (unsentBytes > settings.maxHeldResponses) {
        lws *slowest = slowestReader();
        if (slowest == nullptr) {
            return;
        }
        closeReader(slowest);
    }
}

lws *HttpServerState::slowestReader() const
{
    const TimePoint present = Loop::now();
    const ServerExchange *slowest = nullptr;
    std::size_t responses = 0;
    double most = 0;
    for (const auto &[id, it] : exchanges) {
        if (!it->responding || it->isDropped || it->heldBytes == 0) {
            continue;
        }
        responses++;
        // Bytes and time since the last progress: a caller that reads steadily comes last, and so does a new small response.
        const double weight
            = static_cast<double>(it->heldBytes) * (std::chrono::duration<double>(present - it->lastProgress).count() + 1e-3);
        if (weight > most) {
            most = weight;
            slowest = it.get();
        }
    }
    return responses > 1 ? lws_get_network_wsi(slowest->wsi) : nullptr;
}

void HttpServerState::closeReader(lws *connection)
{
    for (const auto &[id, it] : exchanges) {
        if (lws_get_network_wsi(it->wsi) == connection) {
            // The connection is closed after this callback; until then nothing more of a response may be sent.
            it->isDropped = true;
            it->ended = true;
            std::string().swap(it->out);
            it->outSentBytes = 0;
            setUnsent(*it, 0);
        }
    }
    closedReaders++;
    lws_set_timeout(connection, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

} // namespace Vanillahall
