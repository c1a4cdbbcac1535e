/** The event loop of a process. All project code runs on its thread; only post() may be called from other threads. */
#pragma once

#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace Vanillahall {

struct LoopState;

/** An event loop over libwebsockets. */
class Loop
{
public:
    using Task = std::function<void()>; ///< Work to do on the loop.

    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /** Runs until stop(). */
    void run();

    /** Handles pending events, waiting at most `limit` for the first one. For tests. */
    void runOnce(Duration limit);

    /** Makes run() return after the current event. */
    void stop();

    /** Runs a task every `interval` for the lifetime of the loop. */
    void every(Duration interval, Task task);

    /** Runs a task once after `delay`. */
    void after(Duration delay, Task task);

    /** Queues a task to run on the loop. Thread-safe. */
    void post(Task task);

    /** Calls `task` on the loop when SIGTERM or SIGINT arrives. */
    void onStopSignal(Task task);

    /** @return This process's monotonic clock. */
    [[nodiscard]] static TimePoint now();

    /** @return Wall-clock time. */
    [[nodiscard]] static WallTime wallNow();

    /** @return Internal state, for the other parts of this package. */
    LoopState &state();

private:
    std::unique_ptr<LoopState> m_state;
};

} // namespace Vanillahall
