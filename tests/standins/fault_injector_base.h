/** Fault injection of the stand-ins, controlled over HTTP. */
#pragma once

#include "vanillahall/core/time_type.h"
#include "vanillahall/net/http_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Vanillahall {

/** An injected fault of a request. */
enum class FaultKind : std::uint8_t {
    None,       ///< No fault.
    Slow,       ///< The request is processed; the response is delayed.
    Hang,       ///< The request is neither processed nor answered.
    DropAnswer, ///< The request is processed, then the connection is cut without a response.
    Reset,      ///< The connection is cut before the request is processed.
    Silent,     ///< The response stops in the middle; the connection stays open.
    Refuse,     ///< Answered by 503 with run state `not_run`.
    Stale,      ///< Reads return outdated data.
    Crash,      ///< The process exits without a response.
    Down,       ///< All requests are answered by 503 for a time.
};

/** A fault to inject and the requests that it applies to. */
struct Fault
{
    FaultKind kind = FaultKind::None; ///< Kind of fault.
    std::uint32_t count = 1;          ///< Number of requests that it applies to.
    Duration time{};                  ///< Delay of the response, or duration of the outage.
    std::string match;                ///< Applies to requests with this text in the path or body; empty for all.
};

/** The faults to be injected. */
class FaultInjector
{
public:
    /** Handles `POST /fault` and `DELETE /fault`. @return The response, or nothing for any other request. */
    std::optional<HttpResponse> control(const HttpRequest &request, TimePoint now);

    /** Determines the fault of a request and decrements its count. @return The fault; kind `None` if no fault applies. */
    Fault take(const HttpRequest &request, TimePoint now);

private:
    std::vector<Fault> m_faults;
    TimePoint m_downUntil;
};

/** @return The kind with this name on the wire, or nothing if there is none. */
std::optional<FaultKind> faultKindFromText(std::string_view text);

} // namespace Vanillahall
