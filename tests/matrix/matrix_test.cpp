#include "deployment.h"

#include <iostream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

/** One cell of the matrix: step, faults and behaviour of the caller. */
struct Cell
{
    NamedStep step;
    NamedFaults faults;
    CallerBehaviour behaviour = CallerBehaviour::Patient;
};

int cellsRun = 0; ///< Printed when the suite ends.

std::ostream &operator<<(std::ostream &out, const Cell &cell)
{
    return out << cell.step.name << " x " << cell.faults.name << (cell.behaviour == CallerBehaviour::Patient ? ", patient" : ", gives up");
}

std::vector<Cell> allCells()
{
    std::vector<Cell> cells;
    for (const NamedStep &step : AllSteps) {
        for (const NamedFaults &faults : AllFaults) {
            cells.push_back(Cell{step, faults, CallerBehaviour::Patient});
            cells.push_back(Cell{step, faults, CallerBehaviour::GivesUp});
        }
    }
    return cells;
}

std::string cellName(const testing::TestParamInfo<Cell> &info)
{
    const std::string behaviour = info.param.behaviour == CallerBehaviour::Patient ? "Patient" : "GivesUp";
    return std::string(info.param.step.name) + "_" + std::string(info.param.faults.name) + "_" + behaviour;
}

DeploymentPlan planOf(const Cell &cell)
{
    DeploymentPlan plan;
    plan.step = cell.step.step;
    plan.first = cell.faults.first;
    if (cell.faults.second != cell.faults.first) {
        plan.second = cell.faults.second;
    }
    plan.behaviour = cell.behaviour;
    return plan;
}

class Matrix : public testing::TestWithParam<Cell>
{
public:
    static void TearDownTestSuite()
    {
        std::cout << "cells: " << cellsRun << "\n";
    }
};

} // namespace

TEST_P(Matrix, KeepsEveryPromise)
{
    Deployment deployment(planOf(GetParam()));
    deployment.run();
    cellsRun++;
    EXPECT_TRUE(deployment.stepReached) << "the step was never reached";
    EXPECT_THAT(deployment.violations, testing::IsEmpty());
    if (HasFailure()) {
        for (const std::string &it : deployment.trace) {
            std::cout << it << "\n";
        }
    }
}

INSTANTIATE_TEST_SUITE_P(All, Matrix, testing::ValuesIn(allCells()), cellName);

} // namespace Vanillahall
