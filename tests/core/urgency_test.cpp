#include "vanillahall/core/urgency_func.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

/** Time left of a program and the expected priority of its turns. */
struct UrgencyCase
{
    const char *name;                 ///< Name of the case.
    std::optional<Duration> timeLeft; ///< Time until the deadline of the program.
    std::uint32_t priority;           ///< Expected priority; 0 is first.
};

class EnginePriority : public ::testing::TestWithParam<UrgencyCase>
{
};

TEST_P(EnginePriority, PrefersProgramsThatCanStillMeetTheirTarget)
{
    EXPECT_EQ(enginePriority(GetParam().timeLeft), GetParam().priority);
}

INSTANTIATE_TEST_SUITE_P(All,
                         EnginePriority,
                         ::testing::Values(UrgencyCase{"noProgram", std::nullopt, 5},
                                           UrgencyCase{"urgent", 1s, 4},
                                           UrgencyCase{"normal", 8s, 5},
                                           UrgencyCase{"justLate", 0s, 8},
                                           UrgencyCase{"late", -3s, 8}),
                         [](const auto &it) {
                             return it.param.name;
                         });

} // namespace Vanillahall::Forward
