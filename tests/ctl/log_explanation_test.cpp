#include "log_explanation.h"

#include <sstream>

#include <gtest/gtest.h>

namespace Vanillahall {

namespace {

constexpr const char *Logs
    = "2026-01-01T00:00:03.000Z process=a level=info event=1102 name=request_ended request=r1 program=p1 status=502 "
      "outcome=server_failed servers=s1 tries=1\n"
      "noise\n"
      "   2.0 a 2026-01-01T00:00:02.000Z process=a level=warning event=1103 name=attempt_failed request=r1 program=p1 server=s1\n"
      "2026-01-01T00:00:01.000Z process=a level=info event=1501 name=store_away peer=store\n"
      "2026-01-01T00:00:01.500Z process=b level=info event=1501 name=store_away peer=store\n"
      "2026-01-01T00:00:00.500Z process=a level=info event=1503 name=server_changed server=s1 state=ready\n"
      "2026-01-01T00:00:00.600Z process=a level=info event=1503 name=server_changed server=s2 state=ready\n"
      "2026-01-01T00:00:04.000Z process=a level=info event=1502 name=store_back peer=store\n"
      "2026-01-01T00:00:05.000Z process=c level=info event=1102 name=request_ended request=r2 program=p1 outcome=answered\n";

} // namespace

/** An id, and for each expected line of its explanation a text that the line must contain. */
struct ExplanationCase
{
    const char *name;               ///< Name of the test case.
    const char *id;                 ///< Id of a request or program.
    std::vector<std::string> words; ///< One text for each line.
};

class LogExplanation : public ::testing::TestWithParam<ExplanationCase>
{
};

TEST_P(LogExplanation, ListsDecisionsAndStateKnownAtTheTime)
{
    std::istringstream logs(Logs);
    const auto explanation = explainFromLog(logs, GetParam().id);
    ASSERT_EQ(explanation.size(), GetParam().words.size());
    for (std::size_t n = 0; n < explanation.size(); n++) {
        EXPECT_NE(explanation[n].find(GetParam().words[n]), std::string::npos) << explanation[n];
    }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    LogExplanation,
    ::testing::Values(
        ExplanationCase{"request", "r1", {"server=s1 state=ready", "store_away", "attempt_failed", "server_failed", "may have run"}},
        ExplanationCase{"program",
                        "p1",
                        {"server=s1 state=ready",
                         "store_away",
                         "attempt_failed",
                         "server_failed",
                         "may have run",
                         "store_back",
                         "r2",
                         "passed on completely"}},
        ExplanationCase{"unknown", "r9", {}}),
    [](const auto &it) {
        return it.param.name;
    });

} // namespace Vanillahall
