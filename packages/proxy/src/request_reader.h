/** Parser for clients' requests with strict framing rules, as a guard against request smuggling. */
#pragma once

#include "client_request.h"

#include <memory>

#include <boost/beast/http.hpp>

namespace Vanillahall::Forward {

/** Parses consecutive requests of one connection. */
class RequestReader
{
public:
    /** Result of read(). */
    enum class Progress {
        NeedMore, ///< The request isn't complete yet.
        Complete, ///< The request is complete; takeRequest() returns it.
        Invalid,  ///< The request is invalid, see error(); the connection can't be used any further.
    };

    // Commands.

    /**
     * Parses received bytes.
     * @param in Received bytes; parsed bytes are removed.
     * @param now Time of arrival, if this is the first byte of a request.
     */
    Progress read(std::string &in, const ClientLimits &limits, TimePoint now);
    /** Returns the complete request and resets the reader for the next one. */
    ClientRequest takeRequest();
    /** @return True once per request if the client waits for "100 Continue" before it sends the body. */
    bool takeExpectContinue();

    // Queries.

    /** @return True from the first byte of a request to its end. */
    [[nodiscard]] bool hasBegun() const;
    /** @return True from the end of a request's headers to the end of the request. */
    [[nodiscard]] bool hasHead() const;
    /** @return Size of the head of the request that is being read or was last read, in bytes; 0 before its end. */
    [[nodiscard]] std::size_t headBytes() const;
    /** @return Number of bytes held for the body received so far. */
    [[nodiscard]] std::size_t bodySize() const;
    /** @return Error of an invalid request. */
    [[nodiscard]] const RequestError &error() const;

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    Progress readHead(std::string &in, const ClientLimits &limits);
    Progress refuse(unsigned status, std::string message);
    bool processHead();

    std::unique_ptr<Parser> m_parser;
    ClientRequest m_request;
    RequestError m_error;
    std::size_t m_headBytes = 0;
    std::size_t m_searchedBytes = 0; ///< Bytes of an incomplete head that don't contain its end.
    unsigned m_emptyLines = 0;       ///< Empty lines before the current request.
    bool m_hasBegun = false;
    bool m_hasHead = false;
    bool m_expectsContinue = false;
};

} // namespace Vanillahall::Forward
