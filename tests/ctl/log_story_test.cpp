#include "log_story.h"

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

/** An id and the lines of its story, by a word that each must hold. */
struct StoryCase
{
    const char *name;               ///< For the test's name.
    const char *id;                 ///< Request or program.
    std::vector<std::string> words; ///< One for each line.
};

class LogStory : public ::testing::TestWithParam<StoryCase>
{
};

TEST_P(LogStory, TellsDecisionsAndWhatWasBelieved)
{
    std::istringstream logs(Logs);
    const auto story = tellStory(logs, GetParam().id);
    ASSERT_EQ(story.size(), GetParam().words.size());
    for (std::size_t n = 0; n < story.size(); n++) {
        EXPECT_NE(story[n].find(GetParam().words[n]), std::string::npos) << story[n];
    }
}

INSTANTIATE_TEST_SUITE_P(
    All,
    LogStory,
    ::testing::Values(
        StoryCase{"request", "r1", {"server=s1 state=ready", "store_away", "attempt_failed", "server_failed", "may have run"}},
        StoryCase{"program",
                  "p1",
                  {"server=s1 state=ready",
                   "store_away",
                   "attempt_failed",
                   "server_failed",
                   "may have run",
                   "store_back",
                   "r2",
                   "passed on completely"}},
        StoryCase{"unknown", "r9", {}}),
    [](const auto &it) {
        return it.param.name;
    });

} // namespace Vanillahall
