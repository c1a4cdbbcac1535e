/** Thread that polls a gRPC completion queue. It passes completed operations to the loop and accesses no state outside this class. */
#pragma once

#include "vanillahall/net/loop_base.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include <grpcpp/completion_queue.h>

namespace Vanillahall {

/** Task to run on the loop when one gRPC operation has completed. Must stay valid until then. */
struct CompletionTag
{
    std::function<void(bool ok)> task; ///< Called on the loop.
};

/** Passes the completed operations of a completion queue to the loop. */
class CompletionThread
{
public:
    /** @pre `loop` outlives the thread. */
    CompletionThread(Loop &loop, std::unique_ptr<grpc::CompletionQueue> queue);

    /** @pre No operation is pending. */
    ~CompletionThread();
    CompletionThread(const CompletionThread &) = delete;
    CompletionThread &operator=(const CompletionThread &) = delete;

    /** @return The queue on which to start operations. */
    [[nodiscard]] grpc::CompletionQueue *queue() const;

    /** Blocks the loop's thread until an operation completes, and runs the tasks of all completed operations. For destructors only. */
    void wait();

private:
    struct CompletedOperation
    {
        CompletionTag *tag; ///< Tag of the operation.
        bool ok;            ///< True if the operation succeeded.
    };

    struct CompletionList
    {
        std::mutex mutex;                    ///< Guards `list`.
        std::condition_variable available;   ///< Signalled when `list` is not empty.
        std::deque<CompletedOperation> list; ///< Completed operations, oldest first.
    };

    static void handle(CompletionList &completions);
    void run(Loop &loop);

    std::unique_ptr<grpc::CompletionQueue> m_queue;
    std::shared_ptr<CompletionList> m_completions; // Shared with posted tasks that may run after this object is destroyed.
    std::thread m_thread;
};

} // namespace Vanillahall
