#include "vanillahall/adapters/sse_reader_base.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace Vanillahall {

namespace {

constexpr std::size_t MaxEvent = 64; ///< Maximum size of an event in these tests, in bytes.

std::vector<std::string> eventsOf(const std::vector<std::string> &pieces)
{
    std::vector<std::string> events;
    SseReader reader(MaxEvent, [&events](std::string_view data) {
        events.emplace_back(data);
    });
    for (const auto &it : pieces) {
        reader.read(it);
    }
    return events;
}

} // namespace

struct SseCase
{
    const char *name;                ///< Name of the case.
    std::string stream;              ///< Input.
    std::vector<std::string> events; ///< Expected events.
};

class SseStreams : public ::testing::TestWithParam<SseCase>
{
};

TEST_P(SseStreams, AreSplitIntoEvents)
{
    EXPECT_EQ(eventsOf({GetParam().stream}), GetParam().events);
}

TEST_P(SseStreams, AreSplitIntoEventsByteByByte)
{
    std::vector<std::string> pieces;
    for (const char it : GetParam().stream) {
        pieces.emplace_back(1, it);
    }
    EXPECT_EQ(eventsOf(pieces), GetParam().events);
}

INSTANTIATE_TEST_SUITE_P(Streams,
                         SseStreams,
                         ::testing::Values(SseCase{"Lf", "data: a\n\ndata: b\n\n", {"a", "b"}},
                                           SseCase{"CrLf", "data: a\r\n\r\ndata: b\r\n\r\n", {"a", "b"}},
                                           SseCase{"Cr", "data: a\r\rdata: b\r\r", {"a", "b"}},
                                           SseCase{"Comments", ": hello\n\ndata: a\n: more\n\n", {"a"}},
                                           SseCase{"OtherFields", "id: 1\nevent: x\ndata: a\nretry\n\n", {"a"}},
                                           SseCase{"SeveralLines", "data: a\ndata: b\n\n", {"a\nb"}},
                                           SseCase{"NoSpace", "data:a\n\ndata:  b\n\n", {"a", " b"}},
                                           SseCase{"EmptyData", "data\n\ndata:\n\n", {"", ""}},
                                           SseCase{"Unfinished", "data: a\n\ndata: b\n", {"a"}}),
                         [](const auto &info) {
                             return std::string(info.param.name);
                         });

// The events do not depend on where the input is split into chunks.
RC_GTEST_PROP(SseReader, EventsDoNotDependOnChunks, (const std::vector<std::uint8_t> &texts))
{
    static constexpr const char *Parts[] = {"data: x", "data:", "\n", "\r\n", "\r", ": c", "\n\n", "data: yy\n\n"};
    std::string stream;
    for (const auto it : texts) {
        stream += Parts[it % std::size(Parts)];
    }
    const auto cut = *rc::gen::inRange<std::size_t>(0, stream.size() + 1);
    RC_ASSERT(eventsOf({stream}) == eventsOf({stream.substr(0, cut), stream.substr(cut)}));
}

TEST(SseReader, StopsAtALineThatIsTooLong)
{
    int n = 0;
    SseReader reader(MaxEvent, [&n](std::string_view /*data*/) {
        n++;
    });
    EXPECT_FALSE(reader.read("data: " + std::string(MaxEvent, 'x')));
    EXPECT_FALSE(reader.read("\n\ndata: a\n\n"));
    EXPECT_EQ(n, 0);
}

TEST(SseReader, StopsAtAnEventThatIsTooLong)
{
    int n = 0;
    SseReader reader(MaxEvent, [&n](std::string_view /*data*/) {
        n++;
    });
    const std::string line = "data: " + std::string(MaxEvent / 2, 'x') + "\n";
    EXPECT_TRUE(reader.read(line));
    EXPECT_FALSE(reader.read(line + "\n"));
    EXPECT_EQ(n, 0);
}

} // namespace Vanillahall
