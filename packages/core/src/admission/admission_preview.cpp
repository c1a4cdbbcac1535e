/** Queries about admission that change nothing. */
#include "vanillahall/core/admission/program_admission_base.h"

namespace Vanillahall::Forward {

AdmissionDecision ProgramAdmission::preview(const ProgramRequest &request, const SaturationView &saturation, TimePoint now) const
{
    // The request is decided by an object that knows what matters for it. A copy of the whole one would hold thousands of programs.
    ProgramAdmission trial;
    if (const auto found = m_programs.find(request.program); found != m_programs.end()) {
        auto state = found->second;
        trial.m_programsByUse.push_back(request.program);
        state.used = trial.m_programsByUse.begin();
        trial.m_programs.emplace(request.program, state);
    }
    if (const auto found = m_routes.find(request.route); found != m_routes.end()) {
        trial.m_routes.insert(*found);
    }
    if (const auto found = m_pools.find(request.service); found != m_pools.end()) {
        trial.m_pools.insert(*found);
    }
    return trial.decide(request, saturation, now);
}

SaturationView SaturationMonitor::preview(const std::string &service, double slots, TimePoint now) const
{
    SaturationMonitor trial(m_settings);
    if (const auto found = m_services.find(service); found != m_services.end()) {
        trial.m_services.insert(*found);
    }
    trial.update(service, slots, now);
    return trial.view(service);
}

} // namespace Vanillahall::Forward
