#include "request_reader.h"

#include "connection_tokens.h"
#include "http_status.h"

#include "vanillahall/platform/wire_header_func.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

namespace Http = boost::beast::http;

constexpr unsigned HttpVersion10 = 10;
constexpr std::size_t MinBytesPerField
    = 8; ///< Average size of the fields of a head of the permitted size, line ends included; real ones have 20 bytes and more.
constexpr std::size_t MinMaxFields = 100;    ///< Fields that are accepted however short the permitted head is.
constexpr std::size_t BodyGrowthDivisor = 4; ///< A chunked body's buffer grows by a quarter, so that little of it is unused.
constexpr unsigned MaxEmptyLines = 8;        ///< Limit on empty lines before a request; old clients send one after a body.

/** @return Error if two HTTP implementations could frame the head differently (request smuggling), else null. */
const char *findFramingError(std::string_view head)
{
    if (head.find('\0') != std::string_view::npos) {
        return "NUL in headers";
    }
    for (std::size_t n = 0; n < head.size(); n++) {
        const bool isLf = head[n] == '\n';
        const bool isCr = head[n] == '\r';
        if (isLf && (n == 0 || head[n - 1] != '\r')) {
            return "line end without CR";
        }
        if (isCr && (n + 1 >= head.size() || head[n + 1] != '\n')) {
            return "CR inside a line";
        }
        if (isLf && n + 1 < head.size() && (head[n + 1] == ' ' || head[n + 1] == '\t')) {
            return "folded header line";
        }
    }
    return nullptr;
}

std::string_view toStringView(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

RequestReader::Progress RequestReader::refuse(unsigned status, std::string message)
{
    m_error = {status, std::move(message), std::nullopt};
    return Progress::Invalid;
}

RequestReader::Progress RequestReader::readHead(std::string &in, const ClientLimits &limits)
{
    constexpr std::string_view End = "\r\n\r\n";
    const auto end = in.find(End, m_searchedBytes);
    if (end == std::string::npos) {
        m_searchedBytes = in.size() - std::min(in.size(), End.size() - 1);
        return in.size() > limits.maxHeaderBytes ? refuse(StatusHeadersTooLarge, "headers too large") : Progress::NeedMore;
    }
    const std::size_t size = end + End.size();
    if (size > limits.maxHeaderBytes) {
        return refuse(StatusHeadersTooLarge, "headers too large");
    }
    if (const char *why = findFramingError(std::string_view(in).substr(0, size))) {
        return refuse(StatusBadRequest, why);
    }
    // The parser allocates memory for each field, up to a hundred times its size.
    const auto lines = static_cast<std::size_t>(std::count(in.begin(), in.begin() + static_cast<std::ptrdiff_t>(size), '\n'));
    if (lines > std::max(limits.maxHeaderBytes / MinBytesPerField, MinMaxFields)) {
        return refuse(StatusHeadersTooLarge, "too many header fields");
    }
    m_parser = std::make_unique<Parser>();
    m_parser->header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes + 1));
    m_parser->body_limit(limits.maxBodyBytes);
    m_parser->eager(false);
    boost::system::error_code ec;
    m_parser->put(boost::asio::buffer(in.data(), size), ec);
    if (ec == Http::error::body_limit) {
        return refuse(StatusTooLarge, "body too large");
    }
    if ((ec && ec != Http::error::need_more) || !m_parser->is_header_done()) {
        return refuse(StatusBadRequest, ec ? ec.message() : "incomplete headers");
    }
    in.erase(0, size);
    m_headBytes = size;
    m_parser->eager(true);
    if (!processHead()) {
        return Progress::Invalid;
    }
    // Everything needed was copied; the parsed fields would take many times the size of the head while the body is received.
    m_parser->get().base().clear();
    return Progress::Complete;
}

bool RequestReader::processHead()
{
    const auto &head = m_parser->get();
    if (head.count(Http::field::host) != 1 || head.count(Http::field::transfer_encoding) > 1
        || head.count(Http::field::content_length) > 1) {
        refuse(StatusBadRequest, "Host header missing, or duplicate Host, Transfer-Encoding or Content-Length header");
        return false;
    }
    const auto encoding = head.find(Http::field::transfer_encoding);
    if (encoding != head.end() && (!boost::beast::iequals(encoding->value(), "chunked") || head.version() == HttpVersion10)) {
        refuse(StatusBadRequest, "Transfer-Encoding other than chunked");
        return false;
    }
    if (head.count(std::string(Platform::RequestIdHeader)) != 1) {
        refuse(StatusBadRequest, "request id missing or duplicate");
        return false;
    }
    m_request.method = std::string(toStringView(head.method_string()));
    m_request.target = std::string(toStringView(head.target()));
    if (m_request.target.empty() || m_request.target.front() != '/') {
        refuse(StatusBadRequest, "request target isn't a path");
        return false;
    }
    m_request.host = std::string(toStringView(head[Http::field::host]));
    m_request.keepsAlive = m_parser->keep_alive();
    m_request.isHttp10 = head.version() == HttpVersion10;
    m_request.hasBody = m_parser->chunked() || m_parser->content_length().has_value();
    m_expectsContinue = boost::beast::iequals(head[Http::field::expect], "100-continue");
    const ConnectionTokens tokens(head);
    for (const auto &it : head) {
        const auto name = toStringView(it.name_string());
        const auto value = toStringView(it.value());
        Platform::readRequestHeader(m_request.attributes, name, value);
        const auto policy = Platform::requestHeaderPolicy(name);
        const bool isForwarded = policy == Platform::HeaderPolicy::Forward || policy == Platform::HeaderPolicy::Customer;
        if (!isForwarded || (tokens.contains(name) && !Platform::isRequestId(name))) {
            continue;
        }
        auto &lines = policy == Platform::HeaderPolicy::Customer ? m_request.attributes.customerHeaders : m_request.headers;
        lines.append(name).append(": ").append(value).append("\r\n");
    }
    if (!Platform::isStoreKey(m_request.attributes.program)) {
        refuse(StatusBadRequest, "program id isn't valid text or is too long");
        return false;
    }
    return true;
}

RequestReader::Progress RequestReader::read(std::string &in, const ClientLimits &limits, TimePoint now)
{
    if (!m_hasBegun) {
        // An empty line before a request belongs to the end of the previous one.
        while (in.compare(0, 2, "\r\n") == 0) {
            in.erase(0, 2);
            if (++m_emptyLines > MaxEmptyLines) {
                return refuse(StatusBadRequest, "too many empty lines before a request");
            }
        }
        if (in.empty()) {
            return Progress::NeedMore;
        }
        m_hasBegun = true;
        m_headBytes = 0;
        m_searchedBytes = 0;
        m_request = {};
        m_request.arrived = now;
    }
    if (!m_hasHead) {
        const auto progress = readHead(in, limits);
        if (progress != Progress::Complete) {
            return progress;
        }
        m_hasHead = true;
    }
    boost::system::error_code ec;
    while (!m_parser->is_done() && !in.empty()) {
        auto &body = m_parser->get().body();
        if (m_parser->chunked() && body.size() + in.size() > body.capacity()) {
            body.reserve(std::min(limits.maxBodyBytes, body.size() + std::max(in.size(), body.size() / BodyGrowthDivisor)));
        }
        const auto n = m_parser->put(boost::asio::buffer(in), ec);
        in.erase(0, n);
        if (ec == Http::error::need_more) {
            // Only a chunk extension or a trailer needs more bytes to be parsed.
            return in.size() > limits.maxHeaderBytes ? refuse(StatusBadRequest, "chunk extension or trailer too long") : Progress::NeedMore;
        }
        if (ec) {
            return ec == Http::error::body_limit ? refuse(StatusTooLarge, "body too large") : refuse(StatusBadRequest, ec.message());
        }
    }
    if (!m_parser->is_done()) {
        return Progress::NeedMore;
    }
    m_expectsContinue = false;
    return Progress::Complete;
}

ClientRequest RequestReader::takeRequest()
{
    m_request.body = std::move(m_parser->get().body());
    m_parser.reset();
    m_hasBegun = false;
    m_hasHead = false;
    m_emptyLines = 0;
    return std::move(m_request);
}

bool RequestReader::takeExpectContinue()
{
    return std::exchange(m_expectsContinue, false);
}

bool RequestReader::hasBegun() const
{
    return m_hasBegun;
}

bool RequestReader::hasHead() const
{
    return m_hasHead;
}

std::size_t RequestReader::bodySize() const
{
    if (!m_parser) {
        return 0;
    }
    // The buffer of an announced body is reserved at once, but takes memory only as far as it is filled.
    const auto &body = m_parser->get().body();
    return m_parser->chunked() && !body.empty() ? body.capacity() : body.size();
}

std::size_t RequestReader::headBytes() const
{
    return m_headBytes;
}

const RequestError &RequestReader::error() const
{
    return m_error;
}

} // namespace Vanillahall::Forward
