/** Counts missed latency targets for the service-level burn rate report. */
#pragma once

#include "vanillahall/core/burn_type.h"

#include <deque>
#include <map>

namespace Vanillahall {

/** Programs that ended within the longest window of the report, by class and customer, in bounded memory. */
class BurnRateTracker
{
public:
    /** @param agreedShare Agreed share of programs that may miss their target; has to be above 0. */
    explicit BurnRateTracker(double agreedShare);

    /** Records a program that has ended. */
    void add(const ProgramCost &cost);

    /** @return The report as of `now`. */
    [[nodiscard]] BurnReport report(WallTime now) const;

private:
    /** Programs that ended in one minute. */
    struct Bucket
    {
        std::int64_t minute{};  ///< Minutes since the epoch of the system clock.
        std::uint64_t ended{};  ///< All programs that ended.
        std::uint64_t missed{}; ///< Programs that missed their target.
    };

    /** Key of a line of the report. */
    struct Series
    {
        ClassName className;   ///< The class.
        CustomerName customer; ///< The customer.

        auto operator<=>(const Series &) const = default; // NOLINT(modernize-use-nullptr): a false positive on defaulted comparisons
    };

    [[nodiscard]] BurnLine makeLine(const Series &series, const std::deque<Bucket> &buckets, WallTime now) const;
    std::deque<Bucket> &bucketsOf(const ProgramCost &cost);
    void recordMiss(const ProgramCost &cost);

    double m_agreedShare;
    std::map<Series, std::deque<Bucket>> m_series;
    std::vector<ProgramCost> m_costliest;
};

} // namespace Vanillahall
