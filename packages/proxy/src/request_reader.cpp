#include "request_reader.h"

#include "http_status.h"

#include "vanillahall/platform/wire_header_func.h"

#include <algorithm>

namespace Vanillahall::Forward {

namespace {

namespace Http = boost::beast::http;

constexpr unsigned Version10 = 10;
constexpr unsigned MaxEmptyLines = 8; ///< Before a request; old clients send one after a body.

/** @return Why a head can't be trusted, or null: anything that two readers could frame differently. */
const char *framingFault(std::string_view head)
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

bool isListed(std::string_view list, std::string_view name)
{
    for (const auto &it : Http::token_list(boost::beast::string_view(list.data(), list.size()))) {
        if (boost::beast::iequals(it, boost::beast::string_view(name.data(), name.size()))) {
            return true;
        }
    }
    return false;
}

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

RequestReader::Progress RequestReader::refuse(unsigned status, std::string message)
{
    m_error = {status, std::move(message), std::nullopt};
    return Progress::Faulty;
}

RequestReader::Progress RequestReader::readHead(std::string &in, const ClientLimits &limits)
{
    constexpr std::string_view End = "\r\n\r\n";
    const auto end = in.find(End);
    if (end == std::string::npos) {
        return in.size() > limits.maxHeaderBytes ? refuse(StatusHeadersTooLarge, "headers too large") : Progress::NeedMore;
    }
    const std::size_t size = end + End.size();
    if (size > limits.maxHeaderBytes) {
        return refuse(StatusHeadersTooLarge, "headers too large");
    }
    if (const char *why = framingFault(std::string_view(in).substr(0, size))) {
        return refuse(StatusBadRequest, why);
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
        return refuse(StatusBadRequest, ec ? ec.message() : "headers without end");
    }
    in.erase(0, size);
    m_parser->eager(true);
    return takeHead() ? Progress::Whole : Progress::Faulty;
}

bool RequestReader::takeHead()
{
    const auto &head = m_parser->get();
    if (head.count(Http::field::host) != 1 || head.count(Http::field::transfer_encoding) > 1
        || head.count(Http::field::content_length) > 1) {
        refuse(StatusBadRequest, "Host, Transfer-Encoding or Content-Length missing or given twice");
        return false;
    }
    const auto encoding = head.find(Http::field::transfer_encoding);
    if (encoding != head.end() && (!boost::beast::iequals(encoding->value(), "chunked") || head.version() == Version10)) {
        refuse(StatusBadRequest, "Transfer-Encoding other than chunked");
        return false;
    }
    if (head.count(std::string(Platform::RequestIdHeader)) != 1) {
        refuse(StatusBadRequest, "request id missing or given twice");
        return false;
    }
    m_request.method = std::string(view(head.method_string()));
    m_request.target = std::string(view(head.target()));
    if (m_request.target.empty() || m_request.target.front() != '/') {
        refuse(StatusBadRequest, "target isn't a path");
        return false;
    }
    m_request.host = std::string(view(head[Http::field::host]));
    m_request.keepsAlive = m_parser->keep_alive();
    m_request.isHttp10 = head.version() == Version10;
    m_request.hasBody = m_parser->chunked() || m_parser->content_length().has_value();
    m_wantsContinue = boost::beast::iequals(head[Http::field::expect], "100-continue");
    const std::string connection(view(head[Http::field::connection]));
    for (const auto &it : head) {
        const auto name = view(it.name_string());
        const auto value = view(it.value());
        Platform::readRequestHeader(m_request.attributes, name, value);
        if (Platform::requestHeaderPolicy(name) != Platform::HeaderPolicy::Forward
            || (!connection.empty() && isListed(connection, name) && !Platform::isRequestId(name))) {
            continue;
        }
        m_request.headers.append(name).append(": ").append(value).append("\r\n");
    }
    if (!Platform::isStoreKey(m_request.attributes.program)) {
        refuse(StatusBadRequest, "program id is no short text");
        return false;
    }
    return true;
}

RequestReader::Progress RequestReader::read(std::string &in, const ClientLimits &limits, TimePoint now)
{
    if (!m_hasBegun) {
        // An empty line before a request is left over from the one before.
        while (in.compare(0, 2, "\r\n") == 0) {
            in.erase(0, 2);
            if (++m_emptyLines > MaxEmptyLines) {
                return refuse(StatusBadRequest, "empty lines without a request");
            }
        }
        if (in.empty()) {
            return Progress::NeedMore;
        }
        m_hasBegun = true;
        m_request = {};
        m_request.arrived = now;
    }
    if (!m_hasHead) {
        const auto progress = readHead(in, limits);
        if (progress != Progress::Whole) {
            return progress;
        }
        m_hasHead = true;
    }
    boost::system::error_code ec;
    while (!m_parser->is_done() && !in.empty()) {
        const auto n = m_parser->put(boost::asio::buffer(in), ec);
        in.erase(0, n);
        if (ec == Http::error::need_more) {
            // What can't be read without more bytes is a chunk's extension or a trailer.
            return in.size() > limits.maxHeaderBytes ? refuse(StatusBadRequest, "chunk or trailer without end") : Progress::NeedMore;
        }
        if (ec) {
            return ec == Http::error::body_limit ? refuse(StatusTooLarge, "body too large") : refuse(StatusBadRequest, ec.message());
        }
    }
    if (!m_parser->is_done()) {
        return Progress::NeedMore;
    }
    m_wantsContinue = false;
    return Progress::Whole;
}

ClientRequest RequestReader::take()
{
    m_request.body = std::move(m_parser->get().body());
    m_parser.reset();
    m_hasBegun = false;
    m_hasHead = false;
    m_emptyLines = 0;
    return std::move(m_request);
}

bool RequestReader::takeContinue()
{
    return std::exchange(m_wantsContinue, false);
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
    return m_parser ? m_parser->get().body().size() : 0;
}

const RequestError &RequestReader::error() const
{
    return m_error;
}

} // namespace Vanillahall::Forward
