#include "http_server_state.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <utility>

namespace Vanillahall {

namespace {

constexpr std::size_t MaxHttp2FrameBytes = std::size_t{16} * 1024; ///< Maximum HTTP/2 frame size that every peer must accept.
constexpr std::size_t MaxHeadBytes = std::size_t{16} * 1024;       ///< Buffer size for the head of a response.

/** Serializes the status line and headers of a response into a buffer. */
class HeadWriter
{
public:
    HeadWriter(lws *wsi, unsigned char *begin, unsigned char *end)
        : m_wsi(wsi)
        , m_begin(begin)
        , m_at(begin)
        , m_end(end)
    {
    }

    bool status(std::uint32_t code)
    {
        return lws_add_http_header_status(m_wsi, code, &m_at, m_end) == 0;
    }

    bool header(const std::string &name, std::string_view value)
    {
        const std::string field = name + ":";
        return lws_add_http_header_by_name(m_wsi,
                                           reinterpret_cast<const unsigned char *>(field.c_str()),
                                           reinterpret_cast<const unsigned char *>(value.data()),
                                           static_cast<int>(value.size()),
                                           &m_at,
                                           m_end)
            == 0;
    }

    bool contentLength(std::size_t length)
    {
        return lws_add_http_header_content_length(m_wsi, length, &m_at, m_end) == 0;
    }

    bool finish()
    {
        return lws_finalize_http_header(m_wsi, &m_at, m_end) == 0;
    }

    [[nodiscard]] std::size_t size() const
    {
        return static_cast<std::size_t>(m_at - m_begin);
    }

private:
    lws *m_wsi;
    unsigned char *m_begin;
    unsigned char *m_at;
    unsigned char *m_end;
};

bool writeHead(HeadWriter &writer, const ServerExchange &exchange)
{
    bool ok = writer.status(exchange.head.status) && writer.header("content-type", exchange.head.contentType);
    for (const HttpHeader &header : exchange.head.headers) {
        ok = ok && writer.header(header.name, header.value);
    }
    if (!exchange.stream) {
        ok = ok && writer.contentLength(exchange.out.size());
    } else if (exchange.chunked) {
        ok = ok && writer.header("transfer-encoding", "chunked");
    }
    if (exchange.closeAfter && !exchange.multiplexed) {
        ok = ok && writer.header("connection", "close");
    }
    return ok && writer.finish();
}

std::size_t allowance(const ServerExchange &exchange)
{
    if (!exchange.multiplexed) {
        return MaxWriteBytes;
    }
    const auto n = lws_get_peer_write_allowance(exchange.wsi);
    return n < 0 ? MaxHttp2FrameBytes : std::min(static_cast<std::size_t>(n), MaxHttp2FrameBytes);
}

} // namespace

int HttpServerState::onWritable(lws *wsi)
{
    ServerExchange *exchange = find(wsi);
    if (exchange == nullptr || !exchange->responding) {
        return 0;
    }
    if (exchange->isDropped || (!exchange->headSent ? !sendHead(*exchange) : !sendBody(*exchange))) {
        return -1;
    }
    const bool drained = exchange->headSent && exchange->outSentBytes == exchange->out.size();
    if (drained) {
        std::string().swap(exchange->out);
        exchange->outSentBytes = 0;
    } else if (exchange->outSentBytes > MaxWriteBytes) {
        exchange->out.erase(0, exchange->outSentBytes);
        exchange->outSentBytes = 0;
    }
    updateUnsent(*exchange);
    // What the library still buffers counts until the caller has taken it.
    const bool isBuffered = lws_partial_buffered(wsi) != 0;
    if (drained && exchange->ended && !isBuffered) {
        return exchange->bodyPending ? 0 : finish(*exchange);
    }
    if (!drained || exchange->ended) {
        lws_callback_on_writable(wsi);
    } else if (!isBuffered) {
        pauseReading(*exchange, true);
    }
    return 0;
}

bool HttpServerState::sendHead(ServerExchange &exchange)
{
    unsigned char *begin = scratch.data() + LWS_PRE;
    HeadWriter writer(exchange.wsi, begin, begin + MaxHeadBytes);
    if (!writeHead(writer, exchange)) {
        return false;
    }
    if (exchange.headOnly) {
        exchange.out.clear();
    }
    exchange.headSent = true;
    exchange.lastProgress = Loop::now();
    std::size_t n = writer.size();
    int kind = LWS_WRITE_HTTP_HEADERS;
    if (exchange.multiplexed) {
        kind |= exchange.ended && exchange.out.empty() ? LWS_WRITE_H2_STREAM_END : 0;
    } else {
        exchange.outSentBytes = std::min(exchange.out.size(), MaxWriteBytes);
        std::memcpy(begin + n, exchange.out.data(), exchange.outSentBytes);
        n += exchange.outSentBytes;
    }
    return lws_write(exchange.wsi, begin, n, static_cast<lws_write_protocol>(kind)) >= 0;
}

bool HttpServerState::sendBody(ServerExchange &exchange)
{
    const std::size_t rest = exchange.out.size() - exchange.outSentBytes;
    const std::size_t n = std::min(rest, allowance(exchange));
    const bool last = exchange.ended && n == rest;
    if (n == 0 && !(last && exchange.multiplexed)) {
        return true;
    }
    unsigned char *begin = scratch.data() + LWS_PRE;
    std::memcpy(begin, exchange.out.data() + exchange.outSentBytes, n);
    exchange.outSentBytes += n;
    exchange.lastProgress = Loop::now();
    return lws_write(exchange.wsi, begin, n, last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP) >= 0;
}

int HttpServerState::finish(ServerExchange &exchange)
{
    lws *wsi = exchange.wsi;
    const bool closeAfter = exchange.closeAfter && !exchange.multiplexed;
    removeExchange(exchange);
    if (lws_http_transaction_completed(wsi) != 0) {
        return -1;
    }
    return closeAfter ? -1 : 0;
}

void HttpServerState::append(ServerExchange &exchange, std::string &&piece)
{
    if (piece.empty() || exchange.headOnly) {
        return;
    }
    if (exchange.chunked) {
        std::array<char, 2 * sizeof(std::size_t)> size{};
        const auto end = std::to_chars(size.data(), size.data() + size.size(), piece.size(), 16).ptr;
        exchange.out.append(size.data(), end);
        exchange.out += "\r\n";
        exchange.out += piece;
        exchange.out += "\r\n";
    } else if (exchange.out.empty()) {
        exchange.out = std::move(piece);
    } else {
        exchange.out += piece;
    }
}

void HttpServerState::requestWrite(ServerExchange &exchange)
{
    pauseReading(exchange, false);
    lws_callback_on_writable(exchange.wsi);
    if (exchange.timer == TimerId()) {
        exchange.lastProgress = Loop::now();
        armSendTimeout(exchange);
    }
    updateUnsent(exchange);
    boundUnsent(exchange);
}

void HttpServerState::armSendTimeout(ServerExchange &exchange)
{
    const Duration passed = Loop::now() - exchange.lastProgress;
    exchange.timer = loop.startTimer(settings.sendTimeout - passed, [this, id = exchange.id] {
        ServerExchange *it = find(id);
        if (it == nullptr) {
            return;
        }
        it->timer = TimerId();
        const bool waiting = !it->headSent || it->outSentBytes < it->out.size() || it->ended;
        if (waiting && Loop::now() - it->lastProgress >= settings.sendTimeout) {
            closeConnection(*it);
        } else if (waiting) {
            armSendTimeout(*it);
        }
    });
}

void HttpServerState::closeConnection(ServerExchange &exchange)
{
    lws_set_timeout(exchange.wsi, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
}

ServerExchange *HttpServerState::find(HttpExchangeId id)
{
    const auto it = exchanges.find(id);
    return it == exchanges.end() ? nullptr : it->second.get();
}

ServerExchange *HttpServerState::find(lws *wsi)
{
    return static_cast<ServerExchange *>(lws_get_opaque_user_data(wsi));
}

void HttpServerState::removeExchange(ServerExchange &exchange)
{
    loop.stopTimer(exchange.timer);
    releaseBody(exchange);
    unwatchPeer(exchange);
    setUnsent(exchange, 0);
    lws_set_opaque_user_data(exchange.wsi, nullptr);
    onExchangeEnded(exchange.wsi);
    exchanges.erase(exchange.id);
}

} // namespace Vanillahall
