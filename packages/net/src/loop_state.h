/** Internal state of a loop, shared by the parts of this package. */
#pragma once

#include "timer_queue.h"
#include "vanillahall/net/loop_base.h"

#include <memory>
#include <mutex>
#include <vector>

#include <libwebsockets.h>

namespace Vanillahall {

struct HttpServerState;
struct HttpClientState;

/** Owner of a libwebsockets virtual host. The record outlives its owner, since libwebsockets closes connections asynchronously. */
struct VhostOwner
{
    HttpServerState *server = nullptr; ///< Set for a server that still exists.
    HttpClientState *client = nullptr; ///< Set for a client that still exists.
};

/** Internal state of a loop. */
struct LoopState
{
    LoopState();
    ~LoopState();
    LoopState(const LoopState &) = delete;
    LoopState &operator=(const LoopState &) = delete;

    /** Starts a timer that fires once. @return ID of the timer. */
    TimerId startTimer(Duration delay, TimerQueue::Task task);

    /** Stops a timer if it is still running. */
    void stopTimer(TimerId timer);

    /** Queues a task. Thread-safe. */
    void post(Loop::Task task);

    /** Handles pending events. @param wait True to wait for an event if none is pending. */
    void service(bool wait);

    /** Runs posted tasks, and the stop tasks if a signal is pending. */
    void runPosted();

    /** Schedules a wake-up of libwebsockets for when the next timer is due. */
    void scheduleWake();

    /** Adds an owner record for a virtual host. @return The record, valid for the lifetime of the loop. */
    VhostOwner &addVhostOwner();

    struct Wake : lws_sorted_usec_list_t
    {
        LoopState *loop = nullptr; ///< The loop to wake.
    };

    lws_context *context = nullptr;                  ///< libwebsockets context.
    Wake wake{};                                     ///< Scheduled wake-up for the next timer.
    std::optional<TimePoint> wakeAt;                 ///< When `wake` is due.
    TimerQueue timers;                               ///< All timers.
    std::mutex mutex;                                ///< Guards `posted`.
    std::vector<Loop::Task> posted;                  ///< Tasks from post().
    std::vector<Loop::Task> stopTasks;               ///< Tasks to run on SIGTERM or SIGINT.
    std::vector<std::unique_ptr<VhostOwner>> owners; ///< Owner records of virtual hosts.
    bool stopped = false;                            ///< True once run() has to return.
};

} // namespace Vanillahall
