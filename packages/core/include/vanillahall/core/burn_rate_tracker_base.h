/** Counts missed targets for the service-level burn report. */
#pragma once

#include "vanillahall/core/burn_type.h"

#include <deque>
#include <map>

namespace Vanillahall {

/** Ended programs of the last days, by class and customer, in bounded memory. */
class BurnRateTracker
{
public:
    /** @param agreedShare Agreed share of programs that may miss their target; above 0. */
    explicit BurnRateTracker(double agreedShare);

    /** Takes in a program that has ended. */
    void add(const ProgramCost &cost);

    /** @return The report as of `now`. */
    [[nodiscard]] BurnReport report(WallTime now) const;

private:
    /** Programs that ended in one minute. */
    struct Bucket
    {
        std::int64_t minute{};  ///< Minutes since the epoch of the calendar.
        std::uint64_t ended{};  ///< All.
        std::uint64_t missed{}; ///< Those that missed.
    };

    /** Names a line of the report. */
    struct Series
    {
        ClassName className;   ///< The class.
        CustomerName customer; ///< The customer.

        auto operator<=>(const Series &) const = default; // NOLINT(modernize-use-nullptr): a false positive on defaulted comparisons
    };

    [[nodiscard]] BurnLine line(const Series &series, const std::deque<Bucket> &buckets, WallTime now) const;
    std::deque<Bucket> &bucketsOf(const ProgramCost &cost);
    void addCostly(const ProgramCost &cost);

    double m_agreedShare;
    std::map<Series, std::deque<Bucket>> m_series;
    std::vector<ProgramCost> m_costliest;
};

} // namespace Vanillahall
