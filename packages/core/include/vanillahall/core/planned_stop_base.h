/**
 * Course of a planned stop: which requests a stopping proxy still takes, when it closes connections, and when it ends.
 * Load pattern: clients go on using connections that they keep open, and new ones come until the platform has noticed that the proxy isn't
 * ready. A request that was taken late and is still running when the process is killed ends without a response.
 */
#pragma once

#include "vanillahall/core/time_type.h"

#include <optional>

namespace Vanillahall::Forward {

/** Parameters of a planned stop. */
struct StopSettings
{
    Duration limit = std::chrono::seconds(7); ///< Requests still running at this age of the stop are ended.
    /** New connections are accepted until this age of the stop: enough for two failed readiness checks and a connection attempt. */
    Duration acceptPeriod = std::chrono::milliseconds(3500);
    /**
     * Until this age of the stop, requests are taken even if their time limit is after the end of the stop. New connections may still be
     * directed to this proxy then, and most requests end long before their time limit.
     */
    Duration longRequestPeriod = std::chrono::seconds(3);
};

/** Time that the process needs after StopSettings::limit to send the last responses and to exit. */
inline constexpr Duration StopExitTime = std::chrono::milliseconds(300);

/** @return Parameters for a process that is killed at an age of the stop. @param gracePeriod Time from SIGTERM to SIGKILL. */
[[nodiscard]] StopSettings stopSettingsFor(Duration gracePeriod);

/** Decides about requests and connections during a planned stop. */
class PlannedStop
{
public:
    explicit PlannedStop(const StopSettings &settings);

    // Commands.

    /** Starts the stop. A second call changes nothing. */
    void begin(TimePoint now);
    /** Replaces the parameters, for example after a change of the settings file. */
    void setSettings(const StopSettings &settings);

    // Queries.

    /** @return True after begin(). */
    [[nodiscard]] bool hasBegun() const;
    /** @return True if a request may be passed on. @param limitAt Time limit of the request. */
    [[nodiscard]] bool canTake(TimePoint limitAt, TimePoint now) const;
    /** @return True while new connections are accepted and idle ones stay open. */
    [[nodiscard]] bool acceptsConnections(TimePoint now) const;
    /** @return True once requests that are still running have to be ended. */
    [[nodiscard]] bool isLimitReached(TimePoint now) const;
    /** @return True once the process has to exit, whatever is in progress. */
    [[nodiscard]] bool isOverdue(TimePoint now) const;
    /** @return Time until the limit; nothing before begin(). Negative after the limit. */
    [[nodiscard]] std::optional<Duration> timeLeft(TimePoint now) const;

private:
    StopSettings m_settings;
    std::optional<TimePoint> m_begunAt; ///< When the stop began.
};

} // namespace Vanillahall::Forward
