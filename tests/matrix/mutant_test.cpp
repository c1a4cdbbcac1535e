/** Deployments with one safeguard undone: the matrix has to notice each. */
#include "deployment.h"

#include <algorithm>
#include <iostream>

#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

/** One broken safeguard, and what has to notice it. */
struct MutantCase
{
    Mutant mutant;         ///< What is broken.
    std::string_view name; ///< For the report.
    std::string_view sign; ///< Part of the broken promise that has to be seen; empty for any.
};

std::ostream &operator<<(std::ostream &out, const MutantCase &it)
{
    return out << it.name;
}

constexpr std::array Mutants{
    MutantCase{Mutant::NoFence, "NoFence", "order that had lapsed"},
    MutantCase{Mutant::NoIntent, "NoIntent", "begun twice"},
    MutantCase{Mutant::RetryUnknown, "RetryUnknown", "begun twice"},
    MutantCase{Mutant::NoDedup, "NoDedup", "begun twice"},
    MutantCase{Mutant::NotRunLie, "NotRunLie", "as not run, and ran"},
    MutantCase{Mutant::TokenLost, "TokenLost", "wrong answer"},
    MutantCase{Mutant::CrossedAnswer, "CrossedAnswer", "wrong answer"},
    MutantCase{Mutant::BudgetRaised, "BudgetRaised", "budget"},
    MutantCase{Mutant::MemoryKept, "MemoryKept", "memory"},
    MutantCase{Mutant::NoCondition, "NoCondition", "two entries"},
    MutantCase{Mutant::WriteForgotten, "WriteForgotten", "history"},
    MutantCase{Mutant::NoResend, "NoResend", "come to its end"},
};

/** @return True if the cell with the mutant breaks the promise, and without it doesn't. */
bool isCaught(DeploymentPlan plan, const MutantCase &it)
{
    plan.mutant = it.mutant;
    Deployment broken(plan);
    broken.run();
    plan.mutant = Mutant::None;
    Deployment whole(plan);
    whole.run();
    return std::any_of(broken.faults.begin(), broken.faults.end(), [&](const std::string &text) {
        return text.find(it.sign) != std::string::npos && std::find(whole.faults.begin(), whole.faults.end(), text) == whole.faults.end();
    });
}

/** @return Name of the first cell that catches a mutant; empty if none does. */
std::string catchingCell(const MutantCase &it)
{
    for (const NamedStep &step : AllSteps) {
        for (const NamedFaults &faults : AllFaults) {
            DeploymentPlan plan;
            plan.step = step.step;
            plan.first = faults.first;
            if (faults.second != faults.first) {
                plan.second = faults.second;
            }
            if (isCaught(plan, it)) {
                return std::string(step.name) + "_" + std::string(faults.name);
            }
        }
    }
    return {};
}

class MutantTable : public testing::TestWithParam<MutantCase>
{
};

} // namespace

TEST_P(MutantTable, IsCaughtByACell)
{
    const std::string caughtBy = catchingCell(GetParam());
    std::cout << "mutant " << GetParam().name << " caught by " << (caughtBy.empty() ? "NONE" : caughtBy) << "\n";
    EXPECT_FALSE(caughtBy.empty());
}

INSTANTIATE_TEST_SUITE_P(All, MutantTable, testing::ValuesIn(Mutants), [](const auto &info) {
    return std::string(info.param.name);
});

} // namespace Vanillahall
