/** Continuous batching of the engine stand-in, in real time on the event loop. */
#pragma once

#include "vanillahall/net/loop_base.h"

#include "engine_standin_type.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace Vanillahall {

/** Queue and running batch of an engine. */
class EngineBatch
{
public:
    using Listener = std::function<void(EngineRequest &)>; ///< Called with a request that has changed.

    /** @param onAdmitted Called when a request enters the batch. @param onToken Called after each token; `done` may be set. */
    EngineBatch(Loop &loop, const EngineStandinSettings &settings, Listener onAdmitted, Listener onToken);

    /** Adds a request to the queue, which is ordered by priority, then by arrival. @pre The request outlives its time in the queue and
     * batch. */
    void add(EngineRequest &request);

    /** Removes a request from the queue or batch. */
    void remove(EngineRequest &request);

    /** @return Number of requests in the batch. */
    [[nodiscard]] std::size_t running() const;

    /** @return Number of queued requests. */
    [[nodiscard]] std::size_t waiting() const;

private:
    void admit();
    void schedule();
    void wake();
    void step(TimePoint now);
    [[nodiscard]] Duration stepTime() const;

    Loop &m_loop;
    const EngineStandinSettings &m_settings;
    Listener m_onAdmitted;
    Listener m_onToken;
    std::vector<EngineRequest *> m_waiting;
    std::vector<EngineRequest *> m_running;
    std::uint64_t m_arrivals = 0;
    TimePoint m_nextStep;
    bool m_scheduled = false;
};

} // namespace Vanillahall
