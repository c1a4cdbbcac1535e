/** Faults of the stand-ins, switched by request. */
#pragma once

#include "vanillahall/core/time_type.h"
#include "vanillahall/net/http_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Vanillahall {

/** What goes wrong with a request. */
enum class FaultKind : std::uint8_t {
    None,       ///< Nothing.
    Slow,       ///< The work is done, the answer comes late.
    Hang,       ///< No work, no answer.
    DropAnswer, ///< The work is done, then the connection is cut.
    Reset,      ///< The connection is cut before the work.
    Silent,     ///< The answer stops in the middle, the connection stays open.
    Refuse,     ///< 503, not run.
    Stale,      ///< Reads are answered with old data.
    Crash,      ///< The process exits.
    Down,       ///< Everything is refused for a time.
};

/** One switched fault. */
struct Fault
{
    FaultKind kind = FaultKind::None; ///< What goes wrong.
    std::uint32_t count = 1;          ///< For how many requests.
    Duration time{};                  ///< Delay, or length of an outage.
    std::string match;                ///< Only requests with this text in path or body; empty for all.
};

/** The faults that are switched on. */
class FaultSwitch
{
public:
    /** Handles `POST /fault` and `DELETE /fault`. @return The answer, or nothing for any other request. */
    std::optional<HttpResponse> control(const HttpRequest &request, TimePoint now);

    /** @return The fault that hits this request; counts it. */
    Fault take(const HttpRequest &request, TimePoint now);

private:
    std::vector<Fault> m_faults;
    TimePoint m_downUntil;
};

/** @return The kind with that name, or nothing. */
std::optional<FaultKind> faultKindFromText(std::string_view text);

} // namespace Vanillahall
