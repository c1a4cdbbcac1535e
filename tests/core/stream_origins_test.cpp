#include "vanillahall/core/stream_origins_base.h"

#include <gtest/gtest.h>

namespace Vanillahall::Forward {

using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1000s};

} // namespace

TEST(StreamOrigins, TheFirstRecordOfARequestStays)
{
    StreamOrigins origins;
    EXPECT_FALSE(origins.find("r1"));
    origins.record("r1", {"s", "v1"}, Start);
    origins.record("r1", {"s", "v2"}, Start);
    EXPECT_EQ(origins.find("r1"), (SoftwareVersion{"s", "v1"}));
}

TEST(StreamOrigins, OldRecordsAreRemoved)
{
    StreamOrigins origins;
    origins.record("r1", {"s", "v1"}, Start);
    origins.record("r2", {"s", "v1"}, Start + StreamOriginLifetime - 1ms);
    EXPECT_TRUE(origins.find("r1"));
    origins.record("r3", {"s", "v1"}, Start + StreamOriginLifetime);
    EXPECT_FALSE(origins.find("r1"));
    EXPECT_TRUE(origins.find("r2"));
}

TEST(StreamOrigins, TheirNumberIsBounded)
{
    StreamOrigins origins;
    for (std::size_t n = 0; n <= MaxStreamOrigins; n++) {
        origins.record(std::to_string(n), {"s", "v1"}, Start);
    }
    EXPECT_EQ(origins.size(), MaxStreamOrigins);
    EXPECT_FALSE(origins.find("0"));
}

} // namespace Vanillahall::Forward
