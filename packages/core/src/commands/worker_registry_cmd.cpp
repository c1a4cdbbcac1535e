#include "vanillahall/core/worker_registry_base.h"

#include "worker_registry_state.h"

namespace Vanillahall {

namespace {

Duration expectedServerTime(const Worker &worker, const PlacementRequest &request)
{
    if (request.kind == PoolKind::Service || !worker.status) {
        return Duration::zero();
    }
    const Duration interval = worker.status->tokenInterval > Duration::zero() ? worker.status->tokenInterval : DefaultTokenInterval;
    const Duration prefill = worker.status->prefillPerToken > Duration::zero() ? worker.status->prefillPerToken : DefaultPrefillPerToken;
    return interval * request.outputTokens + prefill * request.promptTokens;
}

} // namespace

WorkerRegistry::WorkerRegistry(ZoneName zone)
    : m_state(std::make_unique<WorkerRegistryState>())
{
    m_state->zone = std::move(zone);
}

WorkerRegistry::~WorkerRegistry() = default;
WorkerRegistry::WorkerRegistry(WorkerRegistry &&) noexcept = default;
WorkerRegistry &WorkerRegistry::operator=(WorkerRegistry &&) noexcept = default;

void WorkerRegistry::onVmList(const std::vector<VmListing> &vms, TimePoint /*now*/)
{
    for (auto &[name, worker] : m_state->workers) {
        worker.listed = false;
    }
    for (const VmListing &vm : vms) {
        if (vm.role != VmRole::Server) {
            continue;
        }
        Worker &worker = m_state->workers[ServerName{vm.name}];
        worker.listed = true;
        worker.address = vm.address;
        worker.zone = vm.zone;
        worker.listedLeaving = vm.state == VmState::Leaving;
    }
    std::erase_if(m_state->workers, [](const auto &it) {
        const Worker &worker = it.second;
        return !worker.listed && (worker.lost || !worker.status) && worker.inFlight.empty();
    });
}

void WorkerRegistry::onConfig(const ConfigRow &config, TimePoint /*now*/)
{
    for (auto &[name, worker] : m_state->workers) {
        worker.declaredLeaving = false;
    }
    for (const ServerDeclaration &it : config.servers) {
        if (it.state == ServerState::Leaving) {
            m_state->workers[it.name].declaredLeaving = true;
        }
    }
}

void WorkerRegistry::onStatus(const GateStatus &status, TimePoint now)
{
    Worker &worker = m_state->workers[status.server];
    worker.status = status;
    worker.statusAt = now;
    worker.zone = status.zone;
    worker.lost = false;
}

void WorkerRegistry::onLost(const ServerName &server, TimePoint /*now*/)
{
    const auto it = m_state->workers.find(server);
    if (it != m_state->workers.end()) {
        it->second.lost = true;
    }
}

void WorkerRegistry::recordSent(const ServerName &server, const CallKey &key, const PlacementRequest &request, TimePoint now)
{
    Worker &worker = m_state->workers[server];
    worker.inFlight[key] = SentCall{now, expectedServerTime(worker, request)};
}

void WorkerRegistry::recordEnd(const ServerName &server, const CallKey &key, const CallOutcome & /*outcome*/, TimePoint /*now*/)
{
    const auto it = m_state->workers.find(server);
    if (it != m_state->workers.end()) {
        it->second.inFlight.erase(key);
    }
}

} // namespace Vanillahall
