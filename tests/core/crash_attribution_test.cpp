/** Attribution of crashes to features of the requests that ran. */
#include "vanillahall/core/crash/crash_attribution_func.h"

#include <algorithm>
#include <set>

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};

/** A request that was running when its server ended. */
struct Run
{
    std::uint64_t content;
    std::uint64_t caller;
    std::uint64_t path;
    std::uint64_t server;
    Duration endedAt;                       ///< Since Start.
    Duration uncertainty = CommonCauseSpan; ///< How much earlier the server may have ended.
};

constexpr std::uint64_t Callers = 100; ///< Hash of the first caller; those below are contents.
constexpr std::uint64_t Paths = 200;   ///< Hash of the first path.

/** Crashes, and the features that explain them. */
struct AttributionCase
{
    const char *name;                ///< For the test's name.
    std::vector<Run> runs;           ///< Runs that crashed.
    ClearedFeatures cleared;         ///< Features that succeeded.
    std::set<std::uint64_t> refused; ///< Expected features.
};

class Attribution : public ::testing::TestWithParam<AttributionCase>
{
};

} // namespace

TEST_P(Attribution, NamesTheNarrowestFeatureThatExplainsTheCrashes)
{
    std::vector<CrashEvidence> records;
    records.reserve(GetParam().runs.size());
    for (const auto &it : GetParam().runs) {
        const RequestFeatures features{
            {FeatureKind::Content, it.content}, {FeatureKind::Caller, Callers + it.caller}, {FeatureKind::Path, Paths + it.path}};
        const auto at = Start + it.endedAt;
        records.push_back({{it.content, records.size()}, features, it.server, at - it.uncertainty, at});
    }
    std::vector<const CrashEvidence *> crashes(records.size());
    std::transform(records.begin(), records.end(), crashes.begin(), [](const auto &it) {
        return &it;
    });
    std::set<std::uint64_t> refused;
    for (const auto &it : attributeCrashes(crashes, GetParam().cleared).refused) {
        refused.insert(it.feature.hash);
    }
    EXPECT_EQ(refused, GetParam().refused);
}

INSTANTIATE_TEST_SUITE_P(
    All,
    Attribution,
    ::testing::Values(
        AttributionCase{"sameBytes", {{1, 1, 1, 1, 1s}, {1, 2, 1, 2, 2s}, {1, 3, 1, 3, 3s}}, {}, {1}},
        AttributionCase{"oneCaller", {{1, 1, 1, 1, 1s}, {2, 1, 1, 2, 2s}, {3, 1, 1, 3, 3s}}, {}, {Callers + 1}},
        AttributionCase{"onePath", {{1, 1, 1, 1, 1s}, {2, 2, 1, 2, 2s}, {3, 3, 1, 3, 3s}}, {}, {Paths + 1}},
        // The bytes of the first request explain three crashes, the path all four.
        AttributionCase{"otherBytesLater", {{1, 1, 1, 1, 1s}, {1, 1, 1, 2, 2s}, {1, 1, 1, 3, 3s}, {2, 2, 1, 4, 4s}}, {}, {Paths + 1}},
        AttributionCase{"pathSucceeds", {{1, 1, 1, 1, 1s}, {2, 2, 1, 2, 2s}, {3, 3, 1, 3, 3s}}, {{Paths + 1, Start + 2s}}, {}},
        AttributionCase{"pathSucceededBefore", {{1, 1, 1, 1, 1s}, {2, 2, 1, 2, 2s}, {3, 3, 1, 3, 3s}}, {{Paths + 1, Start}}, {Paths + 1}},
        AttributionCase{
            "callerOnASuccessfulPath", {{1, 1, 1, 1, 1s}, {2, 1, 1, 2, 2s}, {3, 1, 1, 3, 3s}}, {{Paths + 1, Start + 3s}}, {Callers + 1}},
        AttributionCase{"twoCrashes", {{1, 1, 1, 1, 1s}, {1, 1, 1, 2, 2s}}, {}, {}},
        // Request 9 ran beside the other ones three times.
        AttributionCase{
            "neighbour",
            {{1, 1, 1, 1, 1s}, {9, 9, 9, 1, 1s}, {2, 2, 1, 2, 2s}, {9, 9, 9, 2, 2s}, {3, 3, 1, 3, 3s}, {9, 9, 9, 3, 3s}, {4, 4, 1, 4, 4s}},
            {},
            {Paths + 1}},
        // Either request may be the cause.
        AttributionCase{"alwaysTogether",
                        {{1, 1, 1, 1, 1s}, {9, 9, 9, 1, 1s}, {1, 1, 1, 2, 2s}, {9, 9, 9, 2, 2s}, {1, 1, 1, 3, 3s}, {9, 9, 9, 3, 3s}},
                        {},
                        {}},
        AttributionCase{
            "alwaysTogetherUntilTheFourthCrash",
            {{1, 1, 1, 1, 1s}, {9, 9, 9, 1, 1s}, {1, 1, 1, 2, 2s}, {9, 9, 9, 2, 2s}, {1, 1, 1, 3, 3s}, {9, 9, 9, 3, 3s}, {1, 1, 1, 4, 4s}},
            {},
            {1}},
        // The neighbour was sent again at once each time; those of the culprit overlap, but were at all servers that ended.
        AttributionCase{"neighbourRepeatedFasterThanTheCulprit",
                        {{1, 1, 1, 1, 540ms},
                         {2, 2, 1, 2, 780ms},
                         {3, 3, 1, 3, 781ms},
                         {4, 4, 1, 4, 1020ms},
                         {5, 5, 1, 5, 1260ms},
                         {6, 6, 1, 6, 1268ms},
                         {9, 9, 9, 3, 781ms},
                         {9, 9, 9, 4, 1020ms, 239ms},
                         {9, 9, 9, 5, 1260ms, 240ms},
                         {9, 9, 9, 6, 1268ms, 8ms}},
                        {},
                        {Paths + 1}},
        // The other request was at one more server, but its copies ran at the same time.
        AttributionCase{"besideARequestThatExplainsMore",
                        {{1, 1, 1, 1, 1s},
                         {2, 2, 1, 2, 1050ms},
                         {3, 3, 1, 3, 1090ms},
                         {4, 4, 1, 4, 2s},
                         {9, 9, 9, 2, 1050ms},
                         {9, 9, 9, 3, 1090ms, 40ms},
                         {9, 9, 9, 4, 2s}},
                        {},
                        {}},
        AttributionCase{"neighbourNoticedLate",
                        {{1, 1, 1, 1, 1s},
                         {9, 9, 9, 1, 4s, 4s},
                         {2, 2, 1, 2, 5s},
                         {9, 9, 9, 2, 8s, 4s},
                         {3, 3, 1, 3, 9s},
                         {9, 9, 9, 3, 12s, 4s},
                         {4, 4, 1, 4, 14s}},
                        {},
                        {Paths + 1}},
        AttributionCase{"twoCulprits",
                        {{1, 1, 1, 1, 1s}, {1, 1, 1, 2, 2s}, {1, 1, 1, 3, 3s}, {5, 5, 2, 4, 4s}, {5, 5, 2, 5, 5s}, {5, 5, 2, 6, 6s}},
                        {},
                        {1, 5}},
        AttributionCase{"rack", {{1, 1, 1, 1, 1s}, {2, 2, 1, 2, 1010ms}, {3, 3, 1, 3, 1020ms}, {4, 4, 1, 4, 1s}}, {}, {}},
        // Caller 1 ran on one of four servers each time.
        AttributionCase{"racksAgainAndAgain",
                        {{1, 1, 1, 1, 1s},
                         {2, 2, 1, 2, 1s},
                         {3, 3, 2, 3, 1s},
                         {4, 4, 2, 4, 1s},
                         {5, 1, 1, 5, 2s},
                         {6, 5, 2, 6, 2s},
                         {7, 6, 3, 7, 2s},
                         {8, 7, 3, 8, 2s},
                         {9, 1, 1, 1, 3s},
                         {10, 8, 3, 2, 3s},
                         {11, 9, 4, 3, 3s},
                         {12, 10, 4, 4, 3s}},
                        {},
                        {}},
        AttributionCase{
            "rackThatGoesSilent", {{1, 1, 1, 1, 1s, 6s}, {2, 2, 1, 2, 3s, 6s}, {3, 3, 1, 3, 5s, 6s}, {4, 4, 1, 4, 6s, 6s}}, {}, {}},
        AttributionCase{"manyRequestsOnOneServer", {{1, 1, 1, 1, 1s}, {1, 1, 1, 1, 1s}, {2, 1, 1, 1, 1s}, {3, 1, 1, 1, 1s}}, {}, {}}),
    [](const auto &it) {
        return it.param.name;
    });

} // namespace Vanillahall::Forward
