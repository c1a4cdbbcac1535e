#include "vanillahall/net/loop_base.h"

#include "loop_state.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <utility>

namespace Vanillahall {

namespace {

constexpr unsigned int MaxHeaderBytes = 16 * 1024; ///< Maximum size of the head of a request or response.
constexpr unsigned int MaxReadBytes = 32 * 1024;   ///< Maximum number of bytes read from a socket at once.
constexpr unsigned int LibraryTimeoutSeconds
    = 7 * 24 * 60; ///< Timeout of the library; those of this package are shorter, so they expire first.

constexpr Duration TimerGranularity = std::chrono::milliseconds(1); ///< Timer granularity of the library.

std::atomic<LoopState *> signalLoop = nullptr;
volatile std::sig_atomic_t signalReceived = 0;

void handleSignal(int)
{
    signalReceived = 1;
    if (LoopState *loop = signalLoop.load()) {
        lws_cancel_service(loop->context);
    }
}

void handleWake(lws_sorted_usec_list_t *sul)
{
    LoopState *loop = static_cast<LoopState::Wake *>(sul)->loop;
    loop->wakeAt.reset();
    loop->timers.runDue(Loop::now());
    loop->scheduleWake();
}

} // namespace

LoopState::LoopState()
{
    lws_set_log_level(0, nullptr);
    lws_context_creation_info info{};
    info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS | LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT | LWS_SERVER_OPTION_SKIP_SERVER_CANONICAL_NAME
        | LWS_SERVER_OPTION_NO_LWS_SYSTEM_STATES;
    info.port = CONTEXT_PORT_NO_LISTEN;
    info.pt_serv_buf_size = MaxReadBytes;
    info.max_http_header_data = MaxHeaderBytes;
    info.timeout_secs = LibraryTimeoutSeconds;
    info.server_string = "vanillahall";
    context = lws_create_context(&info);
    wake.loop = this;
}

LoopState::~LoopState()
{
    LoopState *self = this;
    signalLoop.compare_exchange_strong(self, nullptr);
    lws_sul_cancel(&wake);
    lws_context_destroy(context);
}

TimerId LoopState::startTimer(Duration delay, TimerQueue::Task task)
{
    const TimerId id = timers.add(Loop::now() + delay, std::move(task));
    scheduleWake();
    return id;
}

void LoopState::stopTimer(TimerId timer)
{
    timers.remove(timer);
}

void LoopState::post(Loop::Task task)
{
    bool first = false;
    {
        const std::lock_guard guard(mutex);
        first = posted.empty();
        posted.push_back(std::move(task));
    }
    if (first) {
        lws_cancel_service(context);
    }
}

void LoopState::service(bool wait)
{
    scheduleWake();
    const auto due = timers.nextDue();
    const bool expired = due && *due <= Loop::now();
    lws_service(context, wait && !expired ? 0 : -1);
    timers.runDue(Loop::now());
    runPosted();
}

void LoopState::runPosted()
{
    if (signalReceived != 0 && signalLoop.load() == this) {
        signalReceived = 0;
        const auto tasks = stopTasks;
        for (const auto &task : tasks) {
            task();
        }
    }
    std::vector<Loop::Task> tasks;
    {
        const std::lock_guard guard(mutex);
        tasks.swap(posted);
    }
    for (const auto &task : tasks) {
        task();
    }
}

void LoopState::scheduleWake()
{
    const auto due = timers.nextDue();
    if (!due || (wakeAt && *wakeAt <= *due)) {
        return;
    }
    wakeAt = due;
    // The library rounds down to whole milliseconds and would busy-poll for the remainder.
    const Duration delay = std::max(*due - Loop::now(), Duration::zero()) + TimerGranularity;
    lws_sul_schedule(context, 0, &wake, handleWake, delay.count());
}

VhostOwner &LoopState::addVhostOwner()
{
    return *owners.emplace_back(std::make_unique<VhostOwner>());
}

Loop::Loop()
    : m_state(std::make_unique<LoopState>())
{
}

Loop::~Loop() = default;

void Loop::run()
{
    m_state->stopped = false;
    while (!m_state->stopped) {
        m_state->service(true);
    }
}

void Loop::runOnce(Duration limit)
{
    if (limit <= Duration::zero()) {
        m_state->service(false);
        return;
    }
    const TimerId timer = m_state->startTimer(limit, [] {});
    m_state->service(true);
    m_state->stopTimer(timer);
}

void Loop::stop()
{
    m_state->stopped = true;
    lws_cancel_service(m_state->context);
}

void Loop::every(Duration interval, Task task)
{
    after(interval, [this, interval, task = std::move(task)]() mutable {
        task();
        every(interval, std::move(task));
    });
}

void Loop::after(Duration delay, Task task)
{
    m_state->startTimer(delay, std::move(task));
}

void Loop::post(Task task)
{
    m_state->post(std::move(task));
}

void Loop::onStopSignal(Task task)
{
    m_state->stopTasks.push_back(std::move(task));
    signalLoop = m_state.get();
    struct sigaction action = {};
    action.sa_handler = handleSignal;
    sigaction(SIGTERM, &action, nullptr);
    sigaction(SIGINT, &action, nullptr);
}

TimePoint Loop::now()
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

WallTime Loop::wallNow()
{
    return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

LoopState &Loop::state()
{
    return *m_state;
}

} // namespace Vanillahall
