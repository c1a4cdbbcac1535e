/** Fault injection for the stand-ins, controlled by HTTP requests. */
#pragma once

#include "vanillahall/core/time_type.h"
#include "vanillahall/net/http_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Vanillahall {

/** Kind of an injected fault. */
enum class FaultKind : std::uint8_t {
    None,       ///< No fault.
    Slow,       ///< The request is carried out, the response is delayed.
    Hang,       ///< The request is not carried out, and there is no response.
    DropAnswer, ///< The request is carried out, then the connection is closed without a response.
    Reset,      ///< The connection is closed before the request is carried out.
    Silent,     ///< The response stops halfway, the connection stays open.
    Refuse,     ///< Response 503, which states that the request was not carried out.
    Stale,      ///< Reads return old data.
    Crash,      ///< The process exits.
    Down,       ///< All requests are rejected for a given time.
};

/** An enabled fault. */
struct Fault
{
    FaultKind kind = FaultKind::None; ///< Kind of the fault.
    std::uint32_t count = 1;          ///< Number of requests that it affects.
    Duration time{};                  ///< Delay, or duration of an outage.
    std::string match;                ///< Affects only requests with this text in path or body; empty for all.
};

/** Selects the fault of each request among the enabled faults. */
class FaultInjector
{
public:
    /** Handles `POST /fault` and `DELETE /fault`. @return The response, or nothing for any other request. */
    std::optional<HttpResponse> control(const HttpRequest &request, TimePoint now);

    /** @return The fault that affects this request, which counts as one of its requests. */
    Fault take(const HttpRequest &request, TimePoint now);

private:
    std::vector<Fault> m_faults;
    TimePoint m_downUntil;
};

/** @return The kind with that name, or nothing. */
std::optional<FaultKind> faultKindFromText(std::string_view text);

} // namespace Vanillahall
