/** Property tests with random schedules of faults. RapidCheck shrinks and prints a failing schedule. */
#include "deployment.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall {

namespace {

/** A fault of a schedule and its time. */
struct ScheduledFault
{
    int after{}; ///< Milliseconds relative to 2 s after the start of the deployment.
    int fault{}; ///< Index into AllFaults.
};

std::ostream &operator<<(std::ostream &out, const ScheduledFault &it)
{
    return out << "after " << it.after << " ms " << AllFaults.at(static_cast<std::size_t>(it.fault)).name;
}

rc::Gen<std::vector<ScheduledFault>> schedules()
{
    constexpr int LastFaultMs = 4000;
    constexpr int SingleFaults = 14;
    return rc::gen::resize(4,
                           rc::gen::container<std::vector<ScheduledFault>>(rc::gen::construct<ScheduledFault>(
                               rc::gen::inRange(-1000, LastFaultMs), rc::gen::inRange(0, SingleFaults))));
}

void checkSchedule(const std::vector<ScheduledFault> &schedule, CallerBehaviour behaviour)
{
    DeploymentPlan plan;
    plan.behaviour = behaviour;
    for (const ScheduledFault &it : schedule) {
        plan.later.emplace_back(std::chrono::milliseconds(it.after), AllFaults.at(static_cast<std::size_t>(it.fault)).first);
    }
    Deployment deployment(plan);
    deployment.run();
    if (!deployment.violations.empty()) {
        RC_FAIL(deployment.violations.front());
    }
}

} // namespace

RC_GTEST_PROP(Schedule, KeepsEveryPromiseToAPatientCaller, ())
{
    checkSchedule(*schedules(), CallerBehaviour::Patient);
}

RC_GTEST_PROP(Schedule, KeepsEveryPromiseToACallerThatGivesUp, ())
{
    checkSchedule(*schedules(), CallerBehaviour::GivesUp);
}

} // namespace Vanillahall
