#include "vanillahall/core/worker_registry_base.h"

#include "worker_registry_state.h"

#include <algorithm>

namespace Vanillahall {

namespace {

constexpr Duration ExpectedServiceTime = std::chrono::milliseconds(20); ///< Expected run time of a service call.
constexpr Duration CrossZonePenalty = std::chrono::milliseconds(2);     ///< Added to the expected time of a server in another zone.
constexpr Duration NoServerRetryDelay = std::chrono::milliseconds(500); ///< Retry-After if there is no server.

/** @return True if the server may be chosen for the call. */
bool isEligible(const Worker &worker, const ServerName &name, const PlacementRequest &request)
{
    if (!worker.status || worker.lost || worker.address.empty() || !worker.status->serverUp || worker.status->leaving
        || worker.listedLeaving || worker.declaredLeaving) {
        return false;
    }
    if (worker.status->kind != request.kind || std::count(request.avoid.begin(), request.avoid.end(), name) > 0) {
        return false;
    }
    if (request.kind == PoolKind::Service) {
        return worker.status->service == request.service;
    }
    const std::vector<ModelName> &models = worker.status->models;
    return std::count(models.begin(), models.end(), request.model) > 0;
}

Duration orDefault(Duration reported, Duration fallback)
{
    return reported > Duration::zero() ? reported : fallback;
}

/** @return Expected run time at the backend server. */
Duration expectedRun(const Worker &worker, const ServerName &name, const PlacementRequest &request)
{
    if (request.kind == PoolKind::Service) {
        return ExpectedServiceTime;
    }
    const std::uint32_t cached = name == request.warmServer ? std::min(request.warmTokens, request.promptTokens) : 0;
    return orDefault(worker.status->prefillPerToken, DefaultPrefillPerToken) * (request.promptTokens - cached)
        + orDefault(worker.status->tokenInterval, DefaultTokenInterval) * request.outputTokens;
}

/** @return Expected wait: the reported one plus the calls that this entry has sent since the report. */
Duration expectedWait(const Worker &worker)
{
    Duration own{};
    std::uint32_t sentSince = 0;
    for (const auto &[key, call] : worker.inFlight) {
        if (call.sentAt >= worker.statusAt) {
            own += std::max(call.expectedTime, ExpectedServiceTime);
            sentSince++;
        }
    }
    const std::uint32_t slots = std::max<std::uint32_t>(worker.status->slots, 1);
    const std::uint32_t busy = worker.status->running + worker.status->waiting + sentSince;
    const Duration queued = busy > slots ? own / slots : Duration::zero();
    const Duration loadPenalty = ExpectedServiceTime * busy / slots;
    return worker.status->expectedWait + queued + loadPenalty;
}

Error noServerError(const WorkerRegistryState &state, const PlacementRequest &request)
{
    Error error;
    error.code = ErrorCode::NoServer;
    error.run = RunState::NotRun;
    error.step = Step::Place;
    error.message = request.kind == PoolKind::Model ? "no server takes calls of model " + request.model.text
                                                    : "no server takes calls of service " + request.service.text;
    error.message += "; " + std::to_string(state.workers.size()) + " servers are known";
    error.retryAfter = NoServerRetryDelay;
    return error;
}

} // namespace

std::optional<Placement> WorkerRegistry::choose(const PlacementRequest &request, TimePoint /*now*/, Error &reason) const
{
    std::optional<Placement> best;
    for (const auto &[name, worker] : m_state->workers) {
        if (!isEligible(worker, name, request)) {
            continue;
        }
        const Duration distance = worker.zone == m_state->zone ? Duration::zero() : CrossZonePenalty;
        const Duration expected = expectedWait(worker) + expectedRun(worker, name, request) + distance;
        if (!best || expected < best->expected) {
            best = Placement{name, worker.address, worker.status->incarnation, expected};
        }
    }
    if (!best) {
        reason = noServerError(*m_state, request);
    }
    return best;
}

std::string WorkerRegistry::address(const ServerName &server) const
{
    const auto it = m_state->workers.find(server);
    return it == m_state->workers.end() ? std::string() : it->second.address;
}

std::optional<Incarnation> WorkerRegistry::incarnation(const ServerName &server) const
{
    const auto it = m_state->workers.find(server);
    if (it == m_state->workers.end() || !it->second.status) {
        return std::nullopt;
    }
    return it->second.status->incarnation;
}

std::vector<ServerName> WorkerRegistry::servers() const
{
    std::vector<ServerName> names;
    for (const auto &[name, worker] : m_state->workers) {
        if (!worker.address.empty()) {
            names.push_back(name);
        }
    }
    return names;
}

bool WorkerRegistry::isLeaving(const ServerName &server) const
{
    const auto it = m_state->workers.find(server);
    if (it == m_state->workers.end()) {
        return false;
    }
    const Worker &worker = it->second;
    return worker.listedLeaving || worker.declaredLeaving || (worker.status && worker.status->leaving);
}

} // namespace Vanillahall
