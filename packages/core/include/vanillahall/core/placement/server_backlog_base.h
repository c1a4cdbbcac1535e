/**
 * Remaining work of one server and its pace.
 * Load pattern: dozens of proxies send to each server, so one proxy sees a report of a server's load only with its own responses, often
 * seconds apart. Between reports the load returns to its mean, and other proxies that have seen the same report act on it, too.
 */
#pragma once

#include "vanillahall/core/forward_type.h"
#include "vanillahall/core/placement/aged_mean_base.h"
#include "vanillahall/core/placement/placement_type.h"

#include <optional>

namespace Vanillahall::Forward {

/** What is usual at the servers of one service. */
class ServiceUsual
{
public:
    // Commands.

    /** Records the slot time of a request that has ended. @param weight Reliability of the observation. */
    void recordHold(Milliseconds hold, double weight, TimePoint now);
    /** Records a prefill at a server with a free slot. */
    void recordPrefill(double tokensPerMs);
    /** Records the requests of other proxies that a server reported. */
    void recordOthers(double others, TimePoint now);
    /**
     * Records how well a server's pace foretold the time of a request.
     * @param learned Pace that had been learned of the server.
     * @param observed Time of the request relative to the usual time.
     */
    void recordForecast(double learned, double observed, TimePoint now);

    // Queries.

    /** @return Usual slot time of a request. */
    [[nodiscard]] Milliseconds hold() const;
    /** @return Usual prefill rate of an engine, in prompt tokens per millisecond. */
    [[nodiscard]] double tokensPerMs() const;
    /** @return Usual number of other proxies' requests at a server. */
    [[nodiscard]] double others() const;
    /**
     * @return Share of a server's learned deviation from the usual pace that can be expected of its next request: close to 1 if the servers
     * differ, close to 0 if they are equal and the deviations come from the costs of single requests.
     */
    [[nodiscard]] double paceTrust() const;
    /** @return Share of learned figures against the starting ones: 0 if nothing has been learned, close to 1 after a few dozen requests. */
    [[nodiscard]] double confidence() const;

private:
    AgedMean m_hold{StartingHold.count(), 8, std::chrono::seconds(30)}; ///< Slot time, in milliseconds.
    AgedMean m_others{0, 0, std::chrono::seconds(30)};                  ///< Requests of other proxies at a server.
    StepMedian m_tokensPerMs{StartingTokensPerMs};
    AgedMean m_observedPace{1, 8, std::chrono::minutes(2)}; ///< Observed time relative to the usual time.
    double m_paceCovariance = 0;                            ///< Sum of products of learned and observed deviations from it; loses weight.
    double m_paceVariance = 0;                              ///< Sum of squares of learned deviations; loses weight.
    double m_observations = 0;                              ///< Sum of the weights of the observed slot times.
};

/** Expected state of a server at a time. */
struct BacklogView
{
    double load = 0;     ///< Expected requests at the server, of all proxies.
    double excess = 0;   ///< Expected requests that have to end before another one begins.
    Milliseconds wait{}; ///< Expected time until another request begins, at the server's pace.
    double slowness = 1; ///< Time that work takes there, relative to the usual time.
    double slowdown = 1; ///< Part of it that the server reports.
};

/** Tracks what one server still has to do. */
class ServerBacklog
{
public:
    // Commands.

    /** Records a request that this proxy sends. @param work Its expected slot time at the usual pace. */
    void recordStart(Milliseconds work, TimePoint now);
    /** Records the end of a request. @param work The value that was given at its start. */
    void recordEnd(Milliseconds work, TimePoint sentAt);
    /** Records a load report. @return Requests of other proxies. */
    double recordLoad(const ServerLoad &load, TimePoint now);
    /** Records the time that work took. @param usual Time that it takes at the usual pace. */
    void recordPace(Milliseconds observed, Milliseconds usual, TimePoint now);
    /** Forgets pace and reports, since the server has restarted; requests of this proxy stay until they end. */
    void restart();

    // Queries.

    /** @return Expected state for a request that takes `work` at the usual pace. */
    [[nodiscard]] BacklogView view(const ServiceUsual &usual, double slots, Milliseconds work, TimePoint now) const;
    /** @return Time that work takes there relative to the usual time, without the slowdown that the server reports. */
    [[nodiscard]] double pace(TimePoint now) const;
    /** @return Expected mean slowdown over a request that takes `work`, from the reported one and its age. */
    [[nodiscard]] double slowdown(Milliseconds work, TimePoint now) const;
    /** @return Age of the last load report; nothing if there is none. */
    [[nodiscard]] std::optional<Duration> reportAge(TimePoint now) const;
    /** @return Age of the learned pace; nothing if none was learned. */
    [[nodiscard]] std::optional<Duration> paceAge(TimePoint now) const;
    /** @return Expected remaining slot time of this proxy's requests, at the usual pace. */
    [[nodiscard]] Milliseconds ownWork(TimePoint now) const;

private:
    std::uint32_t m_running = 0;
    double m_workMs = 0;      ///< Sum of the expected work of this proxy's requests, in milliseconds.
    double m_sentMsSum = 0;   ///< Sum of the times at which they were sent, in milliseconds of the process's clock.
    double m_others = 0;      ///< Requests of other proxies by the last report.
    TimePoint m_reportedAt{}; ///< When the last report was received.
    bool m_hasReport = false;
    AgedMean m_meanOthers{0, 0, std::chrono::seconds(5)}; ///< Requests of other proxies, over the reports of the last seconds.
    double m_slowdown = 1;                                ///< Slowdown by the last report.
    double m_paceObserved = 0;                            ///< Observed time of work, in milliseconds; loses weight with time.
    double m_paceUsual = 0;                               ///< Usual time of that work, in milliseconds.
    double m_paceWeight = 0;                              ///< Number of these observations.
    TimePoint m_paceAt{};                                 ///< When they were last updated.
};

} // namespace Vanillahall::Forward
