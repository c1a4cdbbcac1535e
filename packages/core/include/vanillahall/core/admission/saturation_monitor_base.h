/**
 * Detects from one proxy's own observations that the servers of a service can't take more work.
 * Load pattern: bursts of 1.5 to 2.4 times the usual load for 3 to 8 s while engines are full. Engines first queue, which shows in the
 * delay to the first event, and then refuse. No other proxy is asked, since reports would arrive after the burst has changed.
 */
#pragma once

#include "vanillahall/core/admission/decaying_count_type.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace Vanillahall::Forward {

/** Limits of the detection. Between `enter` and `leave` the state stays as it is. */
struct SaturationSettings
{
    double enterRefusals = 0.7;  ///< Saturated from this share of refused attempts on: most requests then find no server in three attempts.
    double leaveRefusals = 0.23; ///< Not saturated below this share.
    double busyRefusals = 0.03;  ///< Busy from this share of refused attempts on.
    double minRefusals = 2;      ///< Fewer recent refusals show nothing; one server may be full by chance.
    double enterDelay = 3;       ///< Saturated from this quantile of the delay on, in objectives. Trials that restricted admission at lower
                                 ///< delays lost value.
    double leaveDelay = 1;       ///< Not saturated below this quantile, in objectives.
    double busyDelay = 1;        ///< Busy from this quantile on, in objectives.
    double minWork = 0.5;        ///< Least own work per slot of this proxy's share for which delays count. The
                                 ///< shares are equal and the demand isn't, so that a full one may show less than 1.
    Duration busyHold = std::chrono::milliseconds(2000);     ///< A service stays busy for this time, so that a surge which is held back
                                                             ///< doesn't come in at the first calm moment.
    Duration minHold = std::chrono::milliseconds(500);       ///< The state is kept for at least this time.
    Duration maxSampleAge = std::chrono::milliseconds(2000); ///< Older delays are ignored.
};

/** What is known about one service. */
struct SaturationView
{
    bool isSaturated = false;  ///< True if its servers can't take more work.
    bool isBusy = false;       ///< True if its servers refuse turns or delay them beyond the objective.
    bool isRefusing = false;   ///< True if its servers refuse turns of programs that can still end in time.
    double refusalShare = 0;   ///< Share of refused attempts.
    double delayRatio = 0;     ///< Quantile of the delay to the first event, in objectives; 0 if unknown.
    double workRatio = 0;      ///< Own requests in progress per slot of this proxy's share.
    double stretch = 1;        ///< Duration of a turn relative to one that waits for no longer than its objective.
    double turnsPerSecond = 0; ///< Turns that end, per second.
    Duration turnTime{};       ///< Duration of a turn at present; 0 if unknown.
    Duration sampleAge{};      ///< Age of the newest delay.
};

/** Detects saturation per service. */
class SaturationMonitor
{
public:
    explicit SaturationMonitor(SaturationSettings settings = {});

    // Commands.

    // Only turns of programs that can still end in time tell whether the servers are full: engines serve the others last, and their
    // queues may be full of them while the rest is served at once. Trials that counted all turns refused programs which would have ended
    // in time.

    /** Records that an attempt was sent. @param isInTime True if its program can still end in time. */
    void recordStart(const std::string &service, bool isInTime, TimePoint now);
    /** Records that a server refused an attempt, of a program in time, because it is full. */
    void recordRefusal(const std::string &service, TimePoint now);
    /** Records the first event of an attempt of a program in time. @param delay Time since the attempt was sent. @param objective Objective
     * of its route. */
    void recordFirstEvent(const std::string &service, Duration delay, Duration objective, TimePoint now);
    /** Records that a turn has ended completely. @param streaming Time since its first event. */
    void recordTurn(const std::string &service, Duration streaming, TimePoint now);
    /** Records the end of any attempt that recordStart() was called for. */
    void recordEnd(const std::string &service);
    /** Evaluates the observations. @param slots This proxy's share of the slots. @return True if the state has changed. */
    bool update(const std::string &service, double slots, TimePoint now);

    // Queries.

    /** @return State as of the last update(). */
    [[nodiscard]] SaturationView view(const std::string &service) const;
    /** @return State that update() would leave now; nothing is changed. */
    [[nodiscard]] SaturationView preview(const std::string &service, double slots, TimePoint now) const;
    /** @return Number of saturated services. */
    [[nodiscard]] std::size_t saturatedCount() const;

private:
    /** Delay of one attempt. */
    struct DelaySample
    {
        double ratio = 0;    ///< In objectives.
        Duration delay{};    ///< Time to the first event.
        Duration expected{}; ///< The delay, but at most the objective.
        TimePoint at{};      ///< When the event was received.
    };
    /** Observations of one service. */
    struct ServiceState
    {
        DecayingCount attempts;
        DecayingCount refusals;
        DecayingCount turns;
        std::deque<DelaySample> delays; ///< Newest last.
        double streamingMs = 0;         ///< Moving average of the time between first and last event, in milliseconds.
        std::uint32_t running = 0;      ///< Attempts in progress.
        TimePoint busyUntil{};          ///< End of the busy state.
        TimePoint changedAt{};          ///< When the state last changed.
        SaturationView view;            ///< Result of the last update().
    };

    ServiceState &state(const std::string &service);
    void evaluateDelays(ServiceState &state, TimePoint now) const;

    SaturationSettings m_settings;
    std::unordered_map<std::string, ServiceState> m_services; ///< Bounded by the services of the configuration.
};

} // namespace Vanillahall::Forward
