/** Types of the error budget burn report. */
#pragma once

#include "vanillahall/core/id_type.h"
#include "vanillahall/core/time_type.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Vanillahall {

/** Breakdown of a program's latency. */
struct TimeSpent
{
    Duration waiting{}; ///< Time queued at gates.
    Duration prefill{}; ///< Time from the start at an engine to the first token.
    Duration decode{};  ///< Time from the first to the last token.
    Duration service{}; ///< Time at plain services.
    Duration pause{};   ///< Time between turns, while the caller ran tools.
    Duration rest{};    ///< Everything else: dispatch, retries, takeovers.
};

/** Latency and target of an ended program. */
struct ProgramCost
{
    ProgramId program;                  ///< Which program.
    CustomerName customer;              ///< Who owns it.
    ClassName className;                ///< Its class.
    std::chrono::milliseconds target{}; ///< Target of the class when it ended; 0 if it has none.
    Duration latency{};                 ///< Time from its creation to its end.
    TimeSpent spent;                    ///< Breakdown of the latency.
    WallTime ended;                     ///< When it ended.
};

/** Counts of one time window. */
struct BurnWindow
{
    std::chrono::seconds length{}; ///< Length of the window, up to the time of the report.
    std::uint64_t ended{};         ///< Programs that ended in it.
    std::uint64_t missed{};        ///< Those that missed their target.
    double burnRate{};             ///< Share of misses divided by the agreed share; above 1 the budget shrinks.
};

/** Burn rates of one class of one customer. */
struct BurnLine
{
    ClassName className;                 ///< The class.
    CustomerName customer;               ///< The customer.
    std::vector<BurnWindow> windows;     ///< Shortest first.
    double budgetLeft{};                 ///< Misses that the longest window still allows; negative if overdrawn.
    std::optional<Duration> exhaustedIn; ///< Time until the budget is used up at the rate of the last hour; nothing if it isn't shrinking.
};

/** The burn report. */
struct BurnReport
{
    WallTime at;                        ///< When the report was made.
    double agreedShare{};               ///< Agreed share of programs that may miss their target.
    std::vector<BurnLine> lines;        ///< Sorted by class and customer.
    std::vector<ProgramCost> costliest; ///< Programs that missed by the largest factor, worst first.
};

} // namespace Vanillahall
