#include "completion_thread.h"

#include <utility>

#include <grpc/support/log.h>

namespace Vanillahall {

CompletionThread::CompletionThread(Loop &loop, std::unique_ptr<grpc::CompletionQueue> queue)
    : m_queue(std::move(queue))
    , m_completions(std::make_shared<CompletionList>())
{
    gpr_set_log_function([](gpr_log_func_args *) {});
    m_thread = std::thread([this, &loop] {
        run(loop);
    });
}

CompletionThread::~CompletionThread()
{
    m_queue->Shutdown();
    m_thread.join();
}

grpc::CompletionQueue *CompletionThread::queue() const
{
    return m_queue.get();
}

void CompletionThread::wait()
{
    {
        std::unique_lock lock(m_completions->mutex);
        m_completions->available.wait(lock, [this] {
            return !m_completions->list.empty();
        });
    }
    handle(*m_completions);
}

void CompletionThread::handle(CompletionList &completions)
{
    std::unique_lock lock(completions.mutex);
    while (!completions.list.empty()) {
        const CompletedOperation it = completions.list.front();
        completions.list.pop_front();
        lock.unlock();
        it.tag->task(it.ok);
        lock.lock();
    }
}

void CompletionThread::run(Loop &loop)
{
    void *tag = nullptr;
    bool ok = false;
    while (m_queue->Next(&tag, &ok)) {
        bool first = false;
        {
            const std::lock_guard guard(m_completions->mutex);
            first = m_completions->list.empty();
            m_completions->list.push_back({static_cast<CompletionTag *>(tag), ok});
        }
        m_completions->available.notify_one();
        if (first) {
            loop.post([completions = m_completions] {
                handle(*completions);
            });
        }
    }
}

} // namespace Vanillahall
