#include "vanillahall/core/urgency_func.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

/** Time left of a program and the priority of its turns. */
struct UrgencyCase
{
    const char *name;                 ///< For the test's name.
    std::optional<Duration> timeLeft; ///< Time left.
    std::uint32_t priority;           ///< Expected; 0 is first.
};

class EnginePriority : public ::testing::TestWithParam<UrgencyCase>
{
};

TEST_P(EnginePriority, PutsProgramsThatCanStillEndInTimeFirst)
{
    EXPECT_EQ(enginePriority(GetParam().timeLeft), GetParam().priority);
}

INSTANTIATE_TEST_SUITE_P(All,
                         EnginePriority,
                         ::testing::Values(UrgencyCase{"noProgram", std::nullopt, 5},
                                           UrgencyCase{"near", 1s, 4},
                                           UrgencyCase{"ordinary", 8s, 5},
                                           UrgencyCase{"justLate", 0s, 8},
                                           UrgencyCase{"late", -3s, 8}),
                         [](const auto &it) {
                             return it.param.name;
                         });

} // namespace Vanillahall::Forward
