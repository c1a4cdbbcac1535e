/** Mutation tests of the matrix: for each disabled safeguard, at least one cell has to fail. */
#include "deployment.h"

#include <algorithm>
#include <iostream>

#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

/** A disabled safeguard and the violation that it has to cause. */
struct MutantCase
{
    Mutant mutant;                 ///< The disabled safeguard.
    std::string_view name;         ///< Name of the test and in its output.
    std::string_view expectedText; ///< Part of the text of the expected violation; empty accepts any.
};

std::ostream &operator<<(std::ostream &out, const MutantCase &it)
{
    return out << it.name;
}

constexpr std::array Mutants{
    MutantCase{Mutant::NoFence, "NoFence", "by an outdated order"},
    MutantCase{Mutant::NoIntent, "NoIntent", "started twice"},
    MutantCase{Mutant::RetryUnknown, "RetryUnknown", "started twice"},
    MutantCase{Mutant::NoDedup, "NoDedup", "started twice"},
    MutantCase{Mutant::NotRunLie, "NotRunLie", "as not run, but ran"},
    MutantCase{Mutant::TokenLost, "TokenLost", "wrong answer"},
    MutantCase{Mutant::CrossedAnswer, "CrossedAnswer", "wrong answer"},
    MutantCase{Mutant::BudgetRaised, "BudgetRaised", "budget"},
    MutantCase{Mutant::MemoryKept, "MemoryKept", "memory"},
    MutantCase{Mutant::NoCondition, "NoCondition", "two entries"},
    MutantCase{Mutant::WriteForgotten, "WriteForgotten", "history"},
    MutantCase{Mutant::NoResend, "NoResend", "a program did not end"},
};

/** @return True if the cell reports the expected violation with the mutant and does not without it. */
bool isCaught(DeploymentPlan plan, const MutantCase &it)
{
    plan.mutant = it.mutant;
    Deployment broken(plan);
    broken.run();
    plan.mutant = Mutant::None;
    Deployment intact(plan);
    intact.run();
    return std::any_of(broken.violations.begin(), broken.violations.end(), [&](const std::string &text) {
        return text.find(it.expectedText) != std::string::npos
            && std::find(intact.violations.begin(), intact.violations.end(), text) == intact.violations.end();
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
