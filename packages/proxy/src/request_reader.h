/** Reads clients' requests from bytes, strictly about framing. */
#pragma once

#include "client_request.h"

#include <memory>

#include <boost/beast/http.hpp>

namespace Vanillahall::Forward {

/** Reads one request after another from one connection. */
class RequestReader
{
public:
    /** What is known after some bytes. */
    enum class Progress {
        NeedMore, ///< The request isn't whole yet.
        Whole,    ///< request() may be taken.
        Faulty,   ///< error() says why; the connection can't be used any more.
    };

    // Commands.

    /**
     * Reads on.
     * @param in Bytes received; what was read is removed.
     */
    Progress read(std::string &in, const ClientLimits &limits, TimePoint now);
    /** @return The whole request; the reader is ready for the next one. */
    ClientRequest take();
    /** @return True once, if the client waits for leave to send the body. */
    bool takeContinue();

    // Queries.

    /** @return True between the first byte of a request and its end. */
    [[nodiscard]] bool hasBegun() const;
    /** @return True between the end of a request's headers and its end. */
    [[nodiscard]] bool hasHead() const;
    /** @return Bytes of the body so far. */
    [[nodiscard]] std::size_t bodySize() const;
    /** @return Why the request was refused. */
    [[nodiscard]] const RequestError &error() const;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    Progress readHead(std::string &in, const ClientLimits &limits);
    Progress refuse(unsigned status, std::string message);
    bool takeHead();

    std::unique_ptr<Parser> m_parser;
    ClientRequest m_request;
    RequestError m_error;
    unsigned m_emptyLines = 0; ///< Before the present request.
    bool m_hasBegun = false;
    bool m_hasHead = false;
    bool m_wantsContinue = false;
};

} // namespace Vanillahall::Forward
