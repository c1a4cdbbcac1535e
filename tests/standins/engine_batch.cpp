#include "engine_batch_base.h"

#include <algorithm>
#include <utility>

namespace Vanillahall {

namespace {

constexpr int BatchSlowdownPercent = 2; ///< Increase of the step time for each further request in the batch.
constexpr int MaxCatchUpSteps = 64;     ///< Limit of overdue steps that one wake-up runs.

bool hasPriorityOver(const EngineRequest *a, const EngineRequest *b)
{
    return a->priority != b->priority ? a->priority > b->priority : a->arrival < b->arrival;
}

} // namespace

EngineBatch::EngineBatch(Loop &loop, const EngineStandinSettings &settings, Listener onAdmitted, Listener onToken)
    : m_loop(loop)
    , m_settings(settings)
    , m_onAdmitted(std::move(onAdmitted))
    , m_onToken(std::move(onToken))
{
}

void EngineBatch::add(EngineRequest &request)
{
    request.arrival = ++m_arrivals;
    m_waiting.insert(std::upper_bound(m_waiting.begin(), m_waiting.end(), &request, hasPriorityOver), &request);
    admit();
}

void EngineBatch::remove(EngineRequest &request)
{
    std::erase(m_waiting, &request);
    std::erase(m_running, &request);
    admit();
}

std::size_t EngineBatch::running() const
{
    return m_running.size();
}

std::size_t EngineBatch::waiting() const
{
    return m_waiting.size();
}

void EngineBatch::admit()
{
    while (!m_waiting.empty() && m_running.size() < m_settings.slots) {
        EngineRequest &request = *m_waiting.front();
        m_waiting.erase(m_waiting.begin());
        m_running.push_back(&request);
        m_onAdmitted(request);
        const auto uncached = static_cast<std::int64_t>(request.promptTokens - request.cachedTokens);
        request.ready = Loop::now() + m_settings.prefillPerToken * uncached;
    }
    schedule();
}

Duration EngineBatch::stepTime() const
{
    const auto others = static_cast<std::int64_t>(m_running.size()) - 1;
    return m_settings.decodePerToken * (100 + BatchSlowdownPercent * std::max<std::int64_t>(others, 0)) / 100;
}

void EngineBatch::schedule()
{
    if (m_scheduled || m_running.empty()) {
        return;
    }
    m_scheduled = true;
    const auto first = std::min_element(m_running.begin(), m_running.end(), [](const auto *a, const auto *b) {
        return a->ready < b->ready;
    });
    const TimePoint now = Loop::now();
    m_nextStep = std::max(m_nextStep, (*first)->ready);
    if (m_nextStep <= now) {
        m_loop.post([this] {
            wake();
        });
    } else {
        m_loop.after(m_nextStep - now, [this] {
            wake();
        });
    }
}

void EngineBatch::wake()
{
    m_scheduled = false;
    const TimePoint now = Loop::now();
    const int maxSteps = m_settings.decodePerToken == Duration::zero() ? 1 : MaxCatchUpSteps;
    for (int n = 0; n < maxSteps && m_nextStep <= now && !m_running.empty(); n++) {
        const TimePoint at = m_nextStep;
        m_nextStep += std::max(stepTime(), Duration(1));
        step(at);
    }
    m_nextStep = std::max(m_nextStep, now); // Drops steps that are still overdue.
    admit();
}

void EngineBatch::step(TimePoint now)
{
    const auto batch = m_running;
    for (EngineRequest *request : batch) {
        const bool present = std::find(m_running.begin(), m_running.end(), request) != m_running.end();
        if (!present || request->ready > now) {
            continue;
        }
        if (request->tokens.size() < request->maxTokens) {
            request->tokens.push_back(generatedToken(*request));
        }
        request->done = request->tokens.size() >= request->maxTokens;
        if (request->done) {
            std::erase(m_running, request);
        }
        m_onToken(*request);
    }
}

} // namespace Vanillahall
